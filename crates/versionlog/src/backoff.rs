//! Delays between retries.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use stoatstep_platform::PlatformError;

use crate::config::LogConfig;

/// Exponential backoff with full jitter, up to a timeout.
///
/// After an outage every daemon retries. With equal delays all of them would reach the platform at
/// the same time; a delay drawn from the whole interval spreads them evenly. The timeout ends
/// retries whose result nobody waits for any more.
#[derive(Clone, Debug)]
pub(crate) struct Backoff {
    rng: Xoshiro256PlusPlus,
    bound: Duration,
    max: Duration,
    timeout: Duration,
    deadline: Option<Duration>,
}

impl Backoff {
    pub(crate) fn new(cfg: &LogConfig, seed: u64) -> Self {
        Self {
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            bound: cfg.initial_backoff,
            max: cfg.max_backoff,
            timeout: cfg.timeout,
            deadline: None,
        }
    }

    /// Starts the timeout if it has not been started.
    pub(crate) fn start(&mut self, now: Duration) {
        self.deadline.get_or_insert(now + self.timeout);
    }

    /// The delay before the next retry, or `None` if it would end after the timeout. The retry time
    /// that the platform asked for is added to the random delay, so that processes which were given
    /// the same time are still spread.
    pub(crate) fn next(&mut self, now: Duration, hint: Option<Duration>) -> Option<Duration> {
        self.start(now);
        let wait = hint.unwrap_or_default() + self.jitter();
        self.bound = self.max.min(self.bound * 2);
        let deadline = self.deadline.unwrap_or_default();
        (now + wait <= deadline).then_some(wait)
    }

    /// The delay before a retry after `error`, or `None` if the timeout or the kind of the error
    /// rules a retry out.
    pub(crate) fn after_error(&mut self, now: Duration, error: &PlatformError) -> Option<Duration> {
        match error {
            PlatformError::Refused { .. } | PlatformError::NotFound => None,
            PlatformError::Unavailable { .. }
            | PlatformError::Throttled { .. }
            | PlatformError::Unknown { .. }
            | PlatformError::BadAnswer { .. } => self.next(now, error.retry_after()),
        }
    }

    /// The retry time to report to the caller once the timeout has passed.
    pub(crate) fn retry_after(&mut self) -> Duration {
        self.max + self.jitter()
    }

    fn jitter(&mut self) -> Duration {
        self.bound.mul_f64(self.rng.random_range(0.0..=1.0))
    }
}
