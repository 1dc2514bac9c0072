//! Which daemons of the own zone have fallen silent, from the questions of those that learn
//! of versions from them.
//!
//! Membership takes seconds to say that a daemon is gone, since a wrong word about it
//! would reach everyone. A version has to be in force sooner than that. What a daemon
//! finds here concerns nobody else: it only takes others for the ones that follow the
//! platform, or asks the platform for itself.

use std::collections::BTreeMap;

use stoatstep_membership::{MemberKey, Time};

/// Time for which one that did not answer is passed over. By then membership has found out
/// whether it is gone.
const PASSED_OVER: Time = Time::from_secs(5);

/// Members that did not answer lately.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Contact {
    silent_until: BTreeMap<MemberKey, Time>,
    turn: usize,
}

impl Contact {
    /// This member did not answer.
    pub fn missed(&mut self, member: MemberKey, now: Time) {
        self.silent_until.retain(|_, until| *until > now);
        self.silent_until.insert(member, now + PASSED_OVER);
    }

    /// This member answered.
    pub fn answered(&mut self, member: MemberKey) {
        self.silent_until.remove(&member);
    }

    /// Whether this member did not answer lately.
    #[must_use]
    pub fn is_silent(&self, member: MemberKey, now: Time) -> bool {
        let until = self.silent_until.get(&member);
        until.is_some_and(|until| *until > now)
    }

    /// Whether anybody did not answer lately.
    #[must_use]
    pub fn misses_any(&self, now: Time) -> bool {
        self.silent_until.values().any(|until| *until > now)
    }

    /// These in the order in which they are asked. Each time another one is the first, so
    /// that all of them are asked as often.
    pub fn in_turn<T>(&mut self, mut followers: Vec<T>) -> Vec<T> {
        self.turn = self.turn.wrapping_add(1);
        if let Some(first) = self.turn.checked_rem(followers.len()) {
            followers.rotate_left(first);
        }
        followers
    }
}
