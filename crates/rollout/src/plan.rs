//! When the steps of a roll-out are due.
//!
//! A version that turns out bad may have had a part of the service's calls between
//! order and deadline, the *exposure*. Counted in time at the full rate of calls, that
//! is `exposure * lasts`. The plan spends most of it in three pieces:
//!
//! | step | share of calls | for |
//! | --- | --- | --- |
//! | trial | a trickle | until the load step |
//! | load | what makes the targets tried as occupied as the old ones | some seconds |
//! | all | all | what is left of the budget, up to the deadline |
//!
//! So the bound holds also where the version turns bad at the last step and nobody
//! notices before the deadline.

use std::time::Duration;

use crate::progress::{Progress, Step, UnixTime};

/// Part of a service's calls that goes to the targets tried at first. At 1,500 calls a
/// second it is 22 a second: a version that fails every second call shows within a second
/// or two, after some twenty failures.
pub(crate) const TRIAL_SHARE: f64 = 0.015;

/// Part of the exposure that is planned with. Calls come unevenly, and what is on its way
/// when the version is halted counts as well.
const PLANNED: f64 = 0.85;

/// Part of the budget that the load step may take.
const LOAD_BUDGET: f64 = 0.25;

/// Longest load step, as a part of the whole time. A target that is bad under load shows
/// within two seconds of it at the usual fifteen.
const LONGEST_LOAD: f64 = 0.15;

/// Shortest time in which all daemons hear of the last step and the old side runs empty.
/// A run takes some tenths of a second, and a call may wait as long before it.
const LEAST_ALL: Duration = Duration::from_millis(700);

/// Time before the deadline at which the roll-out is completed though some runs on the
/// old side go on. Whether it is time is looked at every 200 ms, a look takes some
/// milliseconds, and so do the read and the write that settle it; with less, one daemon
/// alone would miss every fourth deadline.
const LAST_CALL: Duration = Duration::from_millis(350);

/// When the steps of one roll-out are due, as times before its deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Plan {
    load: Duration,
    all: Duration,
}

impl Plan {
    /// For a roll-out of this length, of whose calls a bad version may get `exposure`, and
    /// whose targets tried are as occupied as the others with a part `load` of the calls.
    #[must_use]
    pub fn new(lasts: Duration, exposure: f64, load: f64) -> Self {
        let budget = lasts.mul_f64(exposure.clamp(0.0, 1.0) * PLANNED);
        let longest = lasts.mul_f64(LONGEST_LOAD);
        let loaded = (budget.mul_f64(LOAD_BUDGET).div_f64(load.max(f64::EPSILON))).min(longest);
        let spent = lasts.mul_f64(TRIAL_SHARE) + loaded.mul_f64(load);
        let all = budget.saturating_sub(spent).max(LEAST_ALL).min(lasts);
        Self {
            load: all + loaded,
            all,
        }
    }

    /// The step that is due now.
    #[must_use]
    pub fn due(&self, progress: &Progress, now: UnixTime) -> Step {
        let left = progress.due.saturating_sub(now);
        if left <= self.all {
            Step::All
        } else if left <= self.load {
            Step::Load
        } else {
            Step::Trial
        }
    }

    /// Whether a roll-out at its last step has to be completed although the old side still
    /// runs calls.
    #[must_use]
    pub fn is_last_call(progress: &Progress, now: UnixTime) -> bool {
        progress.due.saturating_sub(now) <= LAST_CALL
    }
}
