//! Processing of messages and tables that arrive from peers and of platform rows.

use crate::action::Action;
use crate::machine::{Comparison, Membership};
use crate::member::{Member, MemberKey, MemberState, Time};
use crate::table::{Entry, Merge};
use crate::wire::{Exchange, Row, Word};

/// Consecutive digest mismatches before a table is pulled. Updates in flight make
/// digests differ for a moment, which resolves without a pull.
const MISMATCHES_BEFORE_PULL: u32 = 3;

/// Consecutive digest mismatches before a table is pulled while this daemon still has
/// updates to spread.
const MISMATCHES_WITH_NEWS: u32 = 8;

/// Time for which the digests of other zones' daemons must differ before a daemon that is
/// no relay pulls a table from them itself: its zone's relays most likely can't.
const FAR_PATIENCE: Time = Time::from_secs(12);

/// Daemons of a zone that pull tables from other zones on behalf of their zone. There are
/// two, so that the death of one has no effect. When every daemon pulled for itself, a
/// simultaneous start of 300 took 31 MB between zones (the example `start_at_size`).
const RELAYS: usize = 2;

/// Unanswered contacts after which an unconfirmed instance no longer counts as a relay.
/// Otherwise rows of instances that are gone for good would leave a zone without relays
/// until they are forgotten.
const RELAY_TRIES: u32 = 2;

/// Age of the process below which it pulls a table at the first mismatch: after a mass
/// restart, the first peers that it reaches know as little as it does.
const SETTLING: Time = Time::from_secs(10);

/// Rows, and state updates, that are processed of one message. The rest is ignored, so
/// that a faulty peer cannot cause unbounded work.
const MAX_NEWS: usize = 64;

/// Rows that are processed of one pulled table or one read of the roster.
const MAX_TABLE: usize = 4096;

impl Membership {
    pub(crate) fn replied(&mut self, now: Time, peer: MemberKey, reply: Exchange) {
        if reply.from != peer {
            // Another instance has taken over the address, so the expected one is gone.
            self.unreached(now, peer);
            return;
        }
        self.helpers.settle(peer);
        self.note_contact(now, peer, true);
        let introduce = reply.introduce;
        self.hear(now, peer, reply, true);
        let Some(entry) = self.table.get_mut(peer) else {
            return;
        };
        entry.unreached = false;
        entry.contacts = if introduce { 0 } else { entry.contacts + 1 };
        if !entry.confirmed {
            entry.confirmed = true;
            self.changed(peer);
        }
        if introduce {
            self.spread(self.me);
        }
    }

    /// Processes a message from a peer. `answered` tells a reply from a request.
    pub(crate) fn hear(&mut self, now: Time, from: MemberKey, message: Exchange, answered: bool) {
        let (own, rows): (Vec<_>, Vec<_>) = message
            .rows
            .into_iter()
            .take(MAX_NEWS)
            .partition(|row| row.key() == from);
        for row in own {
            self.hear_row(row);
        }
        let Some(entry) = self.table.get_mut(from) else {
            return;
        };
        entry.version = entry.version.max(message.mark.version);
        let addr = entry.member.peer;
        if message.incarnation < entry.member.incarnation {
            // The sender is a former process of its instance, or is behind the fleet's
            // state of itself. Its view may be from before a freeze: applying its updates
            // would bring back states that the fleet has overridden.
            return;
        }
        for row in rows {
            self.hear_row(row);
        }
        for word in message.words.into_iter().take(MAX_NEWS) {
            self.hear_word(word);
        }
        self.hear_head_age(now, message.head_age);
        if let Some(upstream) = message.drained {
            self.actions.push(Action::TargetDrained(upstream));
        }
        self.actions.push(Action::PeerHolds {
            peer: from,
            addr,
            mark: message.mark,
            floor: message.floor,
            answered,
        });
        self.compare_tables(now, from, message.table);
        self.has_met = true;
    }

    fn hear_head_age(&mut self, now: Time, age: u16) {
        if age == u16::MAX {
            return;
        }
        let at = now.saturating_sub(Time::from_millis(u64::from(age) * 100));
        if self.head_read.is_none_or(|known| known < at) {
            self.head_read = Some(at);
        }
    }

    fn hear_row(&mut self, row: Row) {
        let Ok(member) = Member::try_from(row) else {
            return;
        };
        let key = member.key();
        if key == self.me {
            self.hear_of_self(&member);
            return;
        }
        // A dead member that is unknown here is not added: tables forget the dead at
        // different times and would otherwise reintroduce them to each other for ever.
        if self.table.get(key).is_none() && !member.is_present() {
            return;
        }
        if self.table.merge_row(member, true) == Merge::Changed {
            self.changed(key);
        }
    }

    fn hear_word(&mut self, Word(key, incarnation, state): Word) {
        let state = MemberState::from(state);
        if key == self.me {
            self.refute(incarnation, state);
            return;
        }
        if self.table.merge_word(key, incarnation, state) == Merge::Changed {
            self.changed(key);
        }
    }

    /// Processes a row about this instance, which may describe this process, a former
    /// one, or a newer one that was started while this one was frozen. If the row shows
    /// a higher birth but this process has not met a peer yet, this process is not the
    /// older one: it has just started, with a wall clock that went back.
    fn hear_of_self(&mut self, row: &Member) {
        let birth = self.own().member.birth;
        if row.birth > birth && self.has_met {
            self.actions.push(Action::Superseded { birth: row.birth });
            return;
        }
        let state = if row.birth == birth {
            row.state
        } else {
            MemberState::Dead
        };
        self.refute(row.incarnation, state);
    }

    /// Refutes an update that overrides this daemon's own state, by raising its
    /// incarnation above that of the update. A leaving daemon stays leaving under the
    /// higher incarnation.
    fn refute(&mut self, incarnation: u64, state: MemberState) {
        if (incarnation, state) <= self.own().rank() {
            return;
        }
        self.raise_incarnation(incarnation);
        let is_of_former_life = !self.has_met;
        let me = self.me;
        if is_of_former_life && let Some(own) = self.table.get_mut(me) {
            own.member.birth = own.member.incarnation;
        }
    }

    pub(crate) fn raise_incarnation(&mut self, above: u64) {
        let me = self.me;
        if let Some(own) = self.table.get_mut(me) {
            own.member.incarnation = own.member.incarnation.max(above) + 1;
        }
        self.spread(me);
    }

    /// Counts a matching digest in a peer's request as agreement about queued updates.
    /// It must be called before the request's own updates are applied. Replies don't
    /// count, since their sender has just applied this daemon's updates.
    pub(crate) fn note_agreement(&mut self, theirs: u64) {
        if self.updates.is_empty() || theirs != self.table.digest() {
            return;
        }
        let table = &self.table;
        // The digest does not cover suspicions, so matching digests say nothing about
        // them.
        let is_in_digest = |key| {
            let entry = table.get(key);
            entry.is_none_or(|it| it.member.state != MemberState::Suspect)
        };
        self.updates.note_agreement(is_in_digest);
    }

    fn compare_tables(&mut self, now: Time, peer: MemberKey, digest: u64) {
        let Some(entry) = self.table.get(peer) else {
            return;
        };
        let is_near = self.is_own_zone(entry);
        let is_same = digest == self.table.digest();
        let patience = self.patience(now);
        let is_on_own_behalf = !is_near && !is_same && !self.is_relay();
        let seen = if is_near {
            &mut self.near
        } else {
            &mut self.far
        };
        seen.note(now, is_same);
        let is_overdue = seen.lasts(now) >= FAR_PATIENCE;
        let is_due = seen.mismatches >= patience && (is_overdue || !is_on_own_behalf);
        if is_due && seen.next_pull <= now {
            self.pull_table(now, peer, is_near);
        }
    }

    /// Returns the number of consecutive mismatches from which a table is pulled.
    fn patience(&self, now: Time) -> u32 {
        match (now < SETTLING, self.updates.is_empty()) {
            (true, _) => 1,
            (false, true) => MISMATCHES_BEFORE_PULL,
            (false, false) => MISMATCHES_WITH_NEWS,
        }
    }

    /// Whether this daemon pulls tables from other zones on behalf of its own zone, to
    /// which it passes them on. There is no election: the members with the lowest keys
    /// that this daemon believes present are the relays. Where views differ, more daemons
    /// act as relays. When the whole fleet starts, nobody is confirmed yet, so instances
    /// known only from platform rows count until they had two chances to answer.
    fn is_relay(&self) -> bool {
        let is_there = |entry: &Entry| {
            entry.member.is_present() && (entry.confirmed || entry.contacts < RELAY_TRIES)
        };
        let is_before = |(key, entry): &(MemberKey, &Entry)| {
            *key < self.me && self.is_own_zone(entry) && is_there(entry)
        };
        self.table.iter().filter(is_before).count() < RELAYS
    }

    fn pull_table(&mut self, now: Time, peer: MemberKey, is_near: bool) {
        let Some(entry) = self.table.get(peer) else {
            return;
        };
        let interval = self.config.pull_interval;
        let pause = if now < SETTLING {
            interval / 5
        } else {
            interval
        };
        let next = Comparison::anew(now + pause);
        let addr = entry.member.peer;
        if is_near {
            self.near = next;
        } else {
            self.far = next;
        }
        self.actions.push(Action::PullTable {
            addr,
            zones: self.table.zone_digests(),
        });
    }

    pub(crate) fn table_pulled(&mut self, rows: Vec<Row>) {
        for row in rows.into_iter().take(MAX_TABLE) {
            self.hear_row(row);
        }
        self.has_met = true;
    }

    pub(crate) fn announced(&mut self, rows: Vec<Row>) {
        for row in rows.into_iter().take(MAX_TABLE) {
            let Ok(member) = Member::try_from(row) else {
                continue;
            };
            if member.key() == self.me {
                self.hear_of_self(&member);
            } else {
                self.hear_hint(member);
            }
        }
    }

    /// Processes a row that was read from the platform. For an unknown instance it gives
    /// an address to contact. If it shows a newer process of a confirmed member, that is
    /// reported as a change at once: the process's own messages bring nothing newer, so
    /// no later change would be reported and no calls would be sent there.
    fn hear_hint(&mut self, member: Member) {
        let key = member.key();
        if self.table.merge_row(member, false) != Merge::Changed {
            return;
        }
        if self.table.get(key).is_some_and(|it| it.confirmed) {
            self.changed(key);
        }
    }

    pub(crate) fn changed(&mut self, key: MemberKey) {
        self.spread(key);
        self.actions.push(Action::Changed(key));
    }

    pub(crate) fn note_contact(&mut self, now: Time, peer: MemberKey, reached: bool) {
        let Some(entry) = self.table.get(peer) else {
            return;
        };
        let zone = entry.member.zone.clone();
        let own_zone = self.is_own_zone(entry);
        if let Some(reachable) = self.guard.note(now, peer, &zone, own_zone, reached) {
            self.actions.push(Action::ZoneReachable { zone, reachable });
        }
    }

    pub(crate) fn leave(&mut self) {
        let me = self.me;
        self.pronounce(me, MemberState::Leaving);
    }
}
