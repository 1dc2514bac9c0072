//! Another way to case 3. Before the operator writes the first configuration, a heartbeat of another writer, which
//! names a service that doesn't exist, reaches a daemon. The daemon takes it for a newer boot of its
//! upstream: from then on it ignores the upstream's own heartbeats and states the unknown service as
//! the caller of all requests that begin on its machine.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::fleet::{Beats, Machine, configuration, until};
use crate::requester;
use crate::store::Store;
use crate::upstream::Upstream;
use crate::{Record, Verdict};

/// Time from the start of the machines to the first configuration, and to the traffic.
const CONFIGURED_AFTER: Duration = Duration::from_millis(6500);
const TRAFFIC_AFTER: Duration = Duration::from_secs(8);

/// Time from the start of the machines to the heartbeat of another writer.
const FOREIGN_AFTER: Duration = Duration::from_secs(1);

/// Time between two requests, and their number.
const PACE: Duration = Duration::from_millis(100);
const REQUESTS: u32 = 100;

pub fn run(record: &Record, daemon: &str, trouble: bool) -> Verdict {
    match play(record, daemon, trouble) {
        Ok(verdict) => verdict,
        Err(err) => Verdict::NotRun(err.to_string()),
    }
}

fn play(record: &Record, daemon: &str, trouble: bool) -> std::io::Result<Verdict> {
    let store = Store::start(crate::fleet::address(200))?;
    let mut machines = vec![
        Machine::new(1, "nv-a", "floatdesk")?,
        Machine::new(2, "nv-b", "refundhall")?,
        Machine::new(3, "nv-c", "floatdesk")?,
    ];
    for machine in &mut machines {
        machine.start(daemon, &store, true)?;
    }
    let machines = Arc::new(machines);
    let upstreams = vec![
        Upstream::start(&machines[0], "i-float1", record)?,
        Upstream::start(&machines[1], "i-refund2", record)?,
        Upstream::start(&machines[2], "i-float3", record)?,
    ];
    let is_up = until(Duration::from_secs(3), || upstreams[0].beat(&machines[0]) == 200);
    if !is_up {
        return Ok(Verdict::NotRun("the daemon takes no heartbeat".into()));
    }
    let _beats = Beats::start(&machines, &upstreams);
    thread::sleep(FOREIGN_AFTER);
    if trouble {
        let status = machines[0].beat("i-other", "a-service-of-nobody", "ready", 1);
        record.line(&format!(
            "another writer sends {} a heartbeat of i-other, service a-service-of-nobody: {status}",
            machines[0].name
        ));
    }
    thread::sleep(CONFIGURED_AFTER - FOREIGN_AFTER);
    store.write("op", "config", &configuration(7));
    record.line("the operator writes the first configuration");
    thread::sleep(TRAFFIC_AFTER - CONFIGURED_AFTER);
    Ok(send_requests(record, &machines, &upstreams))
}

/// Sends requests from all machines, and checks whose service each of them states where it runs.
pub fn send_requests(record: &Record, machines: &[Machine], upstreams: &[Upstream]) -> Verdict {
    let mut served = 0;
    for number in 0..REQUESTS {
        let machine = &machines[number as usize % machines.len()];
        let path = if number % 2 == 0 { "/balance-read/1" } else { "/limit-check/1" };
        let id = format!("{:x}{number:015x}", number as usize % machines.len());
        let deadline = Duration::from_millis(500);
        let ended = requester::send(machine, ("GET", path), &id, deadline, "", record);
        served += u32::from(ended.status == 200);
        thread::sleep(PACE);
    }
    let mut wrong = 0;
    for run in upstreams.iter().flat_map(Upstream::runs) {
        // The first digit of an id is the number of the machine where the request began.
        let began = run.id.chars().next().and_then(|it| it.to_digit(16)).unwrap_or_default();
        let service = machines[began as usize].service;
        if run.caller != service {
            wrong += 1;
            record.line(&format!(
                "UNASKED: {} began on {} ({service}) and ran with X-Caller-Service {:?}",
                run.id, machines[began as usize].name, run.caller
            ));
        }
    }
    for upstream in upstreams {
        record.line(&format!("{} ran {} requests", upstream.id(), upstream.runs().len()));
    }
    record.line(&format!("served {served} of {REQUESTS}; ran with another caller's service: {wrong}"));
    if served == 0 {
        return Verdict::NotRun("the deployment doesn't serve".into());
    }
    if wrong > 0 { Verdict::Broken } else { Verdict::Held }
}
