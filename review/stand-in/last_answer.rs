//! Issue 52, not claimed as a case. A daemon is told to stop. Downloads that it took from its
//! requesters run at once at an upstream behind a thin link, and their answers are on the way when
//! the daemon exits: it closes the connections of those that are left without an answer.

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{Beats, Machine, configuration, until};
use crate::requester::{self, Ended};
use crate::store::Store;
use crate::upstream::Upstream;
use crate::{Record, Verdict};

/// Time from the SIGTERM to the downloads, and their number: the slots of an upstream.
const SENT_AFTER: Duration = Duration::from_millis(1900);
const DOWNLOADS: u32 = 9;

const DEADLINE: Duration = Duration::from_secs(4);

/// Times since the SIGTERM from which a request doesn't count if its upstream is still at work.
const LAST_SIXTH: Duration = Duration::from_secs(5);

pub fn run(record: &Record, daemon: &str, trouble: bool) -> Verdict {
    match play(record, daemon, trouble) {
        Ok(verdict) => verdict,
        Err(err) => Verdict::NotRun(err.to_string()),
    }
}

fn play(record: &Record, daemon: &str, trouble: bool) -> std::io::Result<Verdict> {
    let store = Store::start(crate::fleet::address(200))?;
    store.write("op", "config", &configuration(7));
    let mut machines = vec![
        Machine::new(1, "nv-a", "floatdesk")?,
        Machine::new(2, "nv-b", "refundhall")?,
    ];
    for machine in &mut machines {
        machine.link_mbps = 10.0;
        machine.start(daemon, &store, true)?;
    }
    let machines = Arc::new(machines);
    let upstreams = [
        Upstream::start(&machines[0], "i-float1", record)?,
        Upstream::start(&machines[1], "i-refund2", record)?,
    ];
    let _beats = Beats::start(&machines, &upstreams);
    let mut number = 0;
    let mut download = || {
        number += 1;
        let id = format!("0{number:015x}");
        let path = ("GET", "/stem-download/1");
        requester::send(&machines[0], path, &id, DEADLINE, "", record).status == 200
    };
    if !until(Duration::from_secs(25), || machines[0].is_ready() && download()) {
        return Ok(Verdict::NotRun("the deployment doesn't serve".into()));
    }
    for _ in 0..10 {
        download();
    }
    let told = Instant::now();
    if trouble {
        machines[0].terminate()?;
        record.line("sidecar-nv-a-1 gets SIGTERM");
    }
    thread::sleep(SENT_AFTER);
    let ended: Arc<Mutex<Vec<(Ended, Duration)>>> = Arc::default();
    let requesters: Vec<_> = (0..DOWNLOADS)
        .map(|number| {
            let (machines, record, ended) = (Arc::clone(&machines), record.clone(), Arc::clone(&ended));
            thread::spawn(move || {
                let id = format!("9{number:015x}");
                let path = format!("/stem-download/{number}/large");
                let end = requester::send(&machines[0], ("GET", &path), &id, DEADLINE, "", &record);
                ended.lock().unwrap().push((end, told.elapsed()));
            })
        })
        .collect();
    for requester in requesters {
        let _ = requester.join();
    }
    let runs = upstreams[1].runs();
    let mut lost = 0;
    for (ended, at) in ended.lock().unwrap().iter() {
        let run = runs.iter().find(|run| run.id == ended.id);
        let ran = run.map(|it| it.at.saturating_duration_since(told));
        let is_lost = ended.status == 0 && *at < SENT_AFTER + DEADLINE;
        if is_lost && ran.is_some_and(|ran| ran < LAST_SIXTH) {
            lost += 1;
            record.line(&format!(
                "LOST: {} ran {:.3} s after the SIGTERM, and its connection ended without an answer at {:.3} s",
                ended.id,
                ran.unwrap_or_default().as_secs_f64(),
                at.as_secs_f64()
            ));
        }
    }
    record.line(&format!("downloads that ended without an answer: {lost} of {DOWNLOADS}"));
    Ok(if lost > 0 { Verdict::Broken } else { Verdict::Held })
}
