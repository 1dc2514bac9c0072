//! The times at which the steps of a roll-out are due.
//!
//! The *exposure* is the part of a service's calls that a bad version may get between order and
//! deadline. As time at the full rate of calls, that is a budget of `exposure * lasts`. The plan
//! spends most of it on three steps:
//!
//! | step | share of calls | duration |
//! | --- | --- | --- |
//! | trial | a small fixed part | until the load step |
//! | load | the part that makes the canaries as occupied as the old targets | some seconds |
//! | all | all | what is left of the budget, up to the deadline |
//!
//! So the limit holds even if the version turns bad at the last step and nobody notices before the
//! deadline.

use std::time::Duration;

use crate::progress::{Progress, Step, UnixTime};

/// Part of a service's calls that goes to the canaries in the trial step. At 1,500 calls a second
/// it is 22 a second: a version that fails every second call is found within a second or two, after
/// some twenty failures.
pub(crate) const TRIAL_SHARE: f64 = 0.015;

/// Part of the exposure that the plan spends. The rest covers bursts of calls and calls that are on
/// their way when the version is halted.
const PLANNED_PART: f64 = 0.85;

/// Part of the budget that the load step may take.
const LOAD_BUDGET: f64 = 0.25;

/// Maximum duration of the load step, as a part of the roll-out's duration. A target that is bad
/// under load shows it within two seconds of the step, in a roll-out of the usual fifteen.
const MAX_LOAD_PART: f64 = 0.15;

/// Minimum time for all daemons to learn of the last step and for the old side to finish its calls.
/// A run takes some tenths of a second, and a call may wait as long before it.
const MIN_ALL: Duration = Duration::from_millis(700);

/// Time before the deadline at which the roll-out is completed even if some runs on the old side
/// continue. A daemon checks every 200 ms whether it is time; the check takes some milliseconds,
/// and so do the read and the write that fix the end. With a shorter time, a daemon that is alone
/// would miss every fourth deadline.
const COMPLETION_MARGIN: Duration = Duration::from_millis(350);

/// The times at which the steps of one roll-out are due, measured back from its deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Plan {
    load: Duration,
    all: Duration,
}

impl Plan {
    /// Plans a roll-out of duration `lasts`. A bad version may get the part `exposure` of its
    /// calls. `load` is the share of calls at which the canaries are as busy as the old targets.
    #[must_use]
    pub fn new(lasts: Duration, exposure: f64, load: f64) -> Self {
        let budget = lasts.mul_f64(exposure.clamp(0.0, 1.0) * PLANNED_PART);
        let max_load_duration = lasts.mul_f64(MAX_LOAD_PART);
        let load_duration =
            (budget.mul_f64(LOAD_BUDGET).div_f64(load.max(f64::EPSILON))).min(max_load_duration);
        let spent = lasts.mul_f64(TRIAL_SHARE) + load_duration.mul_f64(load);
        let all = budget.saturating_sub(spent).max(MIN_ALL).min(lasts);
        Self {
            load: all + load_duration,
            all,
        }
    }

    /// Returns the step that is due at `now`.
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

    /// Returns whether a roll-out at its last step has to be completed although the old side still
    /// runs calls.
    #[must_use]
    pub fn must_complete(progress: &Progress, now: UnixTime) -> bool {
        progress.due.saturating_sub(now) <= COMPLETION_MARGIN
    }
}
