//! The behaviour of the target and the message that changes it.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use xxhash_rust::xxh3::xxh3_64;

/// Factor by which a run takes longer right after the start.
const COLD_FACTOR: u32 = 4;

/// How `/healthz` reports the state of the target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Health {
    /// The current state.
    #[default]
    Honest,
    /// Always ready and without load, however many slots are in use.
    AlwaysIdle,
    /// Never ready, although calls succeed.
    NeverReady,
    /// Ready, with the load at the time of the previous request.
    Lagging,
}

/// Behaviour of the target, which a [`BehaviourChange`] can change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Behaviour {
    /// Number of calls that run at a time; further calls are shed.
    pub slots: u32,
    /// Mean time of a run.
    pub service_time: Duration,
    /// Largest deviation of the time of a run from the mean.
    pub service_spread: Duration,
    /// Time after the start during which runs are slower, by a factor that falls to one.
    pub cold_start: Duration,
    /// How `/healthz` reports the state of the target.
    pub health: Health,
    /// Number `n` for which every `n`th answer is truncated; 0 for none.
    pub truncate_every: u64,
    /// Number `n` for which the connection is closed without an answer after every `n`th run; 0 for
    /// none.
    pub drop_every: u64,
    /// Number `n` for which every `n`th answer to a call comes behind a copy of the answer before it
    /// on its connection; 0 for none.
    pub repeat_every: u64,
    /// Whether runs don't end until this is reset, so that a test can check what happens during a
    /// run without depending on time.
    pub holds_runs: bool,
    /// Text that all answers name as the limit of requests per second; none if empty.
    pub limit: SmolStr,
    /// Whether all answers state that the target leaves.
    pub leaves: bool,
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
            repeat_every: 0,
            holds_runs: false,
            limit: SmolStr::default(),
            leaves: false,
        }
    }
}

impl Behaviour {
    /// Returns the time of run number `run` if it starts `age` after the start of the target.
    #[must_use]
    pub fn run_time(&self, run: u64, age: Duration) -> Duration {
        let spread = self.service_spread.min(self.service_time);
        let shortest = self.service_time.checked_sub(spread).unwrap_or_default();
        let time = shortest + spread.mul_f64(2.0 * unit_interval(run));
        time.mul_f64(self.cold_factor(age))
    }

    /// Applies the values that are present in `change`.
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
        self.repeat_every = change.repeat_every.unwrap_or(self.repeat_every);
        self.holds_runs = change.holds_runs.unwrap_or(self.holds_runs);
        if let Some(limit) = &change.limit {
            self.limit = limit.clone();
        }
        self.leaves = change.leaves.unwrap_or(self.leaves);
    }

    fn cold_factor(&self, age: Duration) -> f64 {
        if age >= self.cold_start {
            return 1.0;
        }
        let cold = 1.0 - age.as_secs_f64() / self.cold_start.as_secs_f64();
        1.0 + f64::from(COLD_FACTOR - 1) * cold
    }
}

/// Body of `POST /admin/behaviour`. Absent values stay unchanged.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct BehaviourChange {
    /// Number of calls that run at a time.
    pub slots: Option<u32>,
    /// Mean time of a run, in milliseconds.
    pub service_time_ms: Option<f64>,
    /// Largest deviation of the time of a run from the mean, in milliseconds.
    pub service_spread_ms: Option<f64>,
    /// How `/healthz` reports the state of the target.
    pub health: Option<Health>,
    /// Number `n` for which every `n`th answer is truncated.
    pub truncate_every: Option<u64>,
    /// Number `n` for which the connection is closed without an answer after every `n`th run.
    pub drop_every: Option<u64>,
    /// Number `n` for which every `n`th answer to a call comes behind a copy of the answer before it
    /// on its connection.
    pub repeat_every: Option<u64>,
    /// Whether runs don't end until this is reset.
    pub holds_runs: Option<bool>,
    /// Text that all answers name as the limit of requests per second.
    pub limit: Option<SmolStr>,
    /// Whether all answers state that the target leaves.
    pub leaves: Option<bool>,
    /// Whether to silence all currently open connections for good.
    pub silence_connections: bool,
}

/// Returns a number from 0 to 1 that depends only on `run`, so that two programs with equal
/// settings have equal run times.
fn unit_interval(run: u64) -> f64 {
    let bits = u32::try_from(xxh3_64(&run.to_le_bytes()) >> 32).unwrap_or_default();
    f64::from(bits) / f64::from(u32::MAX)
}
