//! Routing of calls to one side of a service under a roll-out.

use crate::canaries::Canaries;
use crate::order::Software;
use crate::plan::TRIAL_SHARE;
use crate::progress::{Step, UnixTime};

/// The groups of targets between which the calls of a service under a roll-out are divided.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Side {
    /// Targets of every version but the ordered one.
    Old,
    /// The canaries: the targets of the ordered version that are tried first.
    Canary,
    /// All targets of the ordered version.
    New,
}

impl Side {
    /// Returns the side to which a call goes that this side refused without running it: the
    /// executor that refused knows of a later step.
    #[must_use]
    pub fn other(self) -> Self {
        match self {
            Self::Old => Self::New,
            Self::Canary | Self::New => Self::Old,
        }
    }
}

/// The state of a roll-out by which calls for one service are routed.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutRouting {
    /// The version that was ordered.
    pub target: Software,
    /// The present step of the roll-out.
    pub step: Step,
    /// The targets of the new version that are tried first.
    pub canaries: Canaries,
    /// Number of known targets of the old side.
    pub old: usize,
    /// The deadline of the roll-out.
    pub due: UnixTime,
}

impl RolloutRouting {
    /// Chooses the side of a call by `draw`, a number drawn evenly from 0 to 1. Calls of a route
    /// with weight `weight` are tried that many times as often as the service's calls on average,
    /// see [`RouteMix`](crate::RouteMix).
    #[must_use]
    pub fn side(&self, draw: f64, weight: f64, now: UnixTime) -> Side {
        match self.step_at(now) {
            // No target of the old side is known: either the service runs the ordered version
            // already, or this daemon has just met its first peers. In the second case the
            // executors know more and refuse.
            Step::Ordered | Step::Trial | Step::Load if self.old == 0 => Side::New,
            Step::Trial if draw < TRIAL_SHARE * weight => Side::Canary,
            Step::Load if draw < self.canaries.load() => Side::Canary,
            Step::All | Step::Completed => Side::New,
            Step::Ordered | Step::Trial | Step::Load | Step::Halted | Step::RolledBack => Side::Old,
        }
    }

    /// The step in effect at `now`. A load step that is still open at the deadline has found what
    /// it could. It stays open while the store is unreachable, and must not cost more calls than a
    /// trial.
    fn step_at(&self, now: UnixTime) -> Step {
        match self.step {
            Step::Load if now > self.due => Step::Trial,
            step => step,
        }
    }

    /// Returns whether an executor may run a call on its target. It protects against entries that
    /// do not know the present step yet.
    #[must_use]
    pub fn admits(&self, software: &str, upstream: &str) -> bool {
        let is_new = software == self.target;
        match self.step {
            Step::Ordered => !is_new || self.old == 0,
            Step::Trial | Step::Load => {
                !is_new || self.old == 0 || self.canaries.contains(upstream)
            }
            Step::Halted | Step::RolledBack => !is_new,
            Step::All | Step::Completed => is_new,
        }
    }
}
