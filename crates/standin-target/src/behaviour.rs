//! How the target behaves, and the message that changes it.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// A run takes this many times as long right after the start.
const COLD_FACTOR: u32 = 4;

/// What `/healthz` says, whatever the truth is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Health {
    /// The truth at the moment of asking.
    #[default]
    Honest,
    /// Ready and without load, however full the slots are.
    AlwaysIdle,
    /// Not ready, though calls run well.
    NeverReady,
    /// The load as it was when somebody asked the time before.
    Lagging,
}

/// How the target behaves until it is told otherwise.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Behaviour {
    /// Calls that run at a time; more are shed.
    pub slots: u32,
    /// Mean time of one run.
    pub service_time: Duration,
    /// Runs take the mean plus or minus up to this.
    pub service_spread: Duration,
    /// Time after the start in which runs are slower, less and less so.
    pub cold_start: Duration,
    /// What `/healthz` says.
    pub health: Health,
    /// Every so many-th answer is cut short; 0 for none.
    pub truncate_every: u64,
    /// After every so many-th run the connection is dropped instead of
    /// answered; 0 for none.
    pub drop_every: u64,
    /// Whether runs don't end until this is taken back, so that a test can tell what
    /// happens beside a run without measuring time.
    pub holds_runs: bool,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self {
            slots: 13,
            service_time: Duration::from_millis(5),
            service_spread: Duration::ZERO,
            cold_start: Duration::ZERO,
            health: Health::Honest,
            truncate_every: 0,
            drop_every: 0,
            holds_runs: false,
        }
    }
}

impl Behaviour {
    /// How long run number `run` takes when it begins `age` after the start.
    #[must_use]
    pub fn run_time(&self, run: u64, age: Duration) -> Duration {
        let spread = self.service_spread.min(self.service_time);
        let shortest = self.service_time.checked_sub(spread).unwrap_or_default();
        let time = shortest + spread.mul_f64(2.0 * unit_interval(run));
        time.mul_f64(self.cold_factor(age))
    }

    /// Takes over whatever `change` names.
    pub fn apply(&mut self, change: &BehaviourChange) {
        if let Some(millis) = change.service_time_ms {
            self.service_time = Duration::from_secs_f64(millis.max(0.0) / 1e3);
        }
        if let Some(millis) = change.service_spread_ms {
            self.service_spread = Duration::from_secs_f64(millis.max(0.0) / 1e3);
        }
        self.slots = change.slots.unwrap_or(self.slots);
        self.health = change.health.unwrap_or(self.health);
        self.truncate_every = change.truncate_every.unwrap_or(self.truncate_every);
        self.drop_every = change.drop_every.unwrap_or(self.drop_every);
        self.holds_runs = change.holds_runs.unwrap_or(self.holds_runs);
    }

    fn cold_factor(&self, age: Duration) -> f64 {
        if age >= self.cold_start {
            return 1.0;
        }
        let cold = 1.0 - age.as_secs_f64() / self.cold_start.as_secs_f64();
        1.0 + f64::from(COLD_FACTOR - 1) * cold
    }
}

/// What `POST /admin/behaviour` may change; whatever is absent stays.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct BehaviourChange {
    /// Calls that run at a time.
    pub slots: Option<u32>,
    /// Mean time of one run, in milliseconds.
    pub service_time_ms: Option<f64>,
    /// Spread around the mean, in milliseconds.
    pub service_spread_ms: Option<f64>,
    /// What `/healthz` says.
    pub health: Option<Health>,
    /// Every so many-th answer is cut short.
    pub truncate_every: Option<u64>,
    /// After every so many-th run the connection is dropped.
    pub drop_every: Option<u64>,
    /// Whether runs don't end until this is taken back.
    pub holds_runs: Option<bool>,
    /// Silences, for good, every connection that is open now.
    pub silence_connections: bool,
}

/// A number in 0..1 that depends on `run` alone, so that two programs with
/// equal settings take equal times.
fn unit_interval(run: u64) -> f64 {
    let bits = u32::try_from(xxh3_64(&run.to_le_bytes()) >> 32).unwrap_or_default();
    f64::from(bits) / f64::from(u32::MAX)
}
