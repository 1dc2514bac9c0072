//! Case 1. A slow upstream rejects a request that isn't idempotent (`X-Not-Executed`) and, as a
//! faulty one, sends that answer a second time where the next answer on the connection is expected.
//! The daemon sends the same request to the same upstream once more, on the same connection, and
//! takes the copy for the answer to the second send, which runs.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::fleet::{Beats, Machine, configuration, until};
use crate::requester::{self, Ended};
use crate::store::Store;
use crate::upstream::Upstream;
use crate::{Record, Verdict};

/// Claims that are posted.
const CLAIMS: u32 = 6;

const DEADLINE: Duration = Duration::from_millis(1200);

/// Statuses that promise that a request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

pub fn run(record: &Record, daemon: &str, trouble: bool) -> Verdict {
    match play(record, daemon, trouble, false) {
        Ok(verdict) => verdict,
        Err(err) => Verdict::NotRun(err.to_string()),
    }
}

/// The same with two upstreams and rejections that leave out the request's id: the copy of one is
/// taken for the answer to the next request on the connection, which then runs at both upstreams.
pub fn run_unnamed(record: &Record, daemon: &str, trouble: bool) -> Verdict {
    match play(record, daemon, trouble, true) {
        Ok(verdict) => verdict,
        Err(err) => Verdict::NotRun(err.to_string()),
    }
}

fn play(record: &Record, daemon: &str, trouble: bool, is_unnamed: bool) -> std::io::Result<Verdict> {
    let store = Store::start(crate::fleet::address(200))?;
    store.write("op", "config", &configuration(7));
    let mut machines = vec![
        Machine::new(1, "nv-a", "floatdesk")?,
        Machine::new(2, "nv-b", if is_unnamed { "floatdesk" } else { "refundhall" })?,
    ];
    for machine in &mut machines {
        machine.start(daemon, &store, true)?;
    }
    let machines = Arc::new(machines);
    let upstreams = vec![
        Upstream::start(&machines[0], "i-float1", record)?,
        Upstream::start(&machines[1], "i-other1", record)?,
    ];
    let _beats = Beats::start(&machines, &upstreams);
    if is_unnamed {
        upstreams[0].reject_unnamed();
    }
    Ok(post_claims(record, trouble, &machines, &upstreams))
}

fn post_claims(record: &Record, trouble: bool, machines: &[Machine], upstreams: &[Upstream]) -> Verdict {
    let mut number = 0;
    let mut read = |machine: &Machine| {
        number += 1;
        let id = format!("0{number:015x}");
        let path = ("GET", "/balance-read/1");
        requester::send(machine, path, &id, Duration::from_secs(1), "", record).status == 200
    };
    let is_served = || machines.iter().all(|it| it.is_ready()) && machines.iter().all(&mut read);
    if !until(Duration::from_secs(25), is_served) {
        return Verdict::NotRun("the deployment doesn't serve".into());
    }
    upstreams[0].reject(trouble);
    let mut ended: Vec<Ended> = Vec::new();
    for claim in 0..CLAIMS {
        let machine = &machines[claim as usize % machines.len()];
        let path = format!("/claim-post/{claim}");
        let body = format!("claim {claim}");
        let id = format!("f{claim:015x}");
        let first = requester::send(machine, ("POST", &path), &id, DEADLINE, &body, record);
        // The requester comes back as told, within its deadline.
        let wait = first.retry_after.unwrap_or_default();
        if PROMISES.contains(&first.status) {
            thread::sleep(wait.min(DEADLINE / 3));
            let id = format!("1{claim:015x}");
            let left = Duration::from_millis(500);
            let second = requester::send(machine, ("POST", &path), &id, left, &body, record);
            ended.push(second);
        }
        ended.push(first);
        let id = format!("2{claim:015x}");
        ended.push(requester::send(machine, ("POST", &path), &id, DEADLINE, "another claim", record));
        thread::sleep(Duration::from_millis(300));
    }
    thread::sleep(Duration::from_secs(1));
    let runs: Vec<_> = upstreams.iter().flat_map(Upstream::runs).collect();
    let mut broken = 0;
    for ended in &ended {
        let times = runs.iter().filter(|run| run.id == ended.id).count();
        if times > 1 {
            broken += 1;
            record.line(&format!("TWICE: {} ran {times} times, and was answered {}", ended.id, ended.status));
        }
    }
    for ended in ended.iter().filter(|it| PROMISES.contains(&it.status)) {
        if runs.iter().any(|run| run.id == ended.id) {
            broken += 1;
            record.line(&format!("REFUSED: {} was answered {} and has run", ended.id, ended.status));
        }
    }
    for claim in 0..CLAIMS {
        let body = format!("claim {claim}");
        let times = runs.iter().filter(|run| run.body == body).count();
        if times > 1 {
            record.line(&format!("seen by the customer: {body:?} was posted {times} times"));
        }
    }
    record.line(&format!("requests that were refused as not run and have run, or ran twice: {broken}"));
    if broken > 0 { Verdict::Broken } else { Verdict::Held }
}
