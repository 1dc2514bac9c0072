//! Periodic work of the state machine: timers, probes and contacts.

use rand::RngExt;
use rand::seq::{IndexedRandom, SliceRandom};

use crate::action::Action;
use crate::machine::Membership;
use crate::member::{MemberKey, MemberState, Time};
use crate::table::Entry;

/// Longest time between two probes of a dead member's address.
const MAX_DEAD_PROBE_INTERVAL: Time = Time::from_mins(1);

/// Unconfirmed members of this daemon's zone that are contacted per tick.
const CONTACTS_PER_TICK: usize = 3;

/// Age of the process from which it contacts unconfirmed members of zones in which it
/// already knows a member. By then, the rows of live members have arrived from their own
/// zone.
const OTHER_ZONE_CONTACTS_AFTER: Time = Time::from_secs(5);

/// Contacts of an unconfirmed member before it is forgotten: the instance of an old
/// announcement row is gone.
const MAX_UNCONFIRMED_CONTACTS: u32 = 5;

impl Membership {
    pub(crate) fn tick(&mut self, now: Time) {
        self.fleet_size = self.measure_fleet();
        self.detect_freeze(now);
        self.isolation.expire(now);
        self.expire_indirect_probes(now);
        self.start_suspect_timers(now);
        self.expire_suspects(now);
        self.forget_dead(now);
        self.contact_unconfirmed(now);
        if self.updates.age_one_tick() {
            self.send_fresh_updates(now);
        }
        if self.next_probe <= now {
            self.next_probe = now + self.config.probe_interval;
            self.probe(now);
            self.probe_dead_member(now);
        }
    }

    /// Detects that this process was frozen, and resets its state. The suspicions that
    /// it holds were not refreshed during the freeze: their timers would declare members
    /// dead that have refuted since, and queued updates may have been overridden. So
    /// timers restart, queued updates are dropped, and the incarnation is raised, since
    /// the fleet has probably suspected the current one.
    fn detect_freeze(&mut self, now: Time) {
        let last = self.last_tick.replace(now);
        let gap = last.map_or(Time::ZERO, |last| now.saturating_sub(last));
        if gap < self.config.freeze_bound {
            return;
        }
        for (_, entry) in self.table.iter_mut() {
            entry.suspect_until = None;
        }
        self.updates.clear();
        self.isolation.clear();
        self.indirect_probes.clear();
        self.raise_incarnation(0);
        self.actions.push(Action::Resumed { gap });
    }

    fn expire_indirect_probes(&mut self, now: Time) {
        for target in self.indirect_probes.expire(now) {
            if !self.isolation.is_isolated() {
                self.declare(target, MemberState::Suspect);
            }
        }
    }

    /// Starts the timers of members that became suspect or dead since the last tick,
    /// whether this daemon or a peer declared them so.
    fn start_suspect_timers(&mut self, now: Time) {
        let until = now + self.config.suspect_timeout;
        let next_contact = now + self.config.dead_probe_interval;
        for (_, entry) in self.table.iter_mut() {
            match entry.member.state {
                MemberState::Suspect if entry.suspect_until.is_none() => {
                    entry.suspect_until = Some(until);
                }
                MemberState::Dead if entry.dead_since.is_none() => {
                    entry.dead_since = Some(now);
                    entry.next_contact = next_contact;
                }
                _ => {}
            }
        }
    }

    /// Declares suspects of this daemon's zone dead that did not refute in time. Deaths
    /// in other zones are declared by the daemons of those zones.
    fn expire_suspects(&mut self, now: Time) {
        let is_isolated = self.isolation.is_isolated();
        let extended = now + self.config.suspect_timeout;
        let zone = self.own_entry().member.zone.clone();
        let mut due = Vec::new();
        for (key, entry) in self.table.iter_mut() {
            let is_due = entry.suspect_until.is_some_and(|until| until <= now);
            if !is_due || entry.member.state != MemberState::Suspect {
                continue;
            }
            if is_isolated {
                entry.suspect_until = Some(extended);
            } else if entry.member.zone == zone {
                due.push(key);
            }
        }
        for key in due {
            self.declare(key, MemberState::Dead);
        }
    }

    fn forget_dead(&mut self, now: Time) {
        let after = self.config.forget_after;
        let is_old = |entry: &Entry| entry.dead_since.is_some_and(|since| since + after <= now);
        let zone = &self.own_entry().member.zone;
        let forgotten = self
            .table
            .iter()
            .map(|(_, entry)| entry)
            .filter(|entry| is_old(entry) && entry.member.zone == *zone)
            .map(|entry| Action::Forgotten {
                instance: entry.member.instance.clone(),
                incarnation: entry.member.incarnation,
            });
        let forgotten: Vec<_> = forgotten.collect();
        self.actions.extend(forgotten);
        let is_unanswered = |it: &Entry| !it.confirmed && it.contacts >= MAX_UNCONFIRMED_CONTACTS;
        self.table
            .forget(|entry| is_old(entry) || is_unanswered(entry));
    }

    /// Contacts members that are known only from platform rows. One member of another
    /// zone that answers is enough to learn of the rest of that zone, so the rest wait.
    fn contact_unconfirmed(&mut self, now: Time) {
        let (mut chosen, mut in_other_zones) = (Vec::new(), Vec::new());
        let unconfirmed = self.table.iter().filter(|(_, it)| !it.confirmed);
        for (key, entry) in unconfirmed.filter(|(_, it)| it.next_contact <= now) {
            if self.is_own_zone(entry) {
                chosen.push(key);
            } else if now >= OTHER_ZONE_CONTACTS_AFTER || self.is_zone_unknown(entry) {
                in_other_zones.push(key);
            }
        }
        chosen.shuffle(&mut self.rng);
        chosen.truncate(CONTACTS_PER_TICK);
        chosen.extend(in_other_zones.choose(&mut self.rng));
        for key in chosen {
            if let Some(entry) = self.table.get_mut(key) {
                entry.contacts += 1;
                let wait = Time::from_secs(1 << entry.contacts.min(5));
                entry.next_contact = now + wait;
            }
            self.send(now, key);
        }
    }

    /// Whether no present member is known in the zone of an unconfirmed one.
    fn is_zone_unknown(&self, entry: &Entry) -> bool {
        self.table.in_zone(&entry.member.zone).next().is_none()
    }

    /// Sends fresh updates outside of the probe schedule, so that a departure is known
    /// everywhere within a second or two instead of the ten rounds that probes alone take.
    fn send_fresh_updates(&mut self, now: Time) {
        let own_zone_count = self.config.eager_peers.saturating_sub(1);
        let own = self.peers(true);
        let mut chosen: Vec<_> = own.sample(&mut self.rng, own_zone_count).copied().collect();
        if self.updates.has_other_zone_updates() {
            let other_zone_count = self.config.eager_peers - chosen.len();
            let others = self.peers(false);
            chosen.extend(others.sample(&mut self.rng, other_zone_count).copied());
        }
        for key in chosen {
            self.send(now, key);
        }
    }

    fn probe(&mut self, now: Time) {
        self.probes = self.probes.wrapping_add(1);
        let others = self.peers(false);
        let is_other_zone_turn = self.probes.is_multiple_of(self.config.other_zone_every);
        if is_other_zone_turn && let Some(key) = others.choose(&mut self.rng) {
            self.send(now, *key);
            return;
        }
        if let Some(key) = self.suspect_to_probe().or_else(|| self.next_in_round()) {
            self.send(now, key);
        }
    }

    /// Picks a suspect for half of the probes while there is one: it learns of the
    /// suspicion from the probe and can refute it in its reply.
    fn suspect_to_probe(&mut self) -> Option<MemberKey> {
        if self.rng.random_bool(0.5) {
            return None;
        }
        let zone = self.own_entry().member.zone.clone();
        let suspects: Vec<_> = self
            .table
            .in_zone(&zone)
            .filter(|(_, entry)| entry.member.state == MemberState::Suspect)
            .map(|(key, _)| key)
            .collect();
        suspects.choose(&mut self.rng).copied()
    }

    fn next_in_round(&mut self) -> Option<MemberKey> {
        loop {
            let peers = self.peers(true);
            let known = peers.clone();
            let key = self.round.next(&mut self.rng, || peers)?;
            if known.contains(&key) {
                return Some(key);
            }
        }
    }

    /// Returns the present members except this one, either of its own zone or of all
    /// other zones.
    fn peers(&self, own_zone: bool) -> Vec<MemberKey> {
        self.table
            .present()
            .filter(|(key, entry)| *key != self.me && self.is_own_zone(entry) == own_zone)
            .map(|(key, _)| key)
            .collect()
    }

    /// Probes the address of one dead member. A daemon that restarted there, or whose
    /// network recovered, rejoins the fleet through this probe even during an outage of
    /// the platform.
    fn probe_dead_member(&mut self, now: Time) {
        let first = self.config.dead_probe_interval;
        let due = self
            .table
            .iter()
            .find(|(_, it)| it.dead_since.is_some() && it.next_contact <= now)
            .map(|(key, _)| key);
        let Some(key) = due else {
            return;
        };
        if let Some(entry) = self.table.get_mut(key) {
            let doubled = first * (1 << entry.contacts.min(8));
            entry.next_contact = now + doubled.min(MAX_DEAD_PROBE_INTERVAL);
            entry.contacts += 1;
        }
        self.send(now, key);
    }
}
