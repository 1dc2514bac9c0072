//! Handling of failed probes: indirect probes and suspicion.

use rand::seq::IndexedRandom;

use crate::action::Action;
use crate::machine::Membership;
use crate::member::{MemberKey, MemberState, Time};
use crate::table::Merge;

impl Membership {
    /// Handles a peer that did not answer. Only peers of this daemon's zone become
    /// suspect, and only after indirect probes failed as well: an unreachable zone is
    /// most likely cut off, and its members go on serving their own callers.
    pub(crate) fn unreached(&mut self, now: Time, peer: MemberKey) {
        if peer == self.me {
            self.rival_unreached(now);
            return;
        }
        let Some(entry) = self.table.get_mut(peer) else {
            return;
        };
        if !entry.confirmed || !entry.member.is_present() {
            return;
        }
        entry.unreached = true;
        entry.contacts = 0;
        let state = entry.member.state;
        self.record_contact(now, peer, false);
        let own_zone = self.table.get(peer).is_some_and(|it| self.is_own_zone(it));
        if !own_zone || self.isolation.is_isolated() {
            return;
        }
        match state {
            MemberState::Alive => self.start_indirect_probes(now, peer),
            MemberState::Leaving => self.declare(peer, MemberState::Dead),
            MemberState::Suspect | MemberState::Dead => {}
        }
    }

    fn start_indirect_probes(&mut self, now: Time, target: MemberKey) {
        if self.indirect_probes.is_pending(target) {
            return;
        }
        let zone = &self.own_entry().member.zone;
        let candidates: Vec<_> = self
            .table
            .in_zone(zone)
            .filter(|(key, entry)| *key != target && *key != self.me && !entry.unreached)
            .map(|(_, entry)| entry.member.peer)
            .collect();
        let chosen: Vec<_> = candidates
            .sample(&mut self.rng, self.config.indirect_probes)
            .copied()
            .collect();
        if chosen.is_empty() {
            self.declare(target, MemberState::Suspect);
            return;
        }
        self.indirect_probes.start(now, target, chosen.len());
        for addr in chosen {
            self.actions.push(Action::IndirectProbe { addr, target });
        }
    }

    pub(crate) fn indirect_probed(&mut self, now: Time, target: MemberKey, reached: bool) {
        self.isolation.expire(now);
        let all_failed = self.indirect_probes.record_result(target, reached);
        if all_failed && !self.isolation.is_isolated() {
            self.declare(target, MemberState::Suspect);
        }
    }

    /// Declares a member's state as this daemon's own finding and spreads it.
    pub(crate) fn declare(&mut self, key: MemberKey, state: MemberState) {
        let Some(incarnation) = self.table.get(key).map(|it| it.member.incarnation) else {
            return;
        };
        if self.table.merge_state_update(key, incarnation, state) == Merge::Changed {
            self.report_change(key);
        }
    }
}
