//! Settings of the membership state machine.

use std::time::Duration;

/// Settings of [`crate::Membership`]. The defaults are those of the daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Config {
    pub(crate) probe_interval: Duration,
    pub(crate) other_zone_every: u32,
    pub(crate) helpers: usize,
    pub(crate) suspect_timeout: Duration,
    pub(crate) forget_after: Duration,
    pub(crate) dead_probe_interval: Duration,
    pub(crate) freeze_bound: Duration,
    pub(crate) pull_interval: Duration,
    pub(crate) eager_peers: usize,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            probe_interval: Duration::from_secs(1),
            other_zone_every: 4,
            helpers: 3,
            suspect_timeout: Duration::from_secs(5),
            forget_after: Duration::from_mins(10),
            dead_probe_interval: Duration::from_secs(5),
            freeze_bound: Duration::from_secs(3),
            pull_interval: Duration::from_secs(5),
            eager_peers: 3,
        }
    }
}

impl Config {
    /// Time between two probes. Default 1 s. Longer saves bytes at rest and
    /// finds failures later, both in proportion.
    #[must_use]
    pub fn probe_interval(mut self, interval: Duration) -> Self {
        self.probe_interval = interval;
        self
    }

    /// Every which probe goes to another zone. Default 4. A smaller number
    /// spreads news between zones faster and probes own-zone peers less often.
    #[must_use]
    pub fn other_zone_every(mut self, every: u32) -> Self {
        self.other_zone_every = every.max(1);
        self
    }

    /// Peers that are asked to probe a member that missed one. Default 3. More
    /// of them make a false suspicion less likely.
    #[must_use]
    pub fn helpers(mut self, helpers: usize) -> Self {
        self.helpers = helpers;
        self
    }

    /// Time that a suspect has to refute. Default 5 s.
    #[must_use]
    pub fn suspect_timeout(mut self, timeout: Duration) -> Self {
        self.suspect_timeout = timeout;
        self
    }

    /// Time for which the dead stay in the table. Default 600 s. Their
    /// addresses are probed now and then until it ends.
    #[must_use]
    pub fn forget_after(mut self, after: Duration) -> Self {
        self.forget_after = after;
        self
    }

    /// First interval between probes of a dead member's address; it doubles up
    /// to a minute. Default 5 s.
    #[must_use]
    pub fn dead_probe_interval(mut self, interval: Duration) -> Self {
        self.dead_probe_interval = interval;
        self
    }

    /// Gap between two ticks from which the process counts as frozen. Default
    /// 3 s, well above a tick's usual delay and below the suspect timeout.
    #[must_use]
    pub fn freeze_bound(mut self, bound: Duration) -> Self {
        self.freeze_bound = bound;
        self
    }

    /// Shortest time between two pulls of a peer's table. Default 5 s. It
    /// bounds what lasting disagreement can cost.
    #[must_use]
    pub fn pull_interval(mut self, interval: Duration) -> Self {
        self.pull_interval = interval;
        self
    }

    /// Peers that fresh news is sent to at each of its first ticks, besides the
    /// regular probes. Default 3. Zero leaves all news to the probes.
    #[must_use]
    pub fn eager_peers(mut self, peers: usize) -> Self {
        self.eager_peers = peers;
        self
    }
}
