//! How long to wait between tries.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use stoatstep_platform::PlatformError;

use crate::config::LogConfig;

/// Full jitter within a budget of time.
///
/// After an outage every daemon tries again. Equal waits would keep them in
/// step and hit the platform as one; a wait drawn from the whole interval
/// spreads them evenly. The budget ends a try that nobody waits for any more.
#[derive(Clone, Debug)]
pub(crate) struct Backoff {
    rng: Xoshiro256PlusPlus,
    bound: Duration,
    longest: Duration,
    budget: Duration,
    deadline: Option<Duration>,
}

impl Backoff {
    pub(crate) fn new(cfg: &LogConfig, seed: u64) -> Self {
        Self {
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            bound: cfg.first_wait,
            longest: cfg.longest_wait,
            budget: cfg.budget,
            deadline: None,
        }
    }

    /// Starts the budget, if it has not been started.
    pub(crate) fn start(&mut self, now: Duration) {
        self.deadline.get_or_insert(now + self.budget);
    }

    /// The wait before the next try; `None` once the budget does not allow it.
    /// A hint of the platform comes on top, so that jitter still spreads those
    /// who were given the same hint.
    pub(crate) fn next(&mut self, now: Duration, hint: Option<Duration>) -> Option<Duration> {
        self.start(now);
        let wait = hint.unwrap_or_default() + self.jitter();
        self.bound = self.longest.min(self.bound * 2);
        let deadline = self.deadline.unwrap_or_default();
        (now + wait <= deadline).then_some(wait)
    }

    /// As [`Backoff::next`] after an error; `None` too where a retry is futile.
    pub(crate) fn after(&mut self, now: Duration, error: &PlatformError) -> Option<Duration> {
        match error {
            PlatformError::Refused { .. } | PlatformError::NotFound => None,
            PlatformError::Unavailable { .. }
            | PlatformError::Throttled { .. }
            | PlatformError::Unknown { .. }
            | PlatformError::BadAnswer { .. } => self.next(now, error.retry_after()),
        }
    }

    /// A fresh hint for whoever comes back after the budget was used up.
    pub(crate) fn hint(&mut self) -> Duration {
        self.longest + self.jitter()
    }

    fn jitter(&mut self) -> Duration {
        self.bound.mul_f64(self.rng.random_range(0.0..=1.0))
    }
}
