//! Queue of membership updates that are still to be sent to peers.

use std::collections::BTreeMap;

use crate::member::MemberKey;

/// Updates that one message carries at most, so that the updates of a mass restart cannot
/// make a probe large enough to miss its timeout.
pub(crate) const MAX_PER_MESSAGE: usize = 16;

/// Ticks for which a fresh update also causes messages outside of the probe schedule.
const HOT_TICKS: u8 = 3;

/// Remaining sends that are cancelled when a peer's digest matches.
const AGREEMENT: u32 = 6;

/// Copies of one update that the daemons of a zone together send to each other zone.
/// Another zone misses all of them about once in ten thousand updates, and then gets the
/// update through a comparison of tables. Without this bound, one change among 300 members
/// took 460 KB between zones beyond idle traffic; with it, 20 KB (the example
/// `start_at_size`).
const COPIES_A_ZONE: usize = 4;

/// Whether the receiver of a message is in this daemon's availability zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reach {
    /// The receiver is in the same availability zone.
    Near,
    /// The receiver is in another availability zone, to which traffic is expensive.
    Far,
}

/// Numbers of members and zones to which updates are spread.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Audience {
    /// Present members of this daemon's zone, including itself.
    pub(crate) near: usize,
    /// Number of other zones with present members.
    pub(crate) other_zones: usize,
}

impl Audience {
    /// Returns the number of sends within the zone: about three times log2 of its size,
    /// after which an epidemic has reached every member with high probability.
    fn near_sends(self) -> u32 {
        3 * (usize::BITS - self.near.leading_zeros()).max(1)
    }

    /// Returns this daemon's share of the copies that go to other zones.
    fn far_sends(self) -> u32 {
        let copies = COPIES_A_ZONE * self.other_zones;
        u32::try_from(copies.div_ceil(self.near.max(1))).unwrap_or(u32::MAX)
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct Pending {
    near_left: u32,
    far_left: u32,
    hot: u8,
}

impl Pending {
    fn left(&self, reach: Reach) -> u32 {
        match reach {
            Reach::Near => self.near_left,
            Reach::Far => self.far_left,
        }
    }

    fn count_send(&mut self, reach: Reach) {
        let left = match reach {
            Reach::Near => &mut self.near_left,
            Reach::Far => &mut self.far_left,
        };
        *left = left.saturating_sub(1);
    }

    fn is_spent(&self) -> bool {
        self.near_left == 0 && self.far_left == 0
    }
}

/// Members whose state is to be sent to peers. Only keys are queued: a message carries the
/// state that the table holds when it is sent, so a queued update never becomes stale.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Updates {
    pending: BTreeMap<MemberKey, Pending>,
}

impl Updates {
    /// Queues an update for enough sends to reach all members with high probability; the
    /// comparison of table digests repairs the rest. Only the daemons of the member's own
    /// zone (`is_own_zone`) send the update to other zones: if every daemon did, the traffic
    /// between zones for each change would grow with the fleet.
    pub(crate) fn add(&mut self, key: MemberKey, audience: Audience, is_own_zone: bool) {
        let pending = Pending {
            near_left: audience.near_sends(),
            far_left: if is_own_zone { audience.far_sends() } else { 0 },
            hot: HOT_TICKS,
        };
        self.pending.insert(key, pending);
    }

    /// Returns the updates for one message, those with the most sends left first.
    pub(crate) fn take(&mut self, reach: Reach) -> Vec<MemberKey> {
        let mut due: Vec<_> = self
            .pending
            .iter_mut()
            .filter(|(_, pending)| pending.left(reach) > 0)
            .collect();
        due.sort_by_key(|(_, pending)| std::cmp::Reverse(pending.left(reach)));
        due.truncate(MAX_PER_MESSAGE);
        let taken = due.into_iter().map(|(key, pending)| {
            pending.count_send(reach);
            *key
        });
        let taken = taken.collect();
        self.pending.retain(|_, pending| !pending.is_spent());
        taken
    }

    /// Records that a peer's table matched this one, for the updates that `counts` selects.
    /// The peer has those updates already, and if several peers do, most likely everyone
    /// does. Without this, 200 daemons that start together keep sending each other their
    /// 200 rows for minutes.
    pub(crate) fn note_agreement(&mut self, counts: impl Fn(MemberKey) -> bool) {
        self.pending.retain(|key, pending| {
            if pending.hot == 0 && counts(*key) {
                pending.near_left = pending.near_left.saturating_sub(AGREEMENT);
                pending.far_left = pending.far_left.saturating_sub(AGREEMENT);
            }
            !pending.is_spent()
        });
    }

    /// Returns whether any update is fresh, and ages all of them by one tick.
    pub(crate) fn cool(&mut self) -> bool {
        let mut hot = false;
        for pending in self.pending.values_mut() {
            hot |= pending.hot > 0;
            pending.hot = pending.hot.saturating_sub(1);
        }
        hot
    }

    /// Whether any update is still to be sent to other zones.
    pub(crate) fn has_far(&self) -> bool {
        self.pending.values().any(|it| it.far_left > 0)
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    pub(crate) fn clear(&mut self) {
        self.pending.clear();
    }
}
