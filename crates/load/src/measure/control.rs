//! Bytes of control traffic: at rest, for a change, and over a day, beside a
//! fleet that polls.

use std::time::Duration;

use futures_timer::Delay;

use crate::baseline::Pollers;
use crate::fleet::{Fleet, FleetError, Line, Shape, Unit};
use crate::measure::as_f64;
use crate::measure::changes::{Changes, encoded_bytes};
use crate::measure::program::Scale;
use crate::measure::reading::{Observed, Traffic, highest, mean, observe, observe_rest, read};
use crate::measure::sockets::traced_bytes;

/// Time for a fleet to come to rest after its start.
const SETTLE: Duration = Duration::from_secs(15);

/// Upstreams in a change of about 1 KB.
const LARGE: usize = 32;

const CHANGES_A_DAY: f64 = 2_100.0;
const SECONDS_A_DAY: f64 = 86_400.0;

/// Time from one change to the next.
const INTERVAL: Duration = Duration::from_millis(500);

/// What changes of one size cost a daemon.
struct ChangeCost {
    encoded: f64,
    bytes: Traffic,
}

pub(crate) async fn run(scale: Scale) -> Result<(), FleetError> {
    let shape = Shape::two_years(scale.pick(24, 200));
    let mut changes = Changes::new(shape.resources());
    let fleet = Fleet::start(shape.clone()).await?;
    Delay::new(SETTLE).await;
    let rest = observe_rest(&fleet, Duration::from_secs(scale.pick(5, 60))).await?;
    print_rest(&rest)?;
    check_sockets(&fleet, Duration::from_secs(scale.pick(5, 30))).await?;
    let count = scale.pick(10, 60);
    let small = change_cost(&fleet, &mut changes, &rest, 1, count).await?;
    let large = change_cost(&fleet, &mut changes, &rest, LARGE, count).await?;
    print_change("control_change_ratio_one_upstream", &small, count)?;
    print_change("control_change_ratio", &large, count)?;
    fleet.finish();
    let polling = polling(&shape, &mut changes, scale).await?;
    print_day(&rest, &large, &polling)
}

fn print_rest(rest: &Observed) -> Result<(), FleetError> {
    let traffic = rest.mean_traffic();
    let totals: Vec<_> = rest.traffic.iter().map(|it| it.total()).collect();
    let count = rest.traffic.len() as u64;
    let figures = [
        ("control_rest_bytes_per_s", traffic.total()),
        ("control_rest_membership_bytes_per_s", traffic.membership),
        (
            "control_rest_configuration_bytes_per_s",
            traffic.configuration,
        ),
        ("control_rest_platform_bytes_per_s", traffic.platform),
        ("control_rest_busiest_bytes_per_s", highest(&totals)),
    ];
    for (name, value) in figures {
        Line::new(name, value, Unit::BytesPerSecond, count).print()?;
    }
    let cores = |name, value| Line::new(name, value, Unit::Cores, count);
    cores("control_rest_processor", mean(&rest.cores)).print()?;
    cores("control_rest_busiest_processor", highest(&rest.cores)).print()?;
    Line::new(
        "control_rest_memory",
        highest(&rest.memory),
        Unit::Bytes,
        count,
    )
    .print()?;
    Ok(())
}

/// Holds what a daemon counts against what a tracer sees at its sockets.
async fn check_sockets(fleet: &Fleet, length: Duration) -> Result<(), FleetError> {
    let Some(daemon) = &fleet.nodes[0].daemon else {
        return Ok(());
    };
    let before = read(fleet).await?[0].traffic;
    let traced = traced_bytes(daemon.id(), length, &std::env::temp_dir()).await?;
    let counted = read(fleet).await?[0].traffic.minus(before).total();
    let traced = traced.unwrap_or(f64::NAN);
    Line::new("control_traced_bytes", traced, Unit::Bytes, 1).print()?;
    Line::new("control_counted_bytes", counted, Unit::Bytes, 1).print()?;
    Ok(())
}

async fn change_cost(
    fleet: &Fleet,
    changes: &mut Changes,
    rest: &Observed,
    upstreams: usize,
    count: u32,
) -> Result<ChangeCost, FleetError> {
    let encoded = encoded_bytes(changes.next(upstreams));
    let work = changes.submit_many(fleet, upstreams, count, INTERVAL);
    let (busy, _) = observe(fleet, work).await?;
    let extra = busy.mean_traffic().minus(rest.mean_traffic());
    Ok(ChangeCost {
        encoded: as_f64(encoded as u64),
        bytes: extra.times(busy.seconds / f64::from(count)),
    })
}

fn print_change(name: &str, cost: &ChangeCost, count: u32) -> Result<(), FleetError> {
    let count = u64::from(count);
    let bytes = cost.bytes.configuration + cost.bytes.platform;
    Line::new(name, bytes / cost.encoded, Unit::Ratio, count).print()?;
    let bytes = |part: &str, value| {
        let name = format!("{name}_{part}");
        Line::new(&name, value, Unit::Bytes, count)
    };
    bytes("encoded", cost.encoded).print()?;
    bytes("configuration", cost.bytes.configuration).print()?;
    bytes("platform", cost.bytes.platform).print()?;
    Ok(())
}

/// Bytes of one polling daemon: a second at rest, and a change.
async fn polling(
    shape: &Shape,
    changes: &mut Changes,
    scale: Scale,
) -> Result<(f64, f64), FleetError> {
    let length = Duration::from_secs(scale.pick(5, 30));
    let count = scale.pick(3, 20);
    let mut pollers = Pollers::start(shape).await?;
    let daemons = as_f64(shape.daemon_count() as u64);
    Delay::new(Duration::from_secs(2)).await;
    let before = pollers.bytes();
    Delay::new(length).await;
    let rest = as_f64(pollers.bytes() - before) / daemons / length.as_secs_f64();
    let before = pollers.bytes();
    let begin = std::time::Instant::now();
    for _ in 0..count {
        pollers.change(changes.next(LARGE)).await?;
    }
    let idle = rest * begin.elapsed().as_secs_f64();
    let bytes = as_f64(pollers.bytes() - before) / daemons - idle;
    let change = bytes / f64::from(count);
    let line = |name, value, unit| Line::new(name, value, unit, shape.daemon_count() as u64);
    line(
        "control_rest_bytes_per_s_polling",
        rest,
        Unit::BytesPerSecond,
    )
    .print()?;
    line("control_change_bytes_polling", change, Unit::Bytes).print()?;
    Ok((rest, change))
}

/// A day's bytes of one daemon. The polling fleet would need to know its
/// members as well, so it is charged with the same membership traffic; the
/// second figure leaves membership out on both sides.
fn print_day(rest: &Observed, change: &ChangeCost, polling: &(f64, f64)) -> Result<(), FleetError> {
    let at_rest = rest.mean_traffic();
    let of_changes = (change.bytes.configuration + change.bytes.platform) * CHANGES_A_DAY;
    let ours = (at_rest.configuration + at_rest.platform) * SECONDS_A_DAY + of_changes;
    let theirs = polling.0 * SECONDS_A_DAY + polling.1 * CHANGES_A_DAY;
    let membership = at_rest.membership * SECONDS_A_DAY;
    let ratio = |name, value| Line::new(name, value, Unit::Ratio, 1);
    let whole = (ours + membership) / (theirs + membership);
    ratio("control_day_vs_polling", whole).print()?;
    ratio("control_day_vs_polling_configuration", ours / theirs).print()?;
    let bytes = |name, value| Line::new(name, value, Unit::Bytes, 1);
    bytes("control_day_membership_bytes", membership).print()?;
    bytes("control_day_configuration_bytes", ours).print()?;
    bytes("control_day_configuration_bytes_polling", theirs).print()?;
    Ok(())
}
