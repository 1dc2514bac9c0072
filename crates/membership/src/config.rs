//! Settings of the membership state machine.

use std::time::Duration;

/// Settings of [`crate::Membership`]. The daemon runs with the defaults.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Config {
    pub(crate) probe_interval: Duration,
    pub(crate) other_zone_every: u32,
    pub(crate) indirect_probes: usize,
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
            indirect_probes: 3,
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
    /// Sets the time between two probes. Default 1 s. Idle traffic is inversely
    /// proportional to it, and the time to detect a failure is proportional to it.
    #[must_use]
    pub fn probe_interval(mut self, interval: Duration) -> Self {
        self.probe_interval = interval;
        self
    }

    /// Sends every n-th probe to another zone. Default 4. A smaller number
    /// spreads updates between zones faster and probes own-zone peers less often.
    #[must_use]
    pub fn other_zone_every(mut self, every: u32) -> Self {
        self.other_zone_every = every.max(1);
        self
    }

    /// Sets how many peers are asked for an indirect probe of a member that missed
    /// a probe. Default 3. More of them make a false suspicion less likely.
    #[must_use]
    pub fn indirect_probes(mut self, count: usize) -> Self {
        self.indirect_probes = count;
        self
    }

    /// Sets the time that a suspect has to refute the suspicion. Default 5 s.
    #[must_use]
    pub fn suspect_timeout(mut self, timeout: Duration) -> Self {
        self.suspect_timeout = timeout;
        self
    }

    /// Sets the time for which dead members stay in the table. Default 600 s.
    /// Their addresses are still probed occasionally until it ends.
    #[must_use]
    pub fn forget_after(mut self, after: Duration) -> Self {
        self.forget_after = after;
        self
    }

    /// Sets the first interval between probes of a dead member's address, which
    /// doubles up to a minute. Default 5 s.
    #[must_use]
    pub fn dead_probe_interval(mut self, interval: Duration) -> Self {
        self.dead_probe_interval = interval;
        self
    }

    /// Sets the gap between two ticks from which the process counts as frozen.
    /// Default 3 s, well above a tick's usual delay and below the suspect timeout.
    #[must_use]
    pub fn freeze_bound(mut self, bound: Duration) -> Self {
        self.freeze_bound = bound;
        self
    }

    /// Sets the shortest time between two pulls of a peer's table. Default 5 s.
    /// It bounds the traffic that tables cause which never come to agree.
    #[must_use]
    pub fn pull_interval(mut self, interval: Duration) -> Self {
        self.pull_interval = interval;
        self
    }

    /// Sets how many peers a fresh update is sent to on each of its first ticks,
    /// in addition to the regular probes. Default 3. With zero, updates travel on
    /// probes only.
    #[must_use]
    pub fn eager_peers(mut self, peers: usize) -> Self {
        self.eager_peers = peers;
        self
    }
}
