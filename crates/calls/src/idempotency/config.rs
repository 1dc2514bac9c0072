//! Limits of the idempotency table.

use std::time::Duration;

/// Limits of an [`IdempotencyTable`](super::IdempotencyTable) and its assumption about clocks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct IdempotencyConfig {
    pub(crate) skew: Duration,
    pub(crate) retention: Duration,
    pub(crate) keys: usize,
    pub(crate) answer_bytes: usize,
}

impl Default for IdempotencyConfig {
    fn default() -> Self {
        Self {
            skew: Duration::from_secs(2),
            retention: Duration::from_mins(10),
            keys: 150_000,
            answer_bytes: 16 << 20,
        }
    }
}

impl IdempotencyConfig {
    /// Sets the maximum difference between two calendar clocks, 2 s by default. With
    /// a larger value, more keys are refused as unsettled after a restart.
    #[must_use]
    pub fn skew(mut self, skew: Duration) -> Self {
        self.skew = skew;
        self
    }

    /// Sets how long a key is kept after it was made, 10 min by default. Older keys
    /// are refused as expired.
    #[must_use]
    pub fn retention(mut self, retention: Duration) -> Self {
        self.retention = retention;
        self
    }

    /// Sets the maximum number of keys, 150,000 by default. When the table is full,
    /// requests with new keys are refused as not run; no key is dropped early.
    #[must_use]
    pub fn keys(mut self, keys: usize) -> Self {
        self.keys = keys;
        self
    }

    /// Sets the maximum total size of the kept answers in bytes, 16 MiB by default.
    /// Beyond it the oldest answers are dropped, and a retry with their keys is told
    /// that the request ran and its answer was not kept.
    #[must_use]
    pub fn answer_bytes(mut self, answer_bytes: usize) -> Self {
        self.answer_bytes = answer_bytes;
        self
    }
}
