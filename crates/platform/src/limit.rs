//! Limits on operations a second.

use std::time::Duration;

/// A token bucket that holds one second's worth of operations.
///
/// A request that needs several tokens may take the bucket below zero, and
/// later ones wait until the debt is paid. Otherwise a transaction over more
/// rows than the bucket holds could never run at all.
#[derive(Clone, Debug)]
pub struct RateLimit {
    per_second: u32,
    tokens: f64,
    refilled: Duration,
}

impl RateLimit {
    /// A full bucket for this many operations a second.
    #[must_use]
    pub fn new(per_second: u32) -> Self {
        Self {
            per_second,
            tokens: f64::from(per_second),
            refilled: Duration::ZERO,
        }
    }

    /// Takes `count` tokens at `now` (time since start).
    ///
    /// # Errors
    ///
    /// The time until a token is there, if there is none now.
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
