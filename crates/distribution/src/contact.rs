//! Which daemons of the own zone can't tell this one of versions, from the questions of those
//! that learn of versions from them.
//!
//! Membership takes seconds to say that a daemon is gone, since a wrong word about it
//! would reach everyone. A version has to be in force sooner than that. What a daemon
//! finds here concerns nobody else: it only takes others for the ones that follow the
//! platform, or asks the platform for itself.

use std::collections::BTreeMap;

use stoatstep_membership::{MemberKey, Time};

/// Time for which a member is passed over. By then membership has found out whether one that
/// did not answer is gone, and one that the platform did not answer asks it again.
const PASSED_OVER: Time = Time::from_secs(5);

/// Why a member can't tell of versions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Loss {
    /// It does not answer.
    Silent,
    /// It answers, and the platform does not answer it.
    Platform,
}

/// Members that can't tell of versions, this daemon itself among them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Contact {
    losses: BTreeMap<MemberKey, (Loss, Time)>,
    turn: usize,
}

impl Contact {
    /// This member did not answer.
    pub fn missed(&mut self, member: MemberKey, now: Time) {
        self.lose(member, Loss::Silent, now);
    }

    /// The platform did not answer this member.
    pub fn lost_platform(&mut self, member: MemberKey, now: Time) {
        self.lose(member, Loss::Platform, now);
    }

    /// This member follows the platform, which answers it.
    pub fn regained(&mut self, member: MemberKey) {
        self.losses.remove(&member);
    }

    /// Whether this member did not answer lately.
    #[must_use]
    pub fn is_silent(&self, member: MemberKey, now: Time) -> bool {
        self.loss(member, now) == Some(Loss::Silent)
    }

    /// Whether the platform did not answer this member lately.
    #[must_use]
    pub fn has_lost_platform(&self, member: MemberKey, now: Time) -> bool {
        self.loss(member, now) == Some(Loss::Platform)
    }

    /// Whether anybody did not answer lately.
    #[must_use]
    pub fn misses_any(&self, now: Time) -> bool {
        let mut members = self.losses.keys();
        members.any(|it| self.is_silent(*it, now))
    }

    /// Of these members of a zone, those from among whom the ones are chosen that follow the
    /// platform for it. Where it answers none of those that answer, that is any of them: they
    /// go on asking it, and the others don't join them.
    #[must_use]
    pub fn eligible(&self, zone: &[MemberKey], now: Time) -> Vec<MemberKey> {
        let answering = zone.iter().filter(|it| !self.is_silent(**it, now));
        let answering: Vec<_> = answering.copied().collect();
        let able = answering.iter().copied();
        let able: Vec<_> = able
            .filter(|it| !self.has_lost_platform(*it, now))
            .collect();
        if able.is_empty() { answering } else { able }
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

    fn lose(&mut self, member: MemberKey, loss: Loss, now: Time) {
        self.losses.retain(|_, (_, until)| *until > now);
        self.losses.insert(member, (loss, now + PASSED_OVER));
    }

    fn loss(&self, member: MemberKey, now: Time) -> Option<Loss> {
        let (loss, until) = self.losses.get(&member)?;
        (*until > now).then_some(*loss)
    }
}
