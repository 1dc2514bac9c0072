//! Settings of the daemon, which the adapter to its environment fills in.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use smol_str::SmolStr;
use stoatstep_http::ConnectionLimits;
use stoatstep_resource::{InstanceId, ServiceName, ZoneName};

use crate::header_names::HeaderNames;
use crate::mechanism::Mechanism;
use crate::memory::SocketShares;

/// Default time between two heartbeats of a target.
const HEARTBEAT: Duration = Duration::from_secs(1);

/// Default time between the request to stop and the forced end of the process.
const GRACE: Duration = Duration::from_secs(10);

/// Default time within which a version has to be in force, and the shortest one that can be set.
const APPLY_WITHIN: Duration = Duration::from_secs(2);
const SHORTEST_APPLY: Duration = Duration::from_millis(500);

/// Memory of the process if none is set, in bytes.
const MEMORY: usize = 256 << 20;

/// Number of sockets that the process may open if none is set.
const SOCKETS: usize = 4096;

/// Default share of a service's calls that a bad version may get.
const EXPOSURE: f64 = 0.1;

/// Addresses of a daemon and of its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Addresses {
    /// Listening address for callers on this instance, and for the target's own calls.
    pub callers: SocketAddr,
    /// Listening address for other daemons.
    pub peers: SocketAddr,
    /// Address of the target.
    pub target: SocketAddr,
}

/// Settings of a [`Mesh`](crate::Mesh).
#[derive(Clone, Debug)]
pub struct MeshConfig {
    pub(crate) instance: InstanceId,
    pub(crate) region: SmolStr,
    pub(crate) zone: ZoneName,
    pub(crate) service: ServiceName,
    pub(crate) addresses: Addresses,
    pub(crate) header_names: HeaderNames,
    pub(crate) heartbeat: Duration,
    pub(crate) grace: Duration,
    pub(crate) retries: RetryBounds,
    pub(crate) metrics: Option<SocketAddr>,
    pub(crate) link_bytes_per_s: Option<f64>,
    pub(crate) disabled: BTreeSet<Mechanism>,
    pub(crate) is_first_start: bool,
    pub(crate) exposure: f64,
    pub(crate) key_lifetime: Option<Duration>,
    pub(crate) zones: usize,
    pub(crate) apply_within: Duration,
    pub(crate) memory: usize,
    pub(crate) sockets: usize,
}

/// Limit on the load that the retries of all daemons together add to a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct RetryBounds {
    /// Retries per hundred requests.
    pub(crate) percent: u32,
    /// Additional retries, over all daemons.
    pub(crate) slack: u32,
}

impl MeshConfig {
    /// Settings of the daemon of `instance` in `zone`, beside a target of `service`.
    #[must_use]
    pub fn new(
        instance: InstanceId,
        zone: ZoneName,
        service: ServiceName,
        addresses: Addresses,
        header_names: HeaderNames,
    ) -> Self {
        Self {
            instance,
            region: SmolStr::new_static("local"),
            zone,
            service,
            addresses,
            header_names,
            heartbeat: HEARTBEAT,
            grace: GRACE,
            retries: RetryBounds {
                percent: 20,
                slack: 10,
            },
            metrics: None,
            link_bytes_per_s: None,
            disabled: BTreeSet::new(),
            is_first_start: false,
            exposure: EXPOSURE,
            key_lifetime: None,
            zones: 1,
            apply_within: APPLY_WITHIN,
            memory: MEMORY,
            sockets: SOCKETS,
        }
    }

    /// Memory that the process may use, in bytes. Default 256 MiB. What callers, the target and
    /// other daemons send takes a stated share of it each.
    #[must_use]
    pub fn memory(mut self, bytes: usize) -> Self {
        self.memory = bytes;
        self
    }

    /// Number of sockets that the process may open. Default 4096. Connections of callers and of other
    /// daemons take a stated share of them each.
    #[must_use]
    pub fn sockets(mut self, count: usize) -> Self {
        self.sockets = count;
        self
    }

    /// Limits on the connections of the adapter's servers: for reports of the target, and for
    /// readiness checks.
    #[must_use]
    pub fn control_connections(&self) -> (ConnectionLimits, ConnectionLimits) {
        let shares = SocketShares::of(self.sockets);
        let limits = ConnectionLimits::new;
        (limits(shares.control), limits(shares.readiness))
    }

    /// Region of the instance. Default `local`. Members show it to operators.
    #[must_use]
    pub fn region(mut self, region: SmolStr) -> Self {
        self.region = region;
        self
    }

    /// Time between two heartbeats of the target. Default 1 s. The target counts as gone after a
    /// few of them are missing.
    #[must_use]
    pub fn heartbeat(mut self, interval: Duration) -> Self {
        self.heartbeat = interval;
        self
    }

    /// Time from the request to stop until the process is ended by force. Default 10 s. Calls in
    /// flight get nearly all of it.
    #[must_use]
    pub fn grace(mut self, grace: Duration) -> Self {
        self.grace = grace;
        self
    }

    /// Address at which metrics are served as text. Default: none.
    #[must_use]
    pub fn metrics(mut self, addr: SocketAddr) -> Self {
        self.metrics = Some(addr);
        self
    }

    /// Mechanisms that are switched off. Default: none. `docs/design/further.md` lists the measured
    /// effect of each.
    #[must_use]
    pub fn disable(mut self, mechanisms: BTreeSet<Mechanism>) -> Self {
        self.disabled = mechanisms;
        self
    }

    pub(crate) fn is_enabled(&self, mechanism: Mechanism) -> bool {
        !self.disabled.contains(&mechanism)
    }

    /// Capacity of the instance's link, in bytes per second. Default: unknown, and large answers
    /// are sent as fast as connections accept them.
    #[must_use]
    pub fn link(mut self, bytes_per_s: f64) -> Self {
        self.link_bytes_per_s = Some(bytes_per_s);
        self
    }

    /// Whether the whole fleet starts for the first time, before it has callers. Default: no.
    /// Daemons then take longer to find each other, and send fewer requests to the store.
    #[must_use]
    pub fn first_start(mut self, is_first_start: bool) -> Self {
        self.is_first_start = is_first_start;
        self
    }

    /// Share of a service's calls that a bad version may get between the order for its roll-out and
    /// the deadline. Default 0.1. With a smaller share, the last step begins later.
    #[must_use]
    pub fn exposure(mut self, share: f64) -> Self {
        self.exposure = share;
        self
    }

    /// Longest time for which a key may still be accepted after it was revoked, also at a daemon
    /// that cannot reach the store. Default: no bound, and a daemon that is cut off keeps using the
    /// configuration that it holds.
    #[must_use]
    pub fn key_lifetime(mut self, bound: Duration) -> Self {
        self.key_lifetime = Some(bound);
        self
    }

    /// Time within which a version of the configuration has to be in force. Default 2 s. The daemon
    /// detects within it that the followers of its zone are gone; a shorter time costs more
    /// requests to them.
    #[must_use]
    pub fn apply_within(mut self, bound: Duration) -> Self {
        self.apply_within = bound.max(SHORTEST_APPLY);
        self
    }

    /// Number of availability zones of the whole fleet, among which quotas are divided. Default 1.
    /// It has to be the same at all daemons, and must not be too low.
    #[must_use]
    pub fn zones(mut self, zones: usize) -> Self {
        self.zones = zones.max(1);
        self
    }

    /// Limit on the load that the retries of all daemons together add to a service: `percent`
    /// retries per hundred requests, plus `slack`. Default 20 and 10.
    #[must_use]
    pub fn retries(mut self, percent: u32, slack: u32) -> Self {
        self.retries = RetryBounds { percent, slack };
        self
    }
}
