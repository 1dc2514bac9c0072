//! How the log is kept.

use std::time::Duration;

use stoatstep_resource::Version;

const SNAPSHOT_EVERY: Version = 64;
const RETAINED_TAIL: Version = 256;
const FIRST_WAIT: Duration = Duration::from_millis(20);
const LONGEST_WAIT: Duration = Duration::from_millis(500);
const BUDGET: Duration = Duration::from_secs(5);
const ROWS_AT_ONCE: usize = 256;

/// How the log is kept and how long its users try. Built by
/// [`LogConfig::builder`].
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
    /// Starts from the defaults.
    #[must_use]
    pub fn builder() -> LogConfigBuilder {
        LogConfigBuilder {
            cfg: Self::default(),
        }
    }
}

/// Sets what differs from the defaults of a [`LogConfig`].
#[derive(Clone, Debug)]
pub struct LogConfigBuilder {
    cfg: LogConfig,
}

impl LogConfigBuilder {
    /// Versions from one snapshot to the next; 64 by default. More of them
    /// make a cold start read a longer tail, fewer write objects more often.
    #[must_use]
    pub fn snapshot_every(mut self, versions: Version) -> Self {
        self.cfg.snapshot_every = versions.max(1);
        self
    }

    /// Versions kept in the log below the newest snapshot; 256 by default. A
    /// watch resumes, and an operation id is remembered, for as long.
    #[must_use]
    pub fn retained_tail(mut self, versions: Version) -> Self {
        self.cfg.retained_tail = versions;
        self
    }

    /// Bound of the first random wait after a failure; 20 ms by default. Each
    /// further one doubles it.
    #[must_use]
    pub fn first_wait(mut self, wait: Duration) -> Self {
        self.cfg.first_wait = wait;
        self
    }

    /// Bound that the waits' doubling ends at; 500 ms by default.
    #[must_use]
    pub fn longest_wait(mut self, wait: Duration) -> Self {
        self.cfg.longest_wait = wait;
        self
    }

    /// Time after which a task gives up and says so; 5 s by default.
    #[must_use]
    pub fn budget(mut self, budget: Duration) -> Self {
        self.cfg.budget = budget;
        self
    }

    /// Log rows in one read at most; 256 by default. It bounds the answer's
    /// size; a longer tail takes further reads.
    #[must_use]
    pub fn rows_at_once(mut self, rows: usize) -> Self {
        self.cfg.rows_at_once = rows.max(1);
        self
    }

    /// Ends the building.
    #[must_use]
    pub fn build(self) -> LogConfig {
        self.cfg
    }
}
