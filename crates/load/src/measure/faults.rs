//! Claims while daemons and targets are killed, frozen and drained and
//! connections go silent: what ran, against what callers were told.

use std::time::Duration;

use futures_timer::Delay;
use serde_json::json;

use crate::fleet::{Fault, Fleet, FleetError, Line, Shape, TargetShape, Unit};
use crate::load::{Audit, LoadOptions, Report, run as run_load};
use crate::measure::program::Scale;
use crate::measure::{as_f64, explain};

/// Time from one fault to the next.
const PERIOD: Duration = Duration::from_millis(2_500);

/// How long a process stays down.
const DOWN: Duration = Duration::from_millis(1_500);

/// How long a daemon stays frozen: long enough that the others give it up, so
/// that it wakes to a fleet that went on without it.
const FROZEN: Duration = Duration::from_secs(5);

/// A drained daemon must be gone within this.
const STOP_LIMIT: Duration = Duration::from_secs(15);

const RATE: f64 = 1_000.0;

/// Share of calls that must run at most once, in percent.
const POST_PERCENT: u32 = 75;

/// Callers go on for so long; every fault is over by then.
const PATIENCE: Duration = Duration::from_secs(20);

/// What is broken next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Trouble {
    KillDaemon,
    FreezeDaemon,
    KillTarget,
    FreezeTarget,
    SilenceConnections,
    DropAnswers,
    CutAnswers,
    RepeatAnswers,
    DrainDaemon,
    PlatformOutage,
    PlatformLosesAnswers,
    KillDaemonInOutage,
}

impl Trouble {
    const ALL: [Self; 12] = [
        Self::KillDaemon,
        Self::SilenceConnections,
        Self::FreezeDaemon,
        Self::DropAnswers,
        Self::KillTarget,
        Self::DrainDaemon,
        Self::FreezeTarget,
        Self::CutAnswers,
        Self::RepeatAnswers,
        Self::PlatformOutage,
        Self::KillDaemonInOutage,
        Self::PlatformLosesAnswers,
    ];

    /// What a plain router can meet, having neither daemons nor a platform.
    const PLAIN: [Self; 5] = [
        Self::KillTarget,
        Self::SilenceConnections,
        Self::FreezeTarget,
        Self::DropAnswers,
        Self::CutAnswers,
    ];
}

fn shape() -> Shape {
    Shape::default().target(TargetShape {
        service_time: Duration::from_millis(10),
        service_spread: Duration::from_millis(8),
    })
}

pub(crate) async fn run(scale: Scale) -> Result<(), FleetError> {
    let seconds = scale.pick(36, 135);
    let mut fleet = Fleet::start(shape()).await?;
    measure(&mut fleet, seconds, &Trouble::ALL, None).await?;
    fleet.finish();
    let mut fleet = Fleet::start_plain(shape(), 4).await?;
    let seconds = scale.pick(14, 30);
    measure(&mut fleet, seconds, &Trouble::PLAIN, Some("plain")).await?;
    fleet.finish();
    Ok(())
}

async fn measure(
    fleet: &mut Fleet,
    seconds: u64,
    troubles: &[Trouble],
    suffix: Option<&str>,
) -> Result<(), FleetError> {
    let length = Duration::from_secs(seconds);
    let paths = "/floatdesk:2,/refundhall:1";
    let load = LoadOptions::new(fleet.callers())
        .rate(RATE)
        .duration(length)
        .get_paths(paths.parse().expect("a valid mix"))
        .post_paths(paths.parse().expect("a valid mix"))
        .post_percent(POST_PERCENT)
        .bytes(300)
        .patience(PATIENCE);
    let under_way = ntex::rt::spawn(run_load(load));
    let rounds = length.as_millis() / PERIOD.as_millis();
    for round in 0..usize::try_from(rounds).unwrap_or(0) {
        Delay::new(PERIOD).await;
        let trouble = troubles[round % troubles.len()];
        // A stride that meets every node in turn, whatever the trouble.
        let index = (round * 5 + 1) % fleet.nodes.len();
        cause(fleet, trouble, index).await?;
    }
    let ended_early = |_| FleetError::Io("the load ended early".to_owned());
    let report = under_way.await.map_err(ended_early)?;
    let audit = Audit::new(&report, &fleet.ledgers().await?);
    explain("faults", &report);
    if !audit.examples.is_empty() {
        eprintln!(
            "broken promises, by key or marker: {}",
            audit.examples.join(" ")
        );
    }
    print(&report, &audit, suffix)
}

async fn cause(fleet: &mut Fleet, trouble: Trouble, index: usize) -> Result<(), FleetError> {
    match trouble {
        Trouble::KillDaemon => kill_daemon(fleet, index).await?,
        Trouble::FreezeDaemon => {
            if let Some(daemon) = &fleet.nodes[index].daemon {
                daemon.freeze();
                Delay::new(FROZEN).await;
                daemon.thaw();
            }
        }
        Trouble::KillTarget => {
            fleet.nodes[index].kill_target();
            Delay::new(DOWN).await;
            fleet.restart_target(index)?;
        }
        Trouble::FreezeTarget => {
            if let Some(target) = &fleet.nodes[index].target {
                target.freeze();
                Delay::new(DOWN).await;
                target.thaw();
            }
        }
        Trouble::SilenceConnections => {
            behave(fleet, index, &json!({"silence_connections": true})).await?;
        }
        Trouble::DropAnswers => {
            behave(fleet, index, &json!({"drop_every": 3})).await?;
            Delay::new(DOWN).await;
            behave(fleet, index, &json!({"drop_every": 0})).await?;
        }
        Trouble::CutAnswers => {
            behave(fleet, index, &json!({"truncate_every": 3})).await?;
            Delay::new(DOWN).await;
            behave(fleet, index, &json!({"truncate_every": 0})).await?;
        }
        Trouble::RepeatAnswers => {
            behave(fleet, index, &json!({"repeat_every": 3})).await?;
            Delay::new(DOWN).await;
            behave(fleet, index, &json!({"repeat_every": 0})).await?;
        }
        Trouble::DrainDaemon => drain(fleet, index).await?,
        Trouble::PlatformOutage => break_platform(fleet, Fault::outage(DOWN)).await?,
        Trouble::PlatformLosesAnswers => break_platform(fleet, Fault::lost_answers(DOWN)).await?,
        Trouble::KillDaemonInOutage => {
            break_platform(fleet, Fault::outage(2 * DOWN)).await?;
            kill_daemon(fleet, index).await?;
        }
    }
    Ok(())
}

async fn kill_daemon(fleet: &mut Fleet, index: usize) -> Result<(), FleetError> {
    fleet.nodes[index].kill_daemon();
    Delay::new(DOWN).await;
    fleet.restart_daemon(index)
}

async fn break_platform(fleet: &Fleet, fault: Fault) -> Result<(), FleetError> {
    fleet.operator.fault(fleet.net.platform(), &fault).await
}

async fn behave(fleet: &Fleet, index: usize, change: &serde_json::Value) -> Result<(), FleetError> {
    let target = fleet.nodes[index].target_addr;
    let http = fleet.operator.http();
    http.post(target, "/admin/behaviour", "", change)
        .await
        .map(drop)
}

async fn drain(fleet: &mut Fleet, index: usize) -> Result<(), FleetError> {
    let operator = fleet.operator.clone();
    operator.drain(fleet.nodes[index].operator).await?;
    if let Some(daemon) = &mut fleet.nodes[index].daemon
        && daemon.exit(STOP_LIMIT).await.is_none()
    {
        eprintln!("daemon {index} was still there after its drain");
    }
    fleet.restart_daemon(index)
}

fn print(report: &Report, audit: &Audit, suffix: Option<&str>) -> Result<(), FleetError> {
    let tally = &report.total.tally;
    let calls = tally.calls;
    let count = |name, value| Line::new(name, as_f64(value), Unit::Calls, calls);
    let share = |value| as_f64(value) / as_f64(calls);
    let lines = [
        count("faults_calls", calls),
        count("faults_non_idempotent_calls", report.keyed_calls()),
        count("faults_duplicates", audit.duplicates),
        count("faults_untrue_refusals", audit.untrue_refusals),
        count("faults_wrong_answers", tally.wrong),
        count("faults_answers_without_run", audit.missing),
        count("faults_runs_without_answer", audit.unanswered_runs),
        Line::new(
            "faults_unknown_share",
            share(tally.unknown),
            Unit::Ratio,
            calls,
        ),
        Line::new(
            "faults_not_run_share",
            share(tally.not_run),
            Unit::Ratio,
            calls,
        ),
        count("faults_idempotent_lost", report.idempotent_unanswered()),
    ];
    for line in lines {
        line.suffixed(suffix).print()?;
    }
    Ok(())
}
