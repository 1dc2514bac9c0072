//! Queue of membership updates that are still to be sent to peers.

use std::collections::BTreeMap;

use crate::member::MemberKey;

/// Updates that one message carries at most, so that the updates of a mass restart cannot
/// make a probe large enough to miss its timeout.
pub(crate) const MAX_PER_MESSAGE: usize = 16;

/// Ticks for which a fresh update also causes messages outside of the probe schedule.
const FRESH_TICKS: u8 = 3;

/// Remaining sends that are cancelled when a peer's digest matches.
const SENDS_PER_AGREEMENT: u32 = 6;

/// Copies of one update that the daemons of a zone together send to each other zone.
/// Another zone misses all of them about once in ten thousand updates, and then gets the
/// update through a comparison of tables. Without this bound, one change among 300 members
/// took 460 KB between zones beyond idle traffic; with it, 20 KB (the example
/// `start_at_size`).
const COPIES_PER_ZONE: usize = 4;

/// Whether the receiver of a message is in this daemon's availability zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Locality {
    /// The receiver is in the same availability zone.
    SameZone,
    /// The receiver is in another availability zone, to which traffic is expensive.
    OtherZone,
}

/// Numbers of members and zones to which updates are spread.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct FleetSize {
    /// Present members of this daemon's zone, including itself.
    pub(crate) own_zone_members: usize,
    /// Number of other zones with present members.
    pub(crate) other_zones: usize,
}

impl FleetSize {
    /// Returns the number of sends within the zone: about three times log2 of its size,
    /// after which an epidemic has reached every member with high probability.
    fn own_zone_sends(self) -> u32 {
        3 * (usize::BITS - self.own_zone_members.leading_zeros()).max(1)
    }

    /// Returns this daemon's share of the copies that go to other zones.
    fn other_zone_sends(self) -> u32 {
        let copies = COPIES_PER_ZONE * self.other_zones;
        u32::try_from(copies.div_ceil(self.own_zone_members.max(1))).unwrap_or(u32::MAX)
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct Pending {
    own_zone_left: u32,
    other_zone_left: u32,
    fresh_ticks: u8,
}

impl Pending {
    fn remaining(&self, locality: Locality) -> u32 {
        match locality {
            Locality::SameZone => self.own_zone_left,
            Locality::OtherZone => self.other_zone_left,
        }
    }

    fn count_send(&mut self, locality: Locality) {
        let left = match locality {
            Locality::SameZone => &mut self.own_zone_left,
            Locality::OtherZone => &mut self.other_zone_left,
        };
        *left = left.saturating_sub(1);
    }

    fn is_finished(&self) -> bool {
        self.own_zone_left == 0 && self.other_zone_left == 0
    }
}

/// Members whose state is to be sent to peers. Only keys are queued: a message carries the
/// state that the table holds when it is sent, so a queued update never becomes stale.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct UpdateQueue {
    pending: BTreeMap<MemberKey, Pending>,
}

impl UpdateQueue {
    /// Queues an update for enough sends to reach all members with high probability; the
    /// comparison of table digests repairs the rest. Only the daemons of the member's own
    /// zone (`is_own_zone`) send the update to other zones: if every daemon did, the traffic
    /// between zones for each change would grow with the fleet.
    pub(crate) fn add(&mut self, key: MemberKey, fleet_size: FleetSize, is_own_zone: bool) {
        let pending = Pending {
            own_zone_left: fleet_size.own_zone_sends(),
            other_zone_left: if is_own_zone {
                fleet_size.other_zone_sends()
            } else {
                0
            },
            fresh_ticks: FRESH_TICKS,
        };
        self.pending.insert(key, pending);
    }

    /// Returns the updates for one message, those with the most sends left first.
    pub(crate) fn next_batch(&mut self, locality: Locality) -> Vec<MemberKey> {
        let mut due: Vec<_> = self
            .pending
            .iter_mut()
            .filter(|(_, pending)| pending.remaining(locality) > 0)
            .collect();
        due.sort_by_key(|(_, pending)| std::cmp::Reverse(pending.remaining(locality)));
        due.truncate(MAX_PER_MESSAGE);
        let taken = due.into_iter().map(|(key, pending)| {
            pending.count_send(locality);
            *key
        });
        let taken = taken.collect();
        self.pending.retain(|_, pending| !pending.is_finished());
        taken
    }

    /// Records that a peer's table matched this one, for the updates that `counts` selects.
    /// The peer has those updates already, and if several peers do, most likely everyone
    /// does. Without this, 200 daemons that start together keep sending each other their
    /// 200 rows for minutes.
    pub(crate) fn record_agreement(&mut self, counts: impl Fn(MemberKey) -> bool) {
        self.pending.retain(|key, pending| {
            if pending.fresh_ticks == 0 && counts(*key) {
                pending.own_zone_left = pending.own_zone_left.saturating_sub(SENDS_PER_AGREEMENT);
                pending.other_zone_left =
                    pending.other_zone_left.saturating_sub(SENDS_PER_AGREEMENT);
            }
            !pending.is_finished()
        });
    }

    /// Returns whether any update is fresh, and ages all of them by one tick.
    pub(crate) fn age_one_tick(&mut self) -> bool {
        let mut is_any_fresh = false;
        for pending in self.pending.values_mut() {
            is_any_fresh |= pending.fresh_ticks > 0;
            pending.fresh_ticks = pending.fresh_ticks.saturating_sub(1);
        }
        is_any_fresh
    }

    /// Whether any update is still to be sent to other zones.
    pub(crate) fn has_other_zone_updates(&self) -> bool {
        self.pending.values().any(|it| it.other_zone_left > 0)
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    pub(crate) fn clear(&mut self) {
        self.pending.clear();
    }
}
