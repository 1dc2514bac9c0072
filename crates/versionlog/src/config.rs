//! Settings of the version log.

use std::time::Duration;

use stoatstep_resource::Version;

const SNAPSHOT_EVERY: Version = 64;
const RETAINED_TAIL: Version = 256;
const FIRST_WAIT: Duration = Duration::from_millis(20);
const LONGEST_WAIT: Duration = Duration::from_millis(500);
const BUDGET: Duration = Duration::from_secs(5);
const ROWS_AT_ONCE: usize = 256;

/// Settings of the log's storage, and of retries and timeouts. Built by [`LogConfig::builder`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogConfig {
    pub(crate) snapshot_every: Version,
    pub(crate) retained_tail: Version,
    pub(crate) first_wait: Duration,
    pub(crate) longest_wait: Duration,
    pub(crate) budget: Duration,
    pub(crate) rows_at_once: usize,
}

impl Default for LogConfig {
    fn default() -> Self {
        Self {
            snapshot_every: SNAPSHOT_EVERY,
            retained_tail: RETAINED_TAIL,
            first_wait: FIRST_WAIT,
            longest_wait: LONGEST_WAIT,
            budget: BUDGET,
            rows_at_once: ROWS_AT_ONCE,
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
    pub fn first_wait(mut self, wait: Duration) -> Self {
        self.cfg.first_wait = wait;
        self
    }

    /// Sets the upper bound at which the delays stop growing; 500 ms by default.
    #[must_use]
    pub fn longest_wait(mut self, wait: Duration) -> Self {
        self.cfg.longest_wait = wait;
        self
    }

    /// Sets the time after which a write, a snapshot or a recovery stops retrying and returns an
    /// error; 5 s by default.
    #[must_use]
    pub fn budget(mut self, budget: Duration) -> Self {
        self.cfg.budget = budget;
        self
    }

    /// Sets the largest number of log rows in one read; 256 by default. It bounds the size of an
    /// answer; a longer tail takes several reads.
    #[must_use]
    pub fn rows_at_once(mut self, rows: usize) -> Self {
        self.cfg.rows_at_once = rows.max(1);
        self
    }

    /// Returns the finished settings.
    #[must_use]
    pub fn build(self) -> LogConfig {
        self.cfg
    }
}
