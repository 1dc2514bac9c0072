//! What each daemon has used and sent so far, and the difference over a window.

use std::time::{Duration, Instant};

use futures_timer::Delay;
use stoatstep_standin_platform::CountsReport;

use crate::fleet::{Fleet, FleetError, Usage};
use crate::measure::as_f64;

/// Bytes over a daemon's sockets since its start, sent and received, heads
/// included. Calls and operators' requests are not among them.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Traffic {
    pub(crate) membership: f64,
    pub(crate) configuration: f64,
    pub(crate) platform: f64,
}

impl Traffic {
    pub(crate) fn total(self) -> f64 {
        self.membership + self.configuration + self.platform
    }

    fn map(self, other: Self, f: impl Fn(f64, f64) -> f64) -> Self {
        Self {
            membership: f(self.membership, other.membership),
            configuration: f(self.configuration, other.configuration),
            platform: f(self.platform, other.platform),
        }
    }

    pub(crate) fn minus(self, other: Self) -> Self {
        self.map(other, |a, b| a - b)
    }

    pub(crate) fn plus(self, other: Self) -> Self {
        self.map(other, |a, b| a + b)
    }

    pub(crate) fn times(self, factor: f64) -> Self {
        self.map(self, |a, _| a * factor)
    }

    /// Reads the counters from a daemon's metrics.
    pub(crate) fn of_metrics(text: &str) -> Self {
        let both = |name: &str| {
            let sent = metric(text, &format!("stoatstep_{name}_sent_bytes"));
            sent + metric(text, &format!("stoatstep_{name}_received_bytes"))
        };
        Self {
            membership: both("control_membership"),
            configuration: both("control_configuration"),
            platform: both("platform"),
        }
    }
}

/// A metric without labels; one that was never counted is 0.
fn metric(text: &str, name: &str) -> f64 {
    let mut lines = text.lines().filter_map(|line| line.split_once(' '));
    let found = lines.find(|(key, _)| *key == name);
    found
        .and_then(|(_, value)| value.parse().ok())
        .unwrap_or(0.0)
}

/// One daemon at one moment.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Reading {
    pub(crate) at: Instant,
    pub(crate) usage: Usage,
    pub(crate) traffic: Traffic,
}

/// Reads every running daemon.
pub(crate) async fn read(fleet: &Fleet) -> Result<Vec<Reading>, FleetError> {
    let mut readings = Vec::new();
    for node in fleet.running() {
        let text = fleet
            .operator
            .http()
            .text(node.operator, "/metrics")
            .await?;
        let usage = node.daemon.as_ref().map(crate::fleet::Process::usage);
        readings.push(Reading {
            at: Instant::now(),
            usage: usage.unwrap_or_default(),
            traffic: Traffic::of_metrics(&text),
        });
    }
    Ok(readings)
}

/// What the platform's stand-in was asked so far.
pub(crate) async fn counts(fleet: &Fleet) -> Result<CountsReport, FleetError> {
    let http = fleet.operator.http();
    http.get(fleet.net.platform(), "/admin/counts", "").await
}

/// What daemons used over a window.
#[derive(Clone, Debug)]
pub(crate) struct Observed {
    /// Bytes a second, for each daemon.
    pub(crate) traffic: Vec<Traffic>,
    /// Share of a core, for each daemon.
    pub(crate) cores: Vec<f64>,
    /// Resident memory at the end, for each daemon.
    pub(crate) memory: Vec<f64>,
    /// Length of the window.
    pub(crate) seconds: f64,
    /// Requests a second that read at the platform.
    pub(crate) platform_reads: f64,
    /// Rows, ranges and objects a second that these reads asked for.
    pub(crate) platform_items: f64,
    /// Requests a second that wrote at the platform.
    pub(crate) platform_writes: f64,
    /// Processor time of the platform's stand-in, as a share of a core.
    pub(crate) platform_cores: f64,
}

impl Observed {
    /// Mean over the daemons.
    pub(crate) fn mean_traffic(&self) -> Traffic {
        let sum = self.traffic.iter().copied();
        let sum = sum.fold(Traffic::default(), Traffic::plus);
        sum.times(1.0 / as_f64(self.traffic.len() as u64))
    }
}

/// Mean of some figures.
pub(crate) fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / as_f64(values.len() as u64)
}

/// Highest of some figures.
pub(crate) fn highest(values: &[f64]) -> f64 {
    values.iter().copied().fold(0.0, f64::max)
}

/// Watches a fleet for a time, during which `work` runs.
pub(crate) async fn observe<T>(
    fleet: &Fleet,
    work: impl Future<Output = Result<T, FleetError>>,
) -> Result<(Observed, T), FleetError> {
    let platform_cpu = || fleet.platform.as_ref().map(|it| it.usage().cpu);
    let counts_before = counts(fleet).await?;
    let cpu_before = platform_cpu().unwrap_or_default();
    let before = read(fleet).await?;
    let done = work.await?;
    let after = read(fleet).await?;
    let cpu_after = platform_cpu().unwrap_or_default();
    let counts_after = counts(fleet).await?;
    let millis = counts_after.uptime_ms - counts_before.uptime_ms;
    let seconds = as_f64(millis) / 1_000.0;
    let (old, new) = (&counts_before.total, &counts_after.total);
    let rate = |before: u64, after: u64| as_f64(after - before) / seconds;
    let pairs = || before.iter().zip(&after);
    let observed = Observed {
        traffic: pairs().map(|(a, b)| traffic_rate(a, b)).collect(),
        cores: pairs().map(|(a, b)| cores(a, b)).collect(),
        memory: after.iter().map(|it| as_f64(it.usage.memory)).collect(),
        seconds,
        platform_reads: rate(old.reads, new.reads),
        platform_items: rate(old.items_read, new.items_read),
        platform_writes: rate(old.writes, new.writes),
        platform_cores: (cpu_after.saturating_sub(cpu_before)).as_secs_f64() / seconds,
    };
    Ok((observed, done))
}

/// Watches a fleet that is left alone.
pub(crate) async fn observe_rest(fleet: &Fleet, length: Duration) -> Result<Observed, FleetError> {
    let rest = async {
        Delay::new(length).await;
        Ok(())
    };
    let (observed, ()) = observe(fleet, rest).await?;
    Ok(observed)
}

fn traffic_rate(before: &Reading, after: &Reading) -> Traffic {
    let seconds = (after.at - before.at).as_secs_f64();
    after.traffic.minus(before.traffic).times(1.0 / seconds)
}

fn cores(before: &Reading, after: &Reading) -> f64 {
    let seconds = (after.at - before.at).as_secs_f64();
    let cpu = after.usage.cpu.saturating_sub(before.usage.cpu);
    cpu.as_secs_f64() / seconds
}
