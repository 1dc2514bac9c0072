//! All daemons of a zone restart together, and the platform goes out and comes
//! back: what it is asked then, and what callers lose.

use std::time::{Duration, Instant};

use futures_timer::Delay;
use stoatstep_resource::Version;

use crate::fleet::{Fault, Fleet, FleetError, Line, Node, Operator, Shape, Unit};
use crate::load::{LoadOptions, run as run_load};
use crate::measure::as_f64;
use crate::measure::changes::Changes;
use crate::measure::explain;
use crate::measure::holding::{LIMIT, holds};
use crate::measure::program::Scale;
use crate::measure::sampler::{Peak, Sampler};

/// Time for a fleet to come to rest after its start.
const SETTLE: Duration = Duration::from_secs(12);

/// How long the zone is dead.
const DEAD: Duration = Duration::from_secs(1);

/// How long the platform is watched after a herd or an outage.
const AFTER: Duration = Duration::from_secs(12);

/// Calls a second while the platform is out.
const RATE: f64 = 300.0;

/// Load before the outage.
const CALM: Duration = Duration::from_secs(5);

pub(crate) async fn run(scale: Scale) -> Result<(), FleetError> {
    let shape = Shape::two_years(scale.pick(24, 200));
    let mut changes = Changes::new(shape.resources());
    let mut fleet = Fleet::start(shape).await?;
    Delay::new(SETTLE).await;
    zones(&mut fleet, &mut changes, scale.pick(1, 5)).await?;
    let outage = Duration::from_secs(scale.pick(5, 60));
    storm(&fleet, outage).await?;
    fleet.finish();
    calls(outage).await
}

/// Restarts a whole zone `rounds` times, another zone each time.
async fn zones(fleet: &mut Fleet, changes: &mut Changes, rounds: usize) -> Result<(), FleetError> {
    let mut peak = Peak::default();
    let mut slowest = Duration::ZERO;
    for round in 0..rounds {
        let zone = fleet.nodes[round].zone.clone();
        let all = fleet.nodes.iter().enumerate();
        let herd: Vec<_> = all
            .filter(|(_, node)| node.zone == zone)
            .map(|it| it.0)
            .collect();
        for index in &herd {
            fleet.nodes[*index].kill_daemon();
        }
        Delay::new(DEAD).await;
        // They come back to a version that none of them ever held.
        let version = changes.submit(fleet, 1).await?;
        let sampler = Sampler::start(fleet);
        let begin = Instant::now();
        for index in &herd {
            fleet.restart_daemon(*index)?;
        }
        let members = herd.iter().map(|it| &fleet.nodes[*it]);
        let took = all_hold(&fleet.operator, members, version, begin).await;
        eprintln!(
            "herd: {zone}, {} daemons, {:.2} s",
            herd.len(),
            took.as_secs_f64()
        );
        slowest = slowest.max(took);
        Delay::new(AFTER).await;
        let seen = sampler.peak();
        peak.requests = peak.requests.max(seen.requests);
        peak.items = peak.items.max(seen.items);
        peak.writes = peak.writes.max(seen.writes);
        fleet.wait_members(LIMIT).await?;
    }
    let count = rounds as u64;
    let reads = |name, value| Line::new(name, value, Unit::ReadsPerSecond, count);
    reads("herd_platform_reads_per_s", peak.requests).print()?;
    reads("herd_platform_items_read_per_s", peak.items).print()?;
    reads("herd_platform_writes_per_s", peak.writes).print()?;
    Line::new(
        "herd_all_hold_s",
        slowest.as_secs_f64(),
        Unit::Seconds,
        count,
    )
    .print()?;
    Ok(())
}

/// Time until the last of these daemons serves by `version`.
async fn all_hold(
    operator: &Operator,
    nodes: impl Iterator<Item = &Node>,
    version: Version,
    begin: Instant,
) -> Duration {
    let each = nodes.map(|node| holds(operator.clone(), node.operator, version, begin));
    let tasks: Vec<_> = each.map(ntex::rt::spawn).collect();
    let mut slowest = Duration::ZERO;
    for task in tasks {
        slowest = slowest.max(task.await.unwrap_or(LIMIT));
    }
    slowest
}

/// The platform goes out under a large fleet at rest.
async fn storm(fleet: &Fleet, outage: Duration) -> Result<(), FleetError> {
    let before = Sampler::start(fleet);
    Delay::new(CALM).await;
    let calm = before.peak();
    drop(before);
    let during = Sampler::start(fleet);
    let fault = Fault::outage(outage);
    fleet.operator.fault(fleet.net.platform(), &fault).await?;
    Delay::new(outage.saturating_sub(Duration::from_millis(200))).await;
    let out = during.peak();
    drop(during);
    let after = Sampler::start(fleet);
    Delay::new(AFTER).await;
    let end = after.peak();
    let count = fleet.nodes.len() as u64;
    let reads = |name, value| Line::new(name, value, Unit::ReadsPerSecond, count);
    reads("outage_before_reads_per_s", calm.requests).print()?;
    reads("outage_during_reads_per_s", out.requests).print()?;
    reads("outage_end_reads_per_s", end.requests).print()?;
    reads("outage_end_items_read_per_s", end.items).print()?;
    Ok(())
}

/// The platform goes out while calls flow.
async fn calls(outage: Duration) -> Result<(), FleetError> {
    let fleet = Fleet::start(Shape::default()).await?;
    let paths = "/floatdesk:2,/refundhall:1";
    let load = LoadOptions::new(fleet.callers())
        .rate(RATE)
        .duration(CALM + outage + CALM)
        .get_paths(paths.parse().expect("a valid mix"))
        .post_paths(paths.parse().expect("a valid mix"))
        .post_percent(30);
    let under_way = ntex::rt::spawn(run_load(load));
    Delay::new(CALM).await;
    let fault = Fault::outage(outage);
    fleet.operator.fault(fleet.net.platform(), &fault).await?;
    let report = under_way.await;
    let report = report.map_err(|_| FleetError::Io("the load ended early".to_owned()))?;
    explain("outage", &report);
    let tally = &report.total.tally;
    let lost = as_f64(tally.calls - tally.answered);
    Line::new("outage_calls_lost", lost, Unit::Calls, tally.calls).print()?;
    Line::new("outage_length_s", outage.as_secs_f64(), Unit::Seconds, 1).print()?;
    fleet.finish();
    Ok(())
}
