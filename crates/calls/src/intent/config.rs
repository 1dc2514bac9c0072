//! Bounds of the memory of keys.

use std::time::Duration;

/// Bounds and assumptions of an [`IntentTable`](super::IntentTable).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct IntentConfig {
    pub(crate) skew: Duration,
    pub(crate) retention: Duration,
    pub(crate) keys: usize,
    pub(crate) answer_bytes: usize,
}

impl Default for IntentConfig {
    fn default() -> Self {
        Self {
            skew: Duration::from_secs(2),
            retention: Duration::from_mins(10),
            keys: 150_000,
            answer_bytes: 16 << 20,
        }
    }
}

impl IntentConfig {
    /// Most that two calendar clocks differ; 2 s unless set. A larger bound
    /// leaves more keys unsettled after a restart.
    #[must_use]
    pub fn skew(mut self, skew: Duration) -> Self {
        self.skew = skew;
        self
    }

    /// How long a key is remembered after it was made; 10 min unless set. Older
    /// keys are refused as expired.
    #[must_use]
    pub fn retention(mut self, retention: Duration) -> Self {
        self.retention = retention;
        self
    }

    /// Keys remembered at a time; 150,000 unless set. At the bound new keys are
    /// refused as not run; none is dropped before its time.
    #[must_use]
    pub fn keys(mut self, keys: usize) -> Self {
        self.keys = keys;
        self
    }

    /// Bytes of answers kept at a time; 16 MiB unless set. Beyond it the oldest
    /// answers go, and their keys answer "ran, answer not kept".
    #[must_use]
    pub fn answer_bytes(mut self, answer_bytes: usize) -> Self {
        self.answer_bytes = answer_bytes;
        self
    }
}
