//! Settings of the version log.

use std::time::Duration;

use stoatstep_resource::Version;

const SNAPSHOT_EVERY: Version = 64;
const RETAINED_TAIL: Version = 256;
const INITIAL_BACKOFF: Duration = Duration::from_millis(20);
const MAX_BACKOFF: Duration = Duration::from_millis(500);
const TIMEOUT: Duration = Duration::from_secs(5);
const MAX_ROWS_PER_READ: usize = 256;

/// Settings of the log's storage, and of retries and timeouts. Built by [`LogConfig::builder`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogConfig {
    pub(crate) snapshot_every: Version,
    pub(crate) retained_tail: Version,
    pub(crate) initial_backoff: Duration,
    pub(crate) max_backoff: Duration,
    pub(crate) timeout: Duration,
    pub(crate) max_rows_per_read: usize,
}

impl Default for LogConfig {
    fn default() -> Self {
        Self {
            snapshot_every: SNAPSHOT_EVERY,
            retained_tail: RETAINED_TAIL,
            initial_backoff: INITIAL_BACKOFF,
            max_backoff: MAX_BACKOFF,
            timeout: TIMEOUT,
            max_rows_per_read: MAX_ROWS_PER_READ,
        }
    }
}

impl LogConfig {
    /// Returns a builder with the default settings.
    #[must_use]
    pub fn builder() -> LogConfigBuilder {
        LogConfigBuilder {
            cfg: Self::default(),
        }
    }
}

/// Builds a [`LogConfig`] from the defaults.
#[derive(Clone, Debug)]
pub struct LogConfigBuilder {
    cfg: LogConfig,
}

impl LogConfigBuilder {
    /// Sets the number of versions from one snapshot to the next; 64 by default. With a larger
    /// number a cold start reads a longer tail, with a smaller one objects are written more often.
    #[must_use]
    pub fn snapshot_every(mut self, versions: Version) -> Self {
        self.cfg.snapshot_every = versions.max(1);
        self
    }

    /// Sets the number of versions kept in the log below the newest snapshot; 256 by default. It
    /// limits how far back a watch can resume and an operation id is recognized.
    #[must_use]
    pub fn retained_tail(mut self, versions: Version) -> Self {
        self.cfg.retained_tail = versions;
        self
    }

    /// Sets the upper bound of the first random delay after a failure; 20 ms by default. Each
    /// further failure doubles it.
    #[must_use]
    pub fn initial_backoff(mut self, delay: Duration) -> Self {
        self.cfg.initial_backoff = delay;
        self
    }

    /// Sets the upper bound at which the delays stop growing; 500 ms by default.
    #[must_use]
    pub fn max_backoff(mut self, delay: Duration) -> Self {
        self.cfg.max_backoff = delay;
        self
    }

    /// Sets the time after which a write, a snapshot or a recovery stops retrying and returns an
    /// error; 5 s by default.
    #[must_use]
    pub fn timeout(mut self, timeout: Duration) -> Self {
        self.cfg.timeout = timeout;
        self
    }

    /// Sets the largest number of log rows in one read; 256 by default. It bounds the size of an
    /// answer; a longer tail takes several reads.
    #[must_use]
    pub fn max_rows_per_read(mut self, rows: usize) -> Self {
        self.cfg.max_rows_per_read = rows.max(1);
        self
    }

    /// Returns the finished settings.
    #[must_use]
    pub fn build(self) -> LogConfig {
        self.cfg
    }
}
