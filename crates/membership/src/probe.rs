//! Whose turn it is to be probed, and probes through helpers.

use std::collections::BTreeMap;

use rand::seq::SliceRandom;
use rand_xoshiro::Xoshiro256PlusPlus;

use crate::member::{MemberKey, Time};

/// Time after which helpers that said nothing count as having failed.
const HELP_TIMEOUT: Time = Time::from_secs(2);

/// Own-zone peers in a shuffled order, each once a round: the time until a
/// given peer is probed is bounded, which independent random choice is not.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Round {
    order: Vec<MemberKey>,
}

impl Round {
    /// The next peer, starting a new round from `peers` where the old one ends.
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

/// Members that missed a probe and whom helpers are probing now.
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

    /// Notes one helper's answer; true where it was the last and all failed.
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

    /// The member was heard of by other means.
    pub(crate) fn settle(&mut self, target: MemberKey) {
        self.requests.remove(&target);
    }

    /// Targets whose helpers kept silent.
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
