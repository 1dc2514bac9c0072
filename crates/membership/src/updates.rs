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

#[derive(Clone, Debug, PartialEq, Eq)]
struct Pending {
    sends_left: u32,
    hot: u8,
}

/// Keys of members of whom there is news. Only keys are queued: what is sent is
/// the table's word at the time of sending, so news never goes out stale.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Updates {
    pending: BTreeMap<MemberKey, Pending>,
}

impl Updates {
    /// Queues news for about three times log2 of the fleet's size sends, after
    /// which an epidemic has reached everyone with high probability. Whoever is
    /// missed is repaired by comparing table digests.
    pub(crate) fn add(&mut self, key: MemberKey, fleet: usize) {
        let sends_left = 3 * (usize::BITS - fleet.leading_zeros()).max(1);
        let hot = HOT_TICKS;
        self.pending.insert(key, Pending { sends_left, hot });
    }

    /// Takes the news for one message, the least sent first.
    pub(crate) fn take(&mut self) -> Vec<MemberKey> {
        let mut keys: Vec<_> = self
            .pending
            .iter()
            .map(|(k, p)| (*k, p.sends_left))
            .collect();
        keys.sort_by_key(|(_, sends_left)| std::cmp::Reverse(*sends_left));
        keys.truncate(MAX_PER_MESSAGE);
        for (key, _) in &keys {
            self.count_send(*key);
        }
        keys.into_iter().map(|(key, _)| key).collect()
    }

    fn count_send(&mut self, key: MemberKey) {
        let Some(pending) = self.pending.get_mut(&key) else {
            return;
        };
        pending.sends_left -= 1;
        if pending.sends_left == 0 {
            self.pending.remove(&key);
        }
    }

    /// A peer's table turned out to be the same as this one: it knows the news,
    /// and if some peers in a row do, everyone most likely does. Without this a
    /// herd of 200 goes on telling each other its 200 rows for minutes.
    pub(crate) fn note_agreement(&mut self, counts: impl Fn(MemberKey) -> bool) {
        self.pending.retain(|key, pending| {
            if pending.hot == 0 && counts(*key) {
                pending.sends_left = pending.sends_left.saturating_sub(AGREEMENT);
            }
            pending.sends_left > 0
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

    pub(crate) fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    pub(crate) fn clear(&mut self) {
        self.pending.clear();
    }
}
