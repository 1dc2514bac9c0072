//! Runs one case of the review: starts the project's daemons as processes, plays the platform's
//! store, the upstreams and the requesters, and checks one rule on what they saw.
//!
//! `stand-in CASE RECORD DAEMON TROUBLE`: `TROUBLE` is 0 to leave the disruption out. Exits with 1
//! if the rule was broken, 0 if it held, and 2 if the case could not run. It needs the standard
//! library only; `review/build.sh` builds it.

mod fleet;
mod http;
mod json;
mod last_answer;
mod late_beat;
mod late_copy;
mod nobodys_beat;
mod requester;
mod reused_address;
mod store;
mod upstream;

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// The record of what was sent, answered and run, with the seconds since the start.
#[derive(Clone)]
pub struct Record(Arc<(Instant, Mutex<File>)>);

impl Record {
    fn create(path: &str) -> std::io::Result<Self> {
        Ok(Self(Arc::new((Instant::now(), Mutex::new(File::create(path)?)))))
    }

    pub fn line(&self, text: &str) {
        let (start, file) = &*self.0;
        let at = start.elapsed().as_secs_f64();
        let _ = writeln!(file.lock().unwrap(), "{at:8.3} s  {text}");
    }
}

/// How a case ended.
pub enum Verdict {
    Held,
    Broken,
    /// The case could not run, for this reason.
    NotRun(String),
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, record, daemon, trouble] = args.as_slice() else {
        eprintln!("usage: stand-in CASE RECORD DAEMON TROUBLE");
        std::process::exit(2);
    };
    let Ok(record) = Record::create(record) else {
        eprintln!("stand-in: the record can't be written");
        std::process::exit(2);
    };
    let trouble = trouble != "0";
    record.line(&format!("case {case}, disruption: {trouble}"));
    let verdict = match case.as_str() {
        "late-copy" => late_copy::run(&record, daemon, trouble),
        "late-copy-unnamed" => late_copy::run_unnamed(&record, daemon, trouble),
        "last-answer" => last_answer::run(&record, daemon, trouble),
        "reused-address" => reused_address::run(&record, daemon, trouble),
        "nobodys-beat" => nobodys_beat::run(&record, daemon, trouble),
        "late-beat" => late_beat::run(&record, daemon, trouble),
        _ => Verdict::NotRun("unknown case".into()),
    };
    let (text, code) = match verdict {
        Verdict::Held => ("the rule held".to_owned(), 0),
        Verdict::Broken => ("THE RULE WAS BROKEN".to_owned(), 1),
        Verdict::NotRun(why) => (format!("the case could not run: {why}"), 2),
    };
    record.line(&text);
    println!("{text}");
    std::process::exit(code);
}
