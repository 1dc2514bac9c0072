//! A limit on the number of operations per second.

use std::time::Duration;

/// A token bucket that holds the operations of one second.
///
/// A request that needs several tokens may take the bucket below zero, and later ones then wait
/// until it is refilled. Otherwise a transaction over more rows than the bucket holds could never
/// run.
#[derive(Clone, Debug)]
pub struct RateLimit {
    per_second: u32,
    tokens: f64,
    refilled: Duration,
}

impl RateLimit {
    /// Creates a full bucket for this many operations per second.
    #[must_use]
    pub fn new(per_second: u32) -> Self {
        Self {
            per_second,
            tokens: f64::from(per_second),
            refilled: Duration::ZERO,
        }
    }

    /// Takes `count` tokens at `now`, a time since an arbitrary fixed start. It succeeds if at
    /// least one token is available.
    ///
    /// # Errors
    ///
    /// The time until a token is available, if there is none now.
    pub fn take(&mut self, now: Duration, count: u32) -> Result<(), Duration> {
        self.refill(now);
        if self.tokens < 1.0 {
            return Err(self.until_next());
        }
        self.tokens -= f64::from(count);
        Ok(())
    }

    fn refill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.refilled).as_secs_f64();
        let rate = f64::from(self.per_second);
        self.tokens = (self.tokens + elapsed * rate).min(rate);
        self.refilled = self.refilled.max(now);
    }

    fn until_next(&self) -> Duration {
        let rate = f64::from(self.per_second.max(1));
        Duration::from_secs_f64((1.0 - self.tokens) / rate)
    }
}
