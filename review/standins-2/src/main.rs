//! Stand-ins of the platform's store, of upstreams and of requesters for the cases of the second
//! review. Each case starts the project's daemons as separate processes.
//!
//! Exit status: 0 if the rule held, 1 if it was broken, 2 if the case could not run.

mod cases;
mod daemon;
mod http;
mod json;
mod record;
mod rig;
mod store;
mod target;

use std::path::PathBuf;
use std::process::ExitCode;

fn main() -> ExitCode {
    let mut args = std::env::args().skip(1);
    let name = args.next().unwrap_or_default();
    let dir = PathBuf::from(args.next().unwrap_or_else(|| ".".into()));
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    match cases::run(&name, &dir, has_trouble) {
        Some(Ok(true)) => ExitCode::SUCCESS,
        Some(Ok(false)) => ExitCode::from(1),
        Some(Err(why)) => {
            eprintln!("could not run: {why}");
            ExitCode::from(2)
        }
        None => {
            eprintln!("no such case: {name}");
            ExitCode::from(2)
        }
    }
}
