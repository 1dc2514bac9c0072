//! News that is still to be passed on.

use std::collections::BTreeMap;

use crate::member::MemberKey;

/// News that rides on one message at most, so that a herd's news cannot make a
/// probe large enough to miss its timeout.
pub(crate) const MAX_PER_MESSAGE: usize = 16;

/// Ticks for which fresh news is also sent to peers of its own.
const HOT_TICKS: u8 = 3;

/// Sends that one agreement with a peer stands for.
const AGREEMENT: u32 = 6;

/// Copies of one piece of news that a zone sends to each other zone, over all its
/// daemons. A zone misses all of them once in some ten thousand, and then compares
/// tables. One change among 300 members took 460 KB between zones, beyond what is said at
/// rest, before there was a bound, and takes 20 KB with it (the example `start_at_size`).
const COPIES_A_ZONE: usize = 4;

/// How a message's receiver lies to this daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reach {
    /// In the same availability zone.
    Near,
    /// In another one: bytes are dear on the way there.
    Far,
}

/// The members among whom news goes round.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Audience {
    /// Present members of the own zone, this one included.
    pub(crate) near: usize,
    /// Other zones with present members.
    pub(crate) other_zones: usize,
}

impl Audience {
    /// About three times log2 of the zone's size, after which an epidemic has reached
    /// everyone in it with high probability.
    fn near_sends(self) -> u32 {
        3 * (usize::BITS - self.near.leading_zeros()).max(1)
    }

    /// This daemon's part of the copies that go to other zones.
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

/// Keys of members of whom there is news. Only keys are queued: what is sent is
/// the table's word at the time of sending, so news never goes out stale.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Updates {
    pending: BTreeMap<MemberKey, Pending>,
}

impl Updates {
    /// Queues news for enough sends to reach everyone with high probability. Whoever is
    /// missed is repaired by comparing table digests. Other zones are told by the
    /// member's own zone only (`is_own_zone`): were everyone who heard it to pass it on
    /// to all zones, the bytes between them would grow with the fleet for each change.
    pub(crate) fn add(&mut self, key: MemberKey, audience: Audience, is_own_zone: bool) {
        let pending = Pending {
            near_left: audience.near_sends(),
            far_left: if is_own_zone { audience.far_sends() } else { 0 },
            hot: HOT_TICKS,
        };
        self.pending.insert(key, pending);
    }

    /// Takes the news for one message, the least sent first.
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

    /// A peer's table turned out to be the same as this one: it knows the news,
    /// and if some peers in a row do, everyone most likely does. Without this a
    /// herd of 200 goes on telling each other its 200 rows for minutes.
    pub(crate) fn note_agreement(&mut self, counts: impl Fn(MemberKey) -> bool) {
        self.pending.retain(|key, pending| {
            if pending.hot == 0 && counts(*key) {
                pending.near_left = pending.near_left.saturating_sub(AGREEMENT);
                pending.far_left = pending.far_left.saturating_sub(AGREEMENT);
            }
            !pending.is_spent()
        });
    }

    /// Whether anything is fresh; counts one tick off.
    pub(crate) fn cool(&mut self) -> bool {
        let mut hot = false;
        for pending in self.pending.values_mut() {
            hot |= pending.hot > 0;
            pending.hot = pending.hot.saturating_sub(1);
        }
        hot
    }

    /// Whether other zones are still to be told of something.
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
