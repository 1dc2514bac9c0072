//! Case 3. A heartbeat of an earlier boot, which was held up by a partition, arrives after that boot
//! has crashed and a new one serves at its address. While the daemon finds out by a liveness check
//! which boot is there, the new one says that it is draining: the daemon acknowledges that, does not
//! note it, and goes on to send it requests.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{Beats, Machine, SLOTS, configuration, until};
use crate::requester::{self, Ended};
use crate::store::Store;
use crate::upstream::Upstream;
use crate::{Record, Verdict};

/// `drain_s` of the settings.
const DRAIN: Duration = Duration::from_secs(2);

/// Time after the ack at which the upstream exits: `drain_s` and a little longer.
const EXIT_AFTER: Duration = Duration::from_millis(2700);

/// Calm time before, longer than `stability_window_s`.
const CALM: Duration = Duration::from_secs(4);

/// Requesters on each machine, and the pause of each between two requests.
const REQUESTERS: u32 = 4;
const PACE: Duration = Duration::from_millis(40);

const DEADLINE: Duration = Duration::from_millis(1200);

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
        Machine::new(2, "nv-b", "floatdesk")?,
        Machine::new(3, "nv-c", "refundhall")?,
    ];
    for machine in &mut machines {
        machine.start(daemon, &store, true)?;
    }
    let machines = Arc::new(machines);
    record.line("upstream i-float1 started beside sidecar-nv-a-1; a partition holds up its first heartbeat, and it crashes");
    let upstreams = [
        Upstream::start(&machines[0], "i-float2", record)?,
        Upstream::start(&machines[1], "i-float3", record)?,
        Upstream::start(&machines[2], "i-refund4", record)?,
    ];
    let _others = Beats::start(&machines, &upstreams[1..]);
    let beats = Beats::start(&machines, &upstreams[..1]);
    let load = Load::new(&machines, record);
    let is_served = || machines.iter().all(Machine::is_ready) && load.is_served();
    if !until(Duration::from_secs(25), is_served) {
        return Ok(Verdict::NotRun("the deployment doesn't serve".into()));
    }
    let requesters = load.start();
    thread::sleep(CALM);
    let upstream = &upstreams[0];
    let verdict = leave(record, trouble, &machines[0], upstream, &load, beats);
    load.is_over.store(true, Ordering::SeqCst);
    for requester in requesters {
        let _ = requester.join();
    }
    let Some(acknowledged) = verdict else {
        return Ok(Verdict::NotRun("the upstream was never busy, or got no ack".into()));
    };
    Ok(judge(record, &load, upstream, acknowledged))
}

/// The new boot leaves, just after the late heartbeat has arrived. Returns the time of the ack.
fn leave(
    record: &Record,
    trouble: bool,
    machine: &Machine,
    upstream: &Upstream,
    load: &Load,
    beats: Beats,
) -> Option<Instant> {
    // Liveness checks wait for a slot, as the upstream is busy.
    load.is_heavy.store(true, Ordering::SeqCst);
    let end = Instant::now() + Duration::from_secs(10);
    while upstream.running() < SLOTS {
        if Instant::now() > end {
            return None;
        }
        thread::sleep(Duration::from_millis(1));
    }
    // The heartbeats after the next one are seconds late.
    drop(beats);
    while upstream.running() < SLOTS {
        if Instant::now() > end {
            return None;
        }
        thread::sleep(Duration::from_millis(1));
    }
    if trouble {
        let status = machine.beat("i-float1", "floatdesk", "ready", 1);
        record.line(&format!("the late heartbeat of i-float1 arrives at {}: {status}", machine.name));
    }
    upstream.leave();
    let status = upstream.beat(machine);
    let acknowledged = Instant::now();
    record.line(&format!("{} says that it is draining: {status}", upstream.id()));
    load.is_heavy.store(false, Ordering::SeqCst);
    thread::sleep(EXIT_AFTER);
    let head = format!("DELETE /v1/instances/{}", upstream.id());
    let headers = [("Host", "control")];
    let left = crate::http::call(machine.control, &head, &headers, b"", Duration::from_secs(1));
    let left = left.map_or(0, |it| it.status());
    record.line(&format!("{} sends its DELETE: {left}", upstream.id()));
    upstream.end();
    thread::sleep(Duration::from_millis(1500));
    (status == 200).then_some(acknowledged)
}

fn judge(record: &Record, load: &Load, upstream: &Upstream, acknowledged: Instant) -> Verdict {
    let mut late = 0;
    for run in upstream.runs() {
        let after = run.at.saturating_duration_since(acknowledged);
        if after > DRAIN {
            late += 1;
            record.line(&format!(
                "DRAIN: {} reached {} {:.3} s after the ack",
                run.id,
                upstream.id(),
                after.as_secs_f64()
            ));
        }
    }
    let ended = load.ended.lock().unwrap();
    for run in upstream.runs() {
        let lost = ended.iter().find(|it| it.id == run.id && it.status != 200);
        if let Some(lost) = lost {
            record.line(&format!("seen by its requester: {} ran at {} and ended with {}", run.id, upstream.id(), lost.status));
        }
    }
    let served = ended.iter().filter(|it| it.status == 200).count();
    record.line(&format!(
        "served {served} of {}; reached {} more than drain_s after the ack: {late}",
        ended.len(),
        upstream.id()
    ));
    if late > 0 { Verdict::Broken } else { Verdict::Held }
}

/// The requesters on all machines.
struct Load {
    machines: Arc<Vec<Machine>>,
    record: Record,
    next: AtomicU32,
    is_over: Arc<AtomicBool>,
    /// Whether they send many requests, and with much work.
    is_heavy: AtomicBool,
    ended: Mutex<Vec<Ended>>,
}

impl Load {
    fn new(machines: &Arc<Vec<Machine>>, record: &Record) -> Arc<Self> {
        Arc::new(Self {
            machines: Arc::clone(machines),
            record: record.clone(),
            next: AtomicU32::new(0),
            is_over: Arc::default(),
            is_heavy: AtomicBool::new(false),
            ended: Mutex::default(),
        })
    }

    fn send(&self, machine: &Machine, call: (&str, &str)) -> u16 {
        let id = format!("{:016x}", self.next.fetch_add(1, Ordering::SeqCst));
        let ended = requester::send(machine, call, &id, DEADLINE, "", &self.record);
        let status = ended.status;
        self.ended.lock().unwrap().push(ended);
        status
    }

    fn is_served(&self) -> bool {
        let mut machines = self.machines.iter();
        machines.all(|it| self.send(it, ("GET", "/balance-read/1")) == 200)
    }

    fn start(self: &Arc<Self>) -> Vec<thread::JoinHandle<()>> {
        let mut requesters = Vec::new();
        for machine in 0..self.machines.len() {
            for number in 0..REQUESTERS * 6 {
                let load = Arc::clone(self);
                requesters.push(thread::spawn(move || {
                    let machine = &load.machines[machine];
                    while !load.is_over.load(Ordering::SeqCst) {
                        let is_heavy = load.is_heavy.load(Ordering::SeqCst);
                        if is_heavy {
                            load.send(machine, ("POST", "/claim-post/1/long"));
                        } else if number < REQUESTERS {
                            load.send(machine, ("POST", "/claim-post/1"));
                        }
                        thread::sleep(PACE);
                    }
                }));
            }
        }
        requesters
    }
}
