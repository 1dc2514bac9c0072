//! Telling "they are gone" from "I am cut off".

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use smol_str::SmolStr;

use crate::member::{MemberKey, Time};

/// Outcomes older than this say nothing about now.
const WINDOW: Duration = Duration::from_secs(10);

/// Failures at distinct own-zone peers below which nothing is concluded.
const MIN_FAILED: usize = 3;

/// Failures in a row at distinct members from which a zone is unreachable.
const ZONE_FAILURES: u32 = 2;

#[derive(Clone, Debug, PartialEq, Eq)]
struct Outcome {
    at: Time,
    peer: MemberKey,
    own_zone: bool,
    reached: bool,
}

/// Watches this daemon's own probes.
///
/// Without it a daemon that loses its network declares its whole zone dead,
/// and spreads that word the moment it is back: every table drains at once.
/// A daemon whose own-zone probes mostly fail while no other zone answers is
/// itself the common cause, so it keeps quiet. What remains is a zone that
/// really lost most of its members and all links to other zones: its dead stay
/// in the tables as unreached, which costs retries but drains nothing.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Guard {
    outcomes: VecDeque<Outcome>,
    zones: BTreeMap<SmolStr, u32>,
}

impl Guard {
    /// Notes the outcome of one contact; returns a change of the zone's
    /// reachability.
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

    /// Whether this daemon is more likely cut off than its peers are dead.
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
