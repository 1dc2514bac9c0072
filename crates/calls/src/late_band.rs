//! Calls that are served after their latency objective.
//!
//! It answers load at which not all calls can be in time for a while. A late answer has a part of
//! its value until the deadline, so a late call waits behind those in time and takes what they
//! leave. It is admitted only if that is forecast to be enough before its deadline: one that waits
//! and is then refused would have been better off with a refusal at once.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Whether calls can still meet their latency objective. Of calls of one rank, those in time go
/// first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Band {
    /// They meet their objective.
    #[default]
    InTime,
    /// They don't, and are served by what the others leave.
    Late,
}

/// Share of the room that has to be left to late calls for one of them to be admitted. With less,
/// the wait is a multiple of a forecast that is itself uncertain.
const MIN_FREE_SHARE: f64 = 0.05;

/// Whether a call may wait past its objective, behind the calls that are in time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum LateWait {
    /// It is refused instead.
    #[default]
    #[serde(rename = "n")]
    No,
    /// It may, and its caller has not been refused before.
    #[serde(rename = "f")]
    FirstTry,
    /// It may, and its caller came back after a refusal.
    #[serde(rename = "r")]
    Returned,
}

impl LateWait {
    /// Whether it may wait past its objective.
    #[must_use]
    pub fn is_allowed(self) -> bool {
        self != Self::No
    }

    /// Longest forecast time to the answer of a call whose deadline is in `left`. The forecast
    /// can't know when a burst ends. Most of the room is kept for callers that came back as they
    /// were told, and that have fewer tries left.
    #[must_use]
    pub fn longest(self, left: Duration) -> Duration {
        match self {
            Self::No => Duration::ZERO,
            Self::FirstTry => left.mul_f64(FIRST_TRY_SHARE),
            Self::Returned => left.mul_f64(RETURNED_SHARE),
        }
    }
}

/// Shares of the time to its deadline within which a late call has to be forecast to be answered.
const FIRST_TRY_SHARE: f64 = 0.3;
const RETURNED_SHARE: f64 = 0.9;

/// Time in which `ahead`, the time that the room needs for what goes first, passes if calls in
/// time go on taking `used` of the room, a share. `None` if they leave hardly anything.
pub(crate) fn forecast_wait(ahead: Duration, used: f64) -> Option<Duration> {
    let free = 1.0 - used.max(0.0);
    (free >= MIN_FREE_SHARE).then(|| ahead.mul_f64(1.0 / free))
}
