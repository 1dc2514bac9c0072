//! What the two daemons on a call's way add to it, and what they cost.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{Fleet, FleetError, Line, ServiceShape, Shape, TargetShape, Unit};
use crate::load::Histogram;
use crate::measure::as_f64;
use crate::measure::probe::Probe;
use crate::measure::program::Scale;

/// Calls a second through one daemon: 130,000 over 610.
const RATE: f64 = 213.0;

/// Calls before the first that counts: connections open, caches fill.
const WARM_UP: u32 = 500;

/// Callers that keep a daemon busy while its capacity is measured.
const CALLERS: usize = 16;

/// The service whose target sits beside the other daemon.
const PATH: &str = "/far";

/// Latencies of paired calls.
#[derive(Default)]
struct Pairs {
    direct: Histogram,
    routed: Histogram,
}

/// A call enters at the first node and runs at the second, so that it always
/// passes both daemons.
fn shape() -> Shape {
    let service = |name: &str| ServiceShape {
        name: name.into(),
        upstreams: 1,
        slots: 64,
    };
    Shape::default()
        .zones(1)
        .services(vec![service("near"), service("far")])
        .target(TargetShape {
            service_time: Duration::ZERO,
            service_spread: Duration::ZERO,
        })
}

pub(crate) async fn run(scale: Scale) -> Result<(), FleetError> {
    let pairs = scale.pick(1_000, 12_000);
    let busy = Duration::from_secs(scale.pick(2, 10));
    let fleet = Fleet::start(shape()).await?;
    let daemons = fleet.nodes.iter().filter_map(|it| it.daemon.as_ref());
    let daemons: Vec<_> = daemons.collect();
    let cpu = || daemons.iter().map(|it| it.usage().cpu).sum();
    print(&fleet, fleet.nodes[0].caller, pairs, busy, cpu, None)?;
    fleet.finish();
    let fleet = Fleet::start_plain(shape(), 1).await?;
    let router = &fleet.routers[0];
    let cpu = || router.process.usage().cpu;
    print(&fleet, router.addr, pairs, busy, cpu, Some("plain"))?;
    fleet.finish();
    Ok(())
}

fn print(
    fleet: &Fleet,
    entry: SocketAddr,
    pairs: u32,
    busy: Duration,
    cpu: impl Fn() -> Duration,
    suffix: Option<&str>,
) -> Result<(), FleetError> {
    let latency = paired(entry, fleet.nodes[1].target_addr, pairs)?;
    let added =
        |percent| latency.routed.percentile_ms(percent) - latency.direct.percentile_ms(percent);
    let figures = [
        ("hop_direct_p50_ms", latency.direct.percentile_ms(50.0)),
        ("hop_direct_p99_ms", latency.direct.percentile_ms(99.0)),
        ("hop_added_p50_ms", added(50.0)),
        ("hop_added_p99_ms", added(99.0)),
    ];
    for (name, value) in figures {
        let line = Line::new(name, value, Unit::Millis, pairs.into());
        line.suffixed(suffix).print()?;
    }
    let before = cpu();
    let calls = busy_calls(entry, busy)?;
    let cores = cpu().saturating_sub(before).as_secs_f64();
    let figures = [
        ("hop_calls_per_core_s", as_f64(calls.answered) / cores),
        (
            "hop_calls_per_s",
            as_f64(calls.answered) / busy.as_secs_f64(),
        ),
    ];
    for (name, value) in figures {
        let line = Line::new(name, value, Unit::CallsPerSecond, calls.answered);
        line.suffixed(suffix).print()?;
    }
    let line = Line::new(
        "hop_refused",
        as_f64(calls.refused),
        Unit::Calls,
        calls.answered,
    );
    Ok(line.suffixed(suffix).print()?)
}

/// Makes a direct and a routed call in turn, `RATE` times a second, so that
/// whatever else the machine does meets both alike.
fn paired(entry: SocketAddr, target: SocketAddr, pairs: u32) -> io::Result<Pairs> {
    let mut direct = Probe::connect(target, PATH)?;
    let mut routed = Probe::connect(entry, PATH)?;
    for _ in 0..WARM_UP {
        direct.call()?;
        routed.call()?;
    }
    let mut latency = Pairs::default();
    let start = Instant::now();
    for index in 0..pairs {
        let due = start + Duration::from_secs_f64(f64::from(index) / RATE);
        direct.call_at(due, &mut latency.direct)?;
        let due = due + Duration::from_secs_f64(0.5 / RATE);
        routed.call_at(due, &mut latency.routed)?;
    }
    Ok(latency)
}

/// Calls of callers that never pause.
#[derive(Clone, Copy, Debug, Default)]
struct BusyCalls {
    answered: u64,
    refused: u64,
}

/// What a few callers get answered, each sending its next call as soon as the
/// last is answered.
fn busy_calls(entry: SocketAddr, length: Duration) -> io::Result<BusyCalls> {
    let stop = AtomicBool::new(false);
    thread::scope(|scope| {
        let callers: Vec<_> = (0..CALLERS)
            .map(|_| scope.spawn(|| keep_calling(entry, &stop)))
            .collect();
        thread::sleep(length);
        stop.store(true, Ordering::Relaxed);
        let mut sum = BusyCalls::default();
        for caller in callers {
            let calls = caller.join().expect("a caller does not panic")?;
            sum.answered += calls.answered;
            sum.refused += calls.refused;
        }
        Ok(sum)
    })
}

fn keep_calling(entry: SocketAddr, stop: &AtomicBool) -> io::Result<BusyCalls> {
    let mut probe = Probe::connect(entry, PATH)?;
    let mut calls = BusyCalls::default();
    while !stop.load(Ordering::Relaxed) {
        if probe.call()? {
            calls.answered += 1;
        } else {
            calls.refused += 1;
        }
    }
    Ok(calls)
}
