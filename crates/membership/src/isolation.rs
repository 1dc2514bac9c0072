//! Distinguishes failed peers from a failure of this daemon's own network.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use smol_str::SmolStr;

use crate::member::{MemberKey, Time};

/// Age after which a probe's outcome is discarded.
const OUTCOME_WINDOW: Duration = Duration::from_secs(10);

/// Number of own-zone peers that must have failed before this daemon can count as
/// isolated.
const MIN_FAILED_PEERS: usize = 3;

/// Consecutive failures from which a zone counts as unreachable.
const ZONE_FAILURE_THRESHOLD: u32 = 2;

#[derive(Clone, Debug, PartialEq, Eq)]
struct Outcome {
    at: Time,
    peer: MemberKey,
    own_zone: bool,
    reached: bool,
}

/// Tracks the outcomes of this daemon's own probes to detect that it is isolated.
///
/// Without this check, a daemon that loses its network declares its whole zone
/// dead and spreads that as soon as it reconnects, which empties every table. If
/// most own-zone probes fail while no other zone answers, the common cause is this
/// daemon, so it declares no member suspect or dead. The same outcomes arise when a
/// zone really lost most of its members and all links to other zones: its dead
/// members then stay in the tables as unreached, which costs retries only.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct IsolationDetector {
    outcomes: VecDeque<Outcome>,
    zones: BTreeMap<SmolStr, u32>,
}

impl IsolationDetector {
    /// Records the outcome of one contact. Returns the zone's new reachability if
    /// it changed.
    pub(crate) fn record(
        &mut self,
        now: Time,
        peer: MemberKey,
        zone: &SmolStr,
        own_zone: bool,
        reached: bool,
    ) -> Option<bool> {
        self.outcomes.retain(|it| it.peer != peer);
        self.outcomes.push_back(Outcome {
            at: now,
            peer,
            own_zone,
            reached,
        });
        self.expire(now);
        if own_zone {
            return None;
        }
        self.record_zone(zone, reached)
    }

    fn record_zone(&mut self, zone: &SmolStr, reached: bool) -> Option<bool> {
        let failures = self.zones.entry(zone.clone()).or_default();
        let before = *failures >= ZONE_FAILURE_THRESHOLD;
        *failures = if reached {
            0
        } else {
            failures.saturating_add(1)
        };
        let after = *failures >= ZONE_FAILURE_THRESHOLD;
        (before != after).then_some(!after)
    }

    pub(crate) fn expire(&mut self, now: Time) {
        self.outcomes.retain(|it| it.at + OUTCOME_WINDOW >= now);
    }

    /// Whether this daemon is more likely isolated than its peers are dead.
    pub(crate) fn is_isolated(&self) -> bool {
        let own = || self.outcomes.iter().filter(|it| it.own_zone);
        let failed = own().filter(|it| !it.reached).count();
        let elsewhere = self.outcomes.iter().any(|it| !it.own_zone && it.reached);
        failed >= MIN_FAILED_PEERS && failed * 2 > own().count() && !elsewhere
    }

    pub(crate) fn is_reachable(&self, zone: &str) -> bool {
        self.zones
            .get(zone)
            .is_none_or(|failures| *failures < ZONE_FAILURE_THRESHOLD)
    }

    pub(crate) fn clear(&mut self) {
        self.outcomes.clear();
        self.zones.clear();
    }
}
