//! Case 3. The upstream of a machine has crashed for good, and a new machine of another service gets
//! its address. While the store is down, the new daemon has no configuration. A heartbeat of the
//! former boot, which a partition held up, reaches it there. The daemon takes it for a newer boot of
//! its upstream: from then on it ignores the upstream's own heartbeats and states the former service
//! as the caller of all requests that begin on its machine.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{Beats, Machine, configuration, until};
use crate::nobodys_beat::send_requests;
use crate::requester;
use crate::store::Store;
use crate::upstream::Upstream;
use crate::{Record, Verdict};

/// Time from the store's going down to the start of the new machine.
const STARTED_AFTER: Duration = Duration::from_millis(500);

/// Time from the first heartbeat of the new upstream to the late one.
const BEAT_AFTER: Duration = Duration::from_millis(500);

/// Time from the late heartbeat to the store's return.
const BACK_AFTER: Duration = Duration::from_millis(6000);

/// Longest time for which the store may be down, as days of the site have it.
const LONGEST_DOWN: Duration = Duration::from_secs(9);

/// Calm time after it, longer than `stability_window_s`.
const CALM: Duration = Duration::from_secs(4);

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
        Machine::new(3, "nv-c", "floatdesk")?,
    ];
    for machine in &mut machines[1..] {
        machine.start(daemon, &store, true)?;
    }
    let others = [
        Upstream::start(&machines[1], "i-refund2", record)?,
        Upstream::start(&machines[2], "i-float3", record)?,
    ];
    record.line("i-refund0 (refundhall) was the upstream at the address of sidecar-nv-a-1; a partition holds up its last heartbeat, and it crashes for good");
    let mut number = 0;
    let mut is_served = || {
        others.iter().zip(&machines[1..]).for_each(|(upstream, machine)| {
            upstream.beat(machine);
        });
        machines[1..].iter().all(|machine| {
            number += 1;
            let id = format!("{number:016x}");
            let deadline = Duration::from_millis(500);
            machine.is_ready()
                && requester::send(machine, ("GET", "/limit-check/1"), &id, deadline, "", record).status == 200
        })
    };
    if !until(Duration::from_secs(25), &mut is_served) {
        return Ok(Verdict::NotRun("the deployment doesn't serve".into()));
    }
    for upstream in &others {
        upstream.forget_runs();
    }
    record.line("the store goes down");
    store.set_down(true);
    let began = Instant::now();
    thread::sleep(STARTED_AFTER);
    machines[0].start(daemon, &store, false)?;
    let machines = Arc::new(machines);
    let own = Upstream::start(&machines[0], "i-float1", record)?;
    if !until(Duration::from_secs(2), || own.beat(&machines[0]) == 200) {
        return Ok(Verdict::NotRun("the new daemon takes no heartbeat".into()));
    }
    let upstreams = [own, others[0].clone(), others[1].clone()];
    let _beats = Beats::start(&machines, &upstreams);
    thread::sleep(BEAT_AFTER);
    if trouble {
        let status = machines[0].beat("i-refund0", "refundhall", "ready", 41);
        record.line(&format!("the late heartbeat of i-refund0 arrives at {}: {status}", machines[0].name));
    }
    thread::sleep(BACK_AFTER);
    store.set_down(false);
    let down = began.elapsed();
    record.line(&format!("the store is back after {:.1} s", down.as_secs_f64()));
    if down > LONGEST_DOWN {
        return Ok(Verdict::NotRun("the store was down for too long".into()));
    }
    if !until(Duration::from_secs(10), || machines[0].is_ready()) {
        return Ok(Verdict::NotRun("the new daemon isn't ready".into()));
    }
    thread::sleep(CALM);
    Ok(send_requests(record, &machines, &upstreams))
}
