//! Members of the own zone that cannot report new versions, as seen by the daemons that ask them.
//!
//! Membership takes seconds to declare a daemon failed, since a false report would reach the whole
//! fleet. A new version has to be in force sooner than that. The findings here stay local: the
//! daemon only chooses other members as the ones that follow the platform, or asks the platform
//! itself.

use std::collections::BTreeMap;

use stoatstep_membership::{MemberKey, Time};

/// Time for which a member is excluded. Within it, membership finds out whether a member that did
/// not answer has failed, and a member that got no answer from the platform asks it again.
const EXCLUDED_FOR: Time = Time::from_secs(5);

/// Why a member cannot report new versions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    /// The member does not answer.
    Silent,
    /// The member answers, but the platform does not answer the member.
    NoPlatform,
}

/// The members that cannot report new versions; this daemon may be one of them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PollerHealth {
    faults: BTreeMap<MemberKey, (Fault, Time)>,
    turn: usize,
}

impl PollerHealth {
    /// Records that this member did not answer.
    pub fn mark_silent(&mut self, member: MemberKey, now: Time) {
        self.record(member, Fault::Silent, now);
    }

    /// Records that the platform did not answer this member.
    pub fn lost_platform(&mut self, member: MemberKey, now: Time) {
        self.record(member, Fault::NoPlatform, now);
    }

    /// Records that this member follows the platform and gets answers from it.
    pub fn mark_healthy(&mut self, member: MemberKey) {
        self.faults.remove(&member);
    }

    /// Returns whether this member recently did not answer.
    #[must_use]
    pub fn is_silent(&self, member: MemberKey, now: Time) -> bool {
        self.fault_of(member, now) == Some(Fault::Silent)
    }

    /// Returns whether the platform recently did not answer this member.
    #[must_use]
    pub fn has_lost_platform(&self, member: MemberKey, now: Time) -> bool {
        self.fault_of(member, now) == Some(Fault::NoPlatform)
    }

    /// Returns whether any member recently did not answer.
    #[must_use]
    pub fn any_silent(&self, now: Time) -> bool {
        let mut members = self.faults.keys();
        members.any(|it| self.is_silent(*it, now))
    }

    /// Returns the members of a zone among which those that follow the platform are chosen. If the
    /// platform answers none of the members that answer, these are all eligible: the ones that ask
    /// it go on, and the others do not join them.
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

    /// Returns the followers in the order in which they are asked. Each call starts with another
    /// one, so that all of them are asked equally often.
    pub fn round_robin<T>(&mut self, mut followers: Vec<T>) -> Vec<T> {
        self.turn = self.turn.wrapping_add(1);
        if let Some(first) = self.turn.checked_rem(followers.len()) {
            followers.rotate_left(first);
        }
        followers
    }

    fn record(&mut self, member: MemberKey, fault: Fault, now: Time) {
        self.faults.retain(|_, (_, until)| *until > now);
        self.faults.insert(member, (fault, now + EXCLUDED_FOR));
    }

    fn fault_of(&self, member: MemberKey, now: Time) -> Option<Fault> {
        let (fault, until) = self.faults.get(&member)?;
        (*until > now).then_some(*fault)
    }
}
