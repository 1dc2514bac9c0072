//! Heartbeats of the local target, and what can contradict them.

use std::time::Duration;

use smol_str::SmolStr;

use crate::generation::StartMillis;

/// A target's report about itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// Id of this generation of the target; see [`generation_id`](crate::generation_id).
    pub upstream: SmolStr,
    /// Start time of this generation, if the target reports it.
    pub born: Option<StartMillis>,
    /// Service that the target runs.
    pub service: SmolStr,
    /// Version of the target's software, as free text.
    pub software: SmolStr,
    /// Number of calls that the target runs concurrently.
    pub slots: u32,
    /// Number that increases with each heartbeat of one generation.
    pub sequence: u64,
    /// Whether the target is about to stop.
    pub draining: bool,
    /// Remaining warm-up time after the target's start, during which it is slow.
    pub cold: Duration,
}

/// Outcome of processing a heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeartbeatOutcome {
    /// The heartbeat is the newest one and was applied.
    Accepted,
    /// The heartbeat is of another generation than the one that the target last confirmed. The
    /// confirmed one stays current until the target is asked which it is.
    Disputed,
    /// The heartbeat is older than the known state. If it announces a drain, that was recorded.
    Stale,
    /// The heartbeat names a service that the configuration does not have, or, before the first
    /// configuration, another one than the settings. No call could ever use it, so its sender is
    /// not the target.
    UnknownService,
}

/// What is known of the target that a heartbeat contradicts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Contradiction {
    /// The generation announced that it leaves.
    Departed,
    /// A heartbeat of the generation with this number arrived before.
    Sequence(u64),
    /// The current generation started at this time, which is later.
    StartTime(Option<StartMillis>),
    /// The target confirmed that it is this generation.
    Generation(SmolStr),
    /// The target has answered as another generation than the sender. The current one is this
    /// if it is known.
    RuledOut(Option<SmolStr>),
}
