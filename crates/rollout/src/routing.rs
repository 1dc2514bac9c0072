//! Routing of calls to one side of a service under a roll-out.

use std::time::Duration;

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

/// What is known of the targets of a service that run another version than the ordered one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum OldSide {
    /// Some are known, in any state.
    Known,
    /// None is known, which does not tell whether there are any: this daemon may have met only some
    /// of the fleet.
    Unknown,
    /// There are none: the service ran the ordered version before it was ordered.
    Absent,
}

impl OldSide {
    /// Time for which the service must have run the ordered version before the order. Daemons that
    /// do not know of each other find each other through the store within half of that.
    const RAN_BEFORE: Duration = Duration::from_mins(1);

    /// What follows from the number of known targets of the old side, and from the time for which
    /// targets of the ordered version had been known when the order came.
    #[must_use]
    pub fn of(known: usize, new_known_for: Duration) -> Self {
        match known {
            0 if new_known_for >= Self::RAN_BEFORE => Self::Absent,
            0 => Self::Unknown,
            _ => Self::Known,
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
    /// What is known of the old side.
    pub old: OldSide,
    /// The deadline of the roll-out.
    pub due: UnixTime,
}

impl RolloutRouting {
    /// Chooses the side of a call by `draw`, a number drawn evenly from 0 to 1. Calls of a route
    /// with weight `weight` are tried that many times as often as the service's calls on average,
    /// see [`RouteMix`](crate::RouteMix).
    #[must_use]
    pub fn side(&self, draw: f64, weight: f64, now: UnixTime) -> Side {
        let step = self.step_at(now);
        if matches!(step, Step::Ordered | Step::Trial | Step::Load) {
            match self.old {
                OldSide::Known => {}
                OldSide::Unknown => return Side::Old,
                OldSide::Absent => return Side::New,
            }
        }
        match step {
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
            Step::Ordered => !is_new || self.old == OldSide::Absent,
            Step::Trial | Step::Load => match self.old {
                OldSide::Known => !is_new || self.canaries.contains(upstream),
                // There is nothing to compare the version with.
                OldSide::Unknown => !is_new,
                OldSide::Absent => true,
            },
            Step::Halted | Step::RolledBack => !is_new,
            Step::All | Step::Completed => is_new,
        }
    }
}
