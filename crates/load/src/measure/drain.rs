//! How soon a draining daemon's target gets no new work, and whether any call
//! is cut by a drain.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use futures_timer::Delay;
use stoatstep_standin_target::Counts;

use crate::fleet::{Fleet, FleetError, Line, Shape, TargetShape, Unit};
use crate::load::{Audit, LoadOptions, Tally, run as run_load};
use crate::measure::program::Scale;
use crate::measure::{as_f64, explain};

/// Load before the first drain and between two.
const GAP: Duration = Duration::from_secs(2);

/// A graceful stop must end within this.
const STOP_LIMIT: Duration = Duration::from_secs(20);

/// How long new work is looked for after the stop began, where no daemon is
/// there to end.
const PLAIN_WAIT: Duration = Duration::from_secs(4);

/// What the drains did.
#[derive(Default)]
struct Drains {
    count: u32,
    new_work: Duration,
    cancelled: u64,
    unclean: u64,
}

fn shape() -> Shape {
    Shape::default().target(TargetShape {
        service_time: Duration::from_millis(50),
        service_spread: Duration::from_millis(40),
    })
}

fn load(fleet: &Fleet, length: Duration) -> LoadOptions {
    let paths = "/floatdesk:2,/refundhall:1";
    LoadOptions::new(fleet.callers())
        .rate(400.0)
        .duration(length)
        .get_paths(paths.parse().expect("a valid mix"))
        .post_paths(paths.parse().expect("a valid mix"))
        .post_percent(50)
        .deadline(Duration::from_secs(2))
        .patience(Duration::from_secs(10))
}

pub(crate) async fn run(scale: Scale) -> Result<(), FleetError> {
    let rounds = scale.pick(1, 6);
    let mut fleet = Fleet::start(shape()).await?;
    let length = GAP + rounds * Duration::from_secs(8);
    let under_way = ntex::rt::spawn(run_load(load(&fleet, length)));
    Delay::new(GAP).await;
    let mut drains = Drains::default();
    for round in 0..rounds {
        drain(&mut fleet, index(round), &mut drains).await?;
    }
    let report = under_way.await.map_err(|_| ended_early())?;
    let audit = Audit::new(&report, &fleet.ledgers().await?);
    let tally = &report.total.tally;
    let cut = drains.cancelled + drains.unclean + audit.unanswered_runs + tally.wrong;
    print(&drains, cut, tally, None)?;
    explain("drain", &report);
    fleet.finish();
    plain(rounds).await
}

async fn drain(fleet: &mut Fleet, index: usize, drains: &mut Drains) -> Result<(), FleetError> {
    let began = SystemTime::now();
    let operator = fleet.operator.clone();
    operator.drain(fleet.nodes[index].operator).await?;
    let daemon = fleet.nodes[index].daemon.as_mut();
    let ended = match daemon {
        Some(daemon) => daemon.exit(STOP_LIMIT).await,
        None => None,
    };
    if !ended.is_some_and(|status| status.success()) {
        drains.unclean += 1;
    }
    note(fleet, index, began, drains).await?;
    fleet.restart_daemon(index)?;
    fleet.wait_members(STOP_LIMIT).await?;
    Delay::new(GAP).await;
    Ok(())
}

/// Adds what the target says about a drain that began at `began`.
async fn note(
    fleet: &Fleet,
    index: usize,
    began: SystemTime,
    drains: &mut Drains,
) -> Result<(), FleetError> {
    let target = fleet.nodes[index].target_addr;
    let http = fleet.operator.http();
    let counts: Counts = http.get(target, "/admin/counts", "").await?;
    let last = UNIX_EPOCH + Duration::from_millis(counts.last_start_unix_ms);
    let new_work = last.duration_since(began).unwrap_or_default();
    drains.count += 1;
    drains.new_work = drains.new_work.max(new_work);
    drains.cancelled += counts.cancelled;
    Ok(())
}

/// The plain router knows no drain: the target is asked to stop and work goes
/// on arriving.
async fn plain(rounds: u32) -> Result<(), FleetError> {
    let mut fleet = Fleet::start_plain(shape(), 4).await?;
    let length = GAP + rounds * (PLAIN_WAIT + GAP);
    let under_way = ntex::rt::spawn(run_load(load(&fleet, length)));
    Delay::new(GAP).await;
    let mut drains = Drains::default();
    for round in 0..rounds {
        let index = index(round);
        let began = SystemTime::now();
        // The target's own word that it wants no more, which nobody reads.
        let body = serde_json::json!({"health": "never_ready"});
        let target = fleet.nodes[index].target_addr;
        let http = fleet.operator.http();
        http.post(target, "/admin/behaviour", "", &body).await?;
        Delay::new(PLAIN_WAIT).await;
        note(&fleet, index, began, &mut drains).await?;
        fleet.restart_target(index)?;
        Delay::new(GAP).await;
    }
    let report = under_way.await.map_err(|_| ended_early())?;
    let tally = &report.total.tally;
    let audit = Audit::new(&report, &fleet.ledgers().await?);
    let cut = drains.cancelled + audit.unanswered_runs + tally.wrong;
    print(&drains, cut, tally, Some("plain"))?;
    fleet.finish();
    Ok(())
}

fn print(drains: &Drains, cut: u64, tally: &Tally, suffix: Option<&str>) -> Result<(), FleetError> {
    let count = u64::from(drains.count);
    let lines = [
        Line::new(
            "drain_new_work_s",
            drains.new_work.as_secs_f64(),
            Unit::Seconds,
            count,
        ),
        Line::new("drain_cut", as_f64(cut), Unit::Calls, count),
        Line::new(
            "drain_not_run",
            as_f64(tally.not_run),
            Unit::Calls,
            tally.calls,
        ),
        Line::new(
            "drain_unknown",
            as_f64(tally.unknown),
            Unit::Calls,
            tally.calls,
        ),
    ];
    for line in lines {
        line.suffixed(suffix).print()?;
    }
    Ok(())
}

/// Spreads the rounds over both services.
fn index(round: u32) -> usize {
    const NODES: [usize; 6] = [2, 9, 5, 0, 11, 7];
    NODES[round as usize % NODES.len()]
}

fn ended_early() -> FleetError {
    FleetError::Io("the load ended early".to_owned())
}
