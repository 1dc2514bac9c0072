//! The probing order and pending indirect probes.

use std::collections::BTreeMap;

use rand::seq::SliceRandom;
use rand_xoshiro::Xoshiro256PlusPlus;

use crate::member::{MemberKey, Time};

/// Time after which indirect probes without a result count as failed.
const INDIRECT_PROBE_TIMEOUT: Time = Time::from_secs(2);

/// Own-zone peers in shuffled order, each probed once per round. This bounds the time
/// until a given peer is probed, which independent random choice does not.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct ProbeRound {
    order: Vec<MemberKey>,
}

impl ProbeRound {
    /// Returns the next peer, and starts a new round from `peers` when the current one
    /// is exhausted.
    pub(crate) fn next(
        &mut self,
        rng: &mut Xoshiro256PlusPlus,
        peers: impl FnOnce() -> Vec<MemberKey>,
    ) -> Option<MemberKey> {
        if self.order.is_empty() {
            self.order = peers();
            self.order.shuffle(rng);
        }
        self.order.pop()
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct PendingProbe {
    outstanding: usize,
    deadline: Time,
}

/// Pending indirect probes, by the member that missed a direct one.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct IndirectProbes {
    pending: BTreeMap<MemberKey, PendingProbe>,
}

impl IndirectProbes {
    pub(crate) fn is_pending(&self, target: MemberKey) -> bool {
        self.pending.contains_key(&target)
    }

    pub(crate) fn start(&mut self, now: Time, target: MemberKey, count: usize) {
        let probe = PendingProbe {
            outstanding: count,
            deadline: now + INDIRECT_PROBE_TIMEOUT,
        };
        self.pending.insert(target, probe);
    }

    /// Records the result of one indirect probe. Returns whether it was the last one and
    /// all of them failed.
    pub(crate) fn record_result(&mut self, target: MemberKey, reached: bool) -> bool {
        let Some(probe) = self.pending.get_mut(&target) else {
            return false;
        };
        probe.outstanding = probe.outstanding.saturating_sub(1);
        let is_decided = reached || probe.outstanding == 0;
        if is_decided {
            self.pending.remove(&target);
        }
        is_decided && !reached
    }

    /// Cancels the indirect probes of a member that has answered.
    pub(crate) fn cancel(&mut self, target: MemberKey) {
        self.pending.remove(&target);
    }

    /// Removes and returns the members whose indirect probes timed out.
    pub(crate) fn expire(&mut self, now: Time) -> Vec<MemberKey> {
        let expired: Vec<_> = self
            .pending
            .iter()
            .filter(|(_, probe)| probe.deadline <= now)
            .map(|(key, _)| *key)
            .collect();
        for key in &expired {
            self.pending.remove(key);
        }
        expired
    }

    pub(crate) fn clear(&mut self) {
        self.pending.clear();
    }
}
