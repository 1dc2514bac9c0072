//! Time from an accepted change until it is in force on every daemon.

use std::time::{Duration, Instant};

use futures_timer::Delay;
use rand::RngExt;

use crate::baseline::{Pollers, PushServer};
use crate::fleet::{Fault, Fleet, FleetError, Line, Shape, Unit};
use crate::load::Histogram;
use crate::measure::changes::Changes;
use crate::measure::program::Scale;
use crate::measure::watchers::Watchers;

/// Time from one change to the next, at random within these bounds.
const GAP_MS: std::ops::Range<u64> = 200..800;

/// A change that takes longer counts as this long.
const LIMIT: Duration = Duration::from_secs(20);

/// How long the platform is out after a change, for the changes that lose it.
const OUTAGE: Duration = Duration::from_secs(8);

/// Upstreams that one change touches.
const UPSTREAMS: usize = 1;

pub(crate) async fn run(scale: Scale) -> Result<(), FleetError> {
    let shape = Shape::two_years(scale.pick(24, 200));
    let changes = scale.pick(10, 100);
    let cuts = scale.pick(2, 10);
    let fleet = Fleet::start(shape.clone()).await?;
    let base = fleet.operator.status(fleet.nodes[0].operator).await?;
    let watchers = Watchers::start(&fleet, base.version_in_force);
    let mut source = Changes::new(shape.resources());
    let times = plain_changes(&fleet, &watchers, &mut source, changes).await?;
    print("convergence_p99_s", &times, 99.0, None)?;
    print("convergence_max_s", &times, 100.0, None)?;
    let times = cut_changes(&fleet, &watchers, &mut source, cuts).await?;
    print("convergence_cut_max_s", &times, 100.0, None)?;
    drop(watchers);
    fleet.finish();
    baselines(&shape, changes).await
}

fn gap() -> Duration {
    Duration::from_millis(rand::rng().random_range(GAP_MS))
}

async fn plain_changes(
    fleet: &Fleet,
    watchers: &Watchers,
    source: &mut Changes,
    count: u32,
) -> Result<Histogram, FleetError> {
    let mut times = Histogram::default();
    for _ in 0..count {
        Delay::new(gap()).await;
        let version = source.submit(fleet, UPSTREAMS).await?;
        let accepted = Instant::now();
        let took = watchers.converged(version, accepted, LIMIT).await;
        times.record(took.unwrap_or(LIMIT));
    }
    Ok(times)
}

/// The platform goes out for every zone as soon as a change was accepted.
async fn cut_changes(
    fleet: &Fleet,
    watchers: &Watchers,
    source: &mut Changes,
    count: u32,
) -> Result<Histogram, FleetError> {
    let mut times = Histogram::default();
    let platform = fleet.net.platform();
    for _ in 0..count {
        let version = source.submit(fleet, UPSTREAMS).await?;
        let accepted = Instant::now();
        fleet
            .operator
            .fault(platform, &Fault::outage(OUTAGE))
            .await?;
        let took = watchers.converged(version, accepted, LIMIT).await;
        times.record(took.unwrap_or(LIMIT));
        let rest = OUTAGE.saturating_sub(accepted.elapsed());
        Delay::new(rest + Duration::from_secs(1)).await;
    }
    Ok(times)
}

async fn baselines(shape: &Shape, changes: u32) -> Result<(), FleetError> {
    let mut source = Changes::new(shape.resources());
    let mut pollers = Pollers::start(shape).await?;
    let mut times = Histogram::default();
    for _ in 0..changes {
        Delay::new(gap()).await;
        times.record(pollers.change(source.next(UPSTREAMS)).await?);
    }
    print("convergence_p99_s", &times, 99.0, Some("polling"))?;
    print("convergence_max_s", &times, 100.0, Some("polling"))?;
    drop(pollers);
    let mut push = PushServer::start(shape)?;
    let mut times = Histogram::default();
    for _ in 0..changes {
        Delay::new(gap()).await;
        times.record(push.change(source.next(UPSTREAMS))?);
    }
    print("convergence_p99_s", &times, 99.0, Some("push"))?;
    print("convergence_max_s", &times, 100.0, Some("push"))
}

fn print(
    name: &str,
    times: &Histogram,
    percent: f64,
    suffix: Option<&str>,
) -> Result<(), FleetError> {
    let seconds = times.percentile_ms(percent) / 1e3;
    let line = Line::new(name, seconds, Unit::Seconds, times.count());
    Ok(line.suffixed(suffix).print()?)
}
