//! Distinguishes failed peers from a failure of this daemon's own network.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use smol_str::SmolStr;

use crate::member::{MemberKey, Time};

/// Age after which a probe's outcome is discarded.
const WINDOW: Duration = Duration::from_secs(10);

/// Number of own-zone peers that must have failed before this daemon can count as
/// isolated.
const MIN_FAILED: usize = 3;

/// Consecutive failures from which a zone counts as unreachable.
const ZONE_FAILURES: u32 = 2;

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
/// daemon, so it declares nobody suspect or dead. The same outcomes arise when a
/// zone really lost most of its members and all links to other zones: its dead
/// members then stay in the tables as unreached, which costs retries only.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Guard {
    outcomes: VecDeque<Outcome>,
    zones: BTreeMap<SmolStr, u32>,
}

impl Guard {
    /// Records the outcome of one contact. Returns the zone's new reachability if
    /// it changed.
    pub(crate) fn note(
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
        self.note_zone(zone, reached)
    }

    fn note_zone(&mut self, zone: &SmolStr, reached: bool) -> Option<bool> {
        let failures = self.zones.entry(zone.clone()).or_default();
        let before = *failures >= ZONE_FAILURES;
        *failures = if reached {
            0
        } else {
            failures.saturating_add(1)
        };
        let after = *failures >= ZONE_FAILURES;
        (before != after).then_some(!after)
    }

    pub(crate) fn expire(&mut self, now: Time) {
        self.outcomes.retain(|it| it.at + WINDOW >= now);
    }

    /// Whether this daemon is more likely isolated than its peers are dead.
    pub(crate) fn cut_off(&self) -> bool {
        let own = || self.outcomes.iter().filter(|it| it.own_zone);
        let failed = own().filter(|it| !it.reached).count();
        let elsewhere = self.outcomes.iter().any(|it| !it.own_zone && it.reached);
        failed >= MIN_FAILED && failed * 2 > own().count() && !elsewhere
    }

    pub(crate) fn reachable(&self, zone: &str) -> bool {
        self.zones
            .get(zone)
            .is_none_or(|failures| *failures < ZONE_FAILURES)
    }

    pub(crate) fn clear(&mut self) {
        self.outcomes.clear();
        self.zones.clear();
    }
}
