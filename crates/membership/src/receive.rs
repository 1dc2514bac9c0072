//! Processing of messages and tables that arrive from peers and of platform rows.

use crate::action::{Action, Disbelief};
use crate::machine::{Membership, TableComparison};
use crate::member::{Member, MemberKey, MemberState, Time};
use crate::table::{Entry, Merge};
use crate::wire::{Exchange, Row, RowError, StateUpdate};

/// Consecutive digest mismatches before a table is pulled. Updates in flight make
/// digests differ for a moment, which resolves without a pull.
const MISMATCHES_BEFORE_PULL: u32 = 3;

/// Consecutive digest mismatches before a table is pulled while this daemon still has
/// updates to spread.
const MISMATCHES_WITH_UPDATES: u32 = 8;

/// Time for which the digests of other zones' daemons must differ before a daemon that is
/// no relay pulls a table from them itself: its zone's relays most likely can't.
const RELAY_FALLBACK_DELAY: Time = Time::from_secs(12);

/// Daemons of a zone that pull tables from other zones on behalf of their zone. There are
/// two, so that the failure of one has no effect. When every daemon pulled for itself, a
/// simultaneous start of 300 took 31 MB between zones (the example `start_at_size`).
const RELAYS_PER_ZONE: usize = 2;

/// Unanswered contacts after which an unconfirmed instance no longer counts as a relay.
/// Otherwise rows of instances that no longer exist would leave a zone without relays
/// until they are forgotten.
const MAX_RELAY_CONTACTS: u32 = 2;

/// Age of the process below which it pulls a table at the first mismatch: after a mass
/// restart, the first peers that it reaches know as little as it does.
const STARTUP_PERIOD: Time = Time::from_secs(10);

/// Rows, and state updates, that are processed of one message. The rest is ignored, so
/// that a faulty peer cannot cause unbounded work.
const MAX_UPDATES: usize = 64;

/// Rows that are processed of one pulled table or one read of the roster.
const MAX_TABLE_ROWS: usize = 4096;

impl Membership {
    pub(crate) fn replied(&mut self, now: Time, peer: MemberKey, reply: Exchange) {
        if peer == self.me {
            self.rival_replied(reply);
            return;
        }
        if reply.from != peer {
            // Another instance has taken over the address, so the expected one is gone.
            self.unreached(now, peer);
            return;
        }
        self.indirect_probes.cancel(peer);
        self.record_contact(now, peer, true);
        let introduce = reply.introduce;
        self.receive_message(now, peer, reply, true);
        let Some(entry) = self.table.get_mut(peer) else {
            return;
        };
        entry.unreached = false;
        entry.contacts = if introduce { 0 } else { entry.contacts + 1 };
        if !entry.confirmed {
            entry.confirmed = true;
            self.report_change(peer);
        }
        if introduce {
            self.queue_update(self.me);
        }
    }

    /// Processes a message from a peer. `answered` tells a reply from a request.
    pub(crate) fn receive_message(
        &mut self,
        now: Time,
        from: MemberKey,
        message: Exchange,
        answered: bool,
    ) {
        let (own, rows): (Vec<_>, Vec<_>) = message
            .rows
            .into_iter()
            .take(MAX_UPDATES)
            .partition(|row| row.key() == from);
        for row in own {
            self.receive_row(now, row);
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
            self.receive_row(now, row);
        }
        for update in message.words.into_iter().take(MAX_UPDATES) {
            self.receive_state_update(update);
        }
        self.merge_head_age(now, message.head_age);
        if let Some(upstream) = message.drained {
            self.actions.push(Action::TargetDrained(upstream));
        }
        self.actions.push(Action::PeerConfig {
            peer: from,
            addr,
            config_id: message.mark,
            floor: message.floor,
            answered,
        });
        self.compare_tables(now, from, message.table);
    }

    fn merge_head_age(&mut self, now: Time, age: u16) {
        if age == u16::MAX {
            return;
        }
        let at = now.saturating_sub(Time::from_millis(u64::from(age) * 100));
        if self.head_read.is_none_or(|known| known < at) {
            self.head_read = Some(at);
        }
    }

    fn read_row(&mut self, row: Row) -> Option<Member> {
        let (birth, incarnation) = (row.birth, row.incarnation);
        let instance = row.instance.clone();
        let read = Member::try_from(row);
        if read == Err(RowError::BeforeBirth) {
            self.actions.push(Action::NotBelieved(Disbelief {
                instance,
                field: "incarnation",
                stated: incarnation,
                known: birth,
            }));
        }
        read.ok()
    }

    fn receive_row(&mut self, now: Time, row: Row) {
        let Some(member) = self.read_row(row) else {
            return;
        };
        let key = member.key();
        if key == self.me {
            self.receive_own_row(now, &member);
            return;
        }
        // A dead member that is unknown here is not added: tables forget the dead at
        // different times and would otherwise reintroduce them to each other for ever.
        if self.table.get(key).is_none() && !member.is_present() {
            return;
        }
        if self.table.merge_row(member, true) == Merge::Changed {
            self.report_change(key);
        }
    }

    fn receive_state_update(&mut self, StateUpdate(key, incarnation, state): StateUpdate) {
        let state = MemberState::from(state);
        if key == self.me {
            self.refute(incarnation, state);
            return;
        }
        if self.table.merge_state_update(key, incarnation, state) == Merge::Changed {
            self.report_change(key);
        }
    }

    /// Counts a matching digest in a peer's request as agreement about queued updates.
    /// It must be called before the request's own updates are applied. Replies don't
    /// count, since their sender has just applied this daemon's updates.
    pub(crate) fn record_agreement(&mut self, theirs: u64) {
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
        self.updates.record_agreement(is_in_digest);
    }

    fn compare_tables(&mut self, now: Time, peer: MemberKey, digest: u64) {
        let Some(entry) = self.table.get(peer) else {
            return;
        };
        let is_own_zone = self.is_own_zone(entry);
        let is_same = digest == self.table.digest();
        let mismatch_threshold = self.mismatch_threshold(now);
        let is_left_to_relays = !is_own_zone && !is_same && !self.is_relay();
        let comparison = if is_own_zone {
            &mut self.own_zone_comparison
        } else {
            &mut self.other_zones_comparison
        };
        comparison.record(now, is_same);
        let is_overdue = comparison.mismatch_duration(now) >= RELAY_FALLBACK_DELAY;
        let is_due =
            comparison.mismatches >= mismatch_threshold && (is_overdue || !is_left_to_relays);
        if is_due && comparison.next_pull <= now {
            self.pull_table(now, peer, is_own_zone);
        }
    }

    /// Returns the number of consecutive mismatches from which a table is pulled.
    fn mismatch_threshold(&self, now: Time) -> u32 {
        match (now < STARTUP_PERIOD, self.updates.is_empty()) {
            (true, _) => 1,
            (false, true) => MISMATCHES_BEFORE_PULL,
            (false, false) => MISMATCHES_WITH_UPDATES,
        }
    }

    /// Whether this daemon pulls tables from other zones on behalf of its own zone, whose
    /// daemons get the rows from it. There is no election: the members with the lowest keys
    /// that this daemon believes present are the relays. Where views differ, more daemons
    /// act as relays. When the whole fleet starts, nobody is confirmed yet, so instances
    /// known only from platform rows count until they had two chances to answer.
    fn is_relay(&self) -> bool {
        let counts_as_present = |entry: &Entry| {
            entry.member.is_present() && (entry.confirmed || entry.contacts < MAX_RELAY_CONTACTS)
        };
        let is_earlier_relay = |(key, entry): &(MemberKey, &Entry)| {
            *key < self.me && self.is_own_zone(entry) && counts_as_present(entry)
        };
        self.table.iter().filter(is_earlier_relay).count() < RELAYS_PER_ZONE
    }

    fn pull_table(&mut self, now: Time, peer: MemberKey, is_own_zone: bool) {
        let Some(entry) = self.table.get(peer) else {
            return;
        };
        let interval = self.config.pull_interval;
        let delay = if now < STARTUP_PERIOD {
            interval / 5
        } else {
            interval
        };
        let next = TableComparison::with_next_pull(now + delay);
        let addr = entry.member.peer;
        if is_own_zone {
            self.own_zone_comparison = next;
        } else {
            self.other_zones_comparison = next;
        }
        self.actions.push(Action::PullTable {
            addr,
            zones: self.table.zone_digests(),
        });
    }

    pub(crate) fn table_pulled(&mut self, now: Time, rows: Vec<Row>) {
        for row in rows.into_iter().take(MAX_TABLE_ROWS) {
            self.receive_row(now, row);
        }
    }

    pub(crate) fn announcements_read(&mut self, now: Time, rows: Vec<Row>) {
        for row in rows.into_iter().take(MAX_TABLE_ROWS) {
            let Some(member) = self.read_row(row) else {
                continue;
            };
            if member.key() == self.me {
                self.receive_own_row(now, &member);
            } else {
                self.receive_platform_row(member);
            }
        }
    }

    /// Processes a row that was read from the platform. For an unknown instance it gives
    /// an address to contact. If it shows a newer process of a confirmed member, that is
    /// reported as a change at once: the process's own messages bring nothing newer, so
    /// no later change would be reported and no calls would be sent there.
    fn receive_platform_row(&mut self, member: Member) {
        let key = member.key();
        if self.table.merge_row(member, false) != Merge::Changed {
            return;
        }
        if self.table.get(key).is_some_and(|it| it.confirmed) {
            self.report_change(key);
        }
    }

    pub(crate) fn report_change(&mut self, key: MemberKey) {
        self.queue_update(key);
        self.actions.push(Action::Changed(key));
    }

    pub(crate) fn record_contact(&mut self, now: Time, peer: MemberKey, reached: bool) {
        let Some(entry) = self.table.get(peer) else {
            return;
        };
        let zone = entry.member.zone.clone();
        let own_zone = self.is_own_zone(entry);
        if let Some(reachable) = self.isolation.record(now, peer, &zone, own_zone, reached) {
            self.actions.push(Action::ZoneReachable { zone, reachable });
        }
    }

    pub(crate) fn leave(&mut self) {
        let me = self.me;
        self.declare(me, MemberState::Leaving);
    }
}
