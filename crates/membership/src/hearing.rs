//! Taking in what peers say, and what their silence means.

use crate::action::Action;
use crate::machine::{Comparison, Membership};
use crate::member::{Member, MemberKey, MemberState, Time};
use crate::table::{Entry, Merge};
use crate::wire::{Exchange, Row, Word};

/// Exchanges in a row with another table digest before a table is pulled: news
/// on its way makes digests differ for a moment, and that heals by itself.
const MISMATCHES_BEFORE_PULL: u32 = 3;

/// The same while this daemon itself has news to pass on.
const MISMATCHES_WITH_NEWS: u32 = 8;

/// Time for which tables of other zones have differed from this one's until it pulls one
/// although others of its zone do so on its behalf: they most likely can't.
const FAR_PATIENCE: Time = Time::from_secs(12);

/// Daemons of a zone that pull the tables of other zones for it. Two, so that the death of
/// one goes unnoticed. When every daemon pulled for itself, a start of 300 at once took
/// 31 MB between zones (the example `start_at_size`).
const RELAYS: usize = 2;

/// Contacts after which an instance that did not answer is no relay. Rows of instances that
/// are gone for good would else leave a zone without one until they are forgotten.
const RELAY_TRIES: u32 = 2;

/// Age of the process until which it pulls tables at the first mismatch: in a
/// herd of restarts the first peers that it meets know as little as it does.
const SETTLING: Time = Time::from_secs(10);

/// Rows and words that one message may carry; the rest is ignored, so that a
/// broken peer cannot make this daemon work without bound.
const MAX_NEWS: usize = 64;

/// Rows that a pulled table may carry.
const MAX_TABLE: usize = 4096;

impl Membership {
    pub(crate) fn replied(&mut self, now: Time, peer: MemberKey, reply: Exchange) {
        if reply.from != peer {
            // Another instance took over the address: the expected one is gone.
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

    /// Takes in a message, be it a request or an answer.
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
            // The sender is an older life of this instance, or has not heard of
            // its latest state. Its view may be from before a freeze: taking
            // its words would bring back what the fleet has overruled.
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
        // A death of someone unknown here is no news, and taking it up would let
        // the dead go round between tables that forget them at different times.
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

    /// A row about this instance: of this process, of an earlier one, or of a
    /// newer one that runs while this one was frozen. A process that met nobody
    /// yet can't be the older one: it started just now, by a clock that went
    /// back.
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

    /// Answers a word that overrules this daemon's own by one that overrules it
    /// in turn. A leaving daemon stays leaving, under the higher incarnation.
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

    /// Notes that a peer's request showed the same table as this one, before
    /// anything that it carried was taken in. A reply tells nothing of the kind,
    /// since whoever gives it has just taken in this daemon's own news.
    pub(crate) fn note_agreement(&mut self, theirs: u64) {
        if self.updates.is_empty() || theirs != self.table.digest() {
            return;
        }
        let table = &self.table;
        // A suspicion is not part of the digest, so agreement says nothing
        // about it.
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

    /// Mismatches in a row from which a peer's table is pulled.
    fn patience(&self, now: Time) -> u32 {
        match (now < SETTLING, self.updates.is_empty()) {
            (true, _) => 1,
            (false, true) => MISMATCHES_BEFORE_PULL,
            (false, false) => MISMATCHES_WITH_NEWS,
        }
    }

    /// Whether this daemon pulls the tables of other zones on behalf of its own, which
    /// has them from it. Nobody is elected: keys are hashes, and the lowest ones that
    /// this daemon believes present do it. Where views differ, more of them do. In a
    /// start of all nobody is confirmed yet, so rows that only the platform showed count
    /// until their instances had two chances to answer.
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

    /// A row that only the platform showed. For a stranger it says where to knock.
    /// A member that it shows in a newer process is present by that: its own words
    /// will bring nothing newer, so whoever waits for the change would miss it, and
    /// would send no call there until something else changes.
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
