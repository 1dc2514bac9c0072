//! The probing order and pending indirect probes.

use std::collections::BTreeMap;

use rand::seq::SliceRandom;
use rand_xoshiro::Xoshiro256PlusPlus;

use crate::member::{MemberKey, Time};

/// Time after which indirect probes without a result count as failed.
const HELP_TIMEOUT: Time = Time::from_secs(2);

/// Own-zone peers in shuffled order, each probed once per round. This bounds the time
/// until a given peer is probed, which independent random choice does not.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Round {
    order: Vec<MemberKey>,
}

impl Round {
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
struct Request {
    waiting: usize,
    until: Time,
}

/// Pending indirect probes, by the member that missed a direct one.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Helpers {
    requests: BTreeMap<MemberKey, Request>,
}

impl Helpers {
    pub(crate) fn is_asked(&self, target: MemberKey) -> bool {
        self.requests.contains_key(&target)
    }

    pub(crate) fn ask(&mut self, now: Time, target: MemberKey, helpers: usize) {
        let request = Request {
            waiting: helpers,
            until: now + HELP_TIMEOUT,
        };
        self.requests.insert(target, request);
    }

    /// Records the result of one indirect probe. Returns whether it was the last one and
    /// all of them failed.
    pub(crate) fn answered(&mut self, target: MemberKey, reached: bool) -> bool {
        let Some(request) = self.requests.get_mut(&target) else {
            return false;
        };
        request.waiting = request.waiting.saturating_sub(1);
        let settled = reached || request.waiting == 0;
        if settled {
            self.requests.remove(&target);
        }
        settled && !reached
    }

    /// Cancels the indirect probes of a member that has answered.
    pub(crate) fn settle(&mut self, target: MemberKey) {
        self.requests.remove(&target);
    }

    /// Removes and returns the members whose indirect probes timed out.
    pub(crate) fn expire(&mut self, now: Time) -> Vec<MemberKey> {
        let late: Vec<_> = self
            .requests
            .iter()
            .filter(|(_, request)| request.until <= now)
            .map(|(key, _)| *key)
            .collect();
        for key in &late {
            self.requests.remove(key);
        }
        late
    }

    pub(crate) fn clear(&mut self) {
        self.requests.clear();
    }
}
