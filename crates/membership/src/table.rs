//! The table of members.

use std::collections::BTreeMap;

use smol_str::SmolStr;
use xxhash_rust::xxh3::xxh3_64;

use crate::member::{Incarnation, Member, MemberKey, MemberState, Time};
use crate::wire::ZoneDigest;

/// A member together with this daemon's local knowledge of it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Entry {
    /// The member's latest known state.
    pub member: Member,
    /// Highest configuration version that the member reported.
    pub version: u64,
    /// Whether the member itself, or a peer that holds it as confirmed, reported it. A row
    /// read from the platform only gives an address to contact: it may belong to an
    /// instance that died long ago, which must not come back to life through it.
    pub confirmed: bool,
    /// The last generation of the member's target that the member reported as draining.
    /// A restarted daemon does not know of it, but the target may have been told that its
    /// drain is acknowledged.
    pub drained: Option<SmolStr>,
    /// Whether this daemon's last contact with the member failed.
    pub unreached: bool,
    pub(crate) suspect_until: Option<Time>,
    pub(crate) dead_since: Option<Time>,
    pub(crate) next_contact: Time,
    pub(crate) contacts: u32,
}

/// Outcome of merging a row or a state update into the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Merge {
    /// The update was outdated or already known.
    Stale,
    /// The update is about a member whose row is missing here.
    Unknown,
    /// The member is new, or its state, incarnation or confirmation changed.
    Changed,
}

/// All members that this daemon knows, including itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Table {
    entries: BTreeMap<MemberKey, Entry>,
}

impl Table {
    /// Returns the entry of one member.
    #[must_use]
    pub fn get(&self, key: MemberKey) -> Option<&Entry> {
        self.entries.get(&key)
    }

    pub(crate) fn get_mut(&mut self, key: MemberKey) -> Option<&mut Entry> {
        self.entries.get_mut(&key)
    }

    /// Iterates over all entries in key order, including unconfirmed ones.
    pub fn iter(&self) -> impl Iterator<Item = (MemberKey, &Entry)> {
        self.entries.iter().map(|(key, entry)| (*key, entry))
    }

    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = (MemberKey, &mut Entry)> {
        self.entries.iter_mut().map(|(key, entry)| (*key, entry))
    }

    /// Iterates over the confirmed members that are not dead.
    pub fn present(&self) -> impl Iterator<Item = (MemberKey, &Entry)> {
        self.iter()
            .filter(|(_, entry)| entry.confirmed && entry.member.is_present())
    }

    /// Iterates over the confirmed members of one zone that are not dead.
    pub fn in_zone<'a>(&'a self, zone: &'a str) -> impl Iterator<Item = (MemberKey, &'a Entry)> {
        self.present()
            .filter(move |(_, entry)| entry.member.zone == zone)
    }

    /// Counts the members of one zone that became dead at `since` or later.
    #[must_use]
    pub fn died_since(&self, zone: &str, since: Time) -> usize {
        let of_zone = self.iter().filter(|(_, it)| it.member.zone == zone);
        let died = of_zone.filter(|(_, it)| it.dead_since.is_some_and(|at| at >= since));
        died.count()
    }

    pub(crate) fn forget(&mut self, mut gone: impl FnMut(&Entry) -> bool) {
        self.entries.retain(|_, entry| !gone(entry));
    }

    /// Merges a row. The higher (incarnation, state) wins, and the addresses are those
    /// of the higher birth.
    pub(crate) fn merge_row(&mut self, member: Member, confirmed: bool) -> Merge {
        let key = member.key();
        let Some(entry) = self.entries.get_mut(&key) else {
            self.entries.insert(key, Entry::new(member, confirmed));
            return Merge::Changed;
        };
        if !confirmed && member.birth <= entry.member.birth {
            return Merge::Stale;
        }
        entry.drained = draining_generation(&member).or(entry.drained.take());
        let is_newly_confirmed = confirmed && !entry.confirmed;
        entry.confirmed |= confirmed;
        let is_newer = (member.incarnation, member.state) > entry.rank();
        if member.birth > entry.member.birth {
            entry.replace_process(member);
            return Merge::Changed;
        }
        if is_newer {
            entry.set_state(member.incarnation, member.state);
            entry.member.announced = member.announced;
        }
        if is_newer || is_newly_confirmed {
            Merge::Changed
        } else {
            Merge::Stale
        }
    }

    /// Merges a state update without addresses.
    pub(crate) fn merge_state_update(
        &mut self,
        key: MemberKey,
        incarnation: Incarnation,
        state: MemberState,
    ) -> Merge {
        let Some(entry) = self.entries.get_mut(&key) else {
            return Merge::Unknown;
        };
        if (incarnation, state) <= entry.rank() {
            return Merge::Stale;
        }
        entry.set_state(incarnation, state);
        Merge::Changed
    }

    /// Returns a digest of the present members. Suspicion is left out because it passes
    /// within seconds, and dead members because tables forget them at different times:
    /// either would make the digests of equivalent tables differ.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.present()
            .fold(0, |digest, (key, entry)| digest ^ entry.fingerprint(key))
    }

    /// Returns the digest of the present members of each zone.
    #[must_use]
    pub fn zone_digests(&self) -> Vec<ZoneDigest> {
        let mut zones: BTreeMap<SmolStr, u64> = BTreeMap::new();
        for (key, entry) in self.present() {
            *zones.entry(entry.member.zone.clone()).or_default() ^= entry.fingerprint(key);
        }
        zones
            .into_iter()
            .map(|(zone, digest)| ZoneDigest(zone, digest))
            .collect()
    }
}

fn draining_generation(member: &Member) -> Option<SmolStr> {
    let announced = member.announced.as_ref();
    let drains = announced.filter(|it| it.draining);
    drains.map(|it| it.upstream.clone())
}

impl Entry {
    pub(crate) fn new(member: Member, confirmed: bool) -> Self {
        Self {
            version: 0,
            drained: draining_generation(&member),
            member,
            confirmed,
            unreached: false,
            suspect_until: None,
            dead_since: None,
            next_contact: Time::ZERO,
            contacts: 0,
        }
    }

    /// Returns the precedence of this entry's state when updates are merged.
    pub(crate) fn rank(&self) -> (Incarnation, MemberState) {
        (self.member.incarnation, self.member.state)
    }

    fn set_state(&mut self, incarnation: Incarnation, state: MemberState) {
        self.member.incarnation = incarnation;
        self.member.state = state;
        self.reset_contact_state();
    }

    /// Replaces the member by a newer process of the instance, with its addresses. A
    /// higher (incarnation, state) that is already known is kept.
    fn replace_process(&mut self, mut member: Member) {
        if self.rank() > (member.incarnation, member.state) {
            member.incarnation = self.member.incarnation;
            member.state = self.member.state;
        }
        self.member = member;
        self.reset_contact_state();
    }

    fn reset_contact_state(&mut self) {
        self.suspect_until = None;
        self.dead_since = None;
        self.next_contact = Time::ZERO;
        self.contacts = 0;
        self.unreached = false;
    }

    fn fingerprint(&self, key: MemberKey) -> u64 {
        let state: u8 = match self.member.state {
            MemberState::Leaving => 2,
            _ => 1,
        };
        let mut bytes = [0; 25];
        bytes[..8].copy_from_slice(&key.to_le_bytes());
        bytes[8..16].copy_from_slice(&self.member.incarnation.to_le_bytes());
        bytes[16..24].copy_from_slice(&self.member.birth.to_le_bytes());
        bytes[24] = state;
        xxh3_64(&bytes)
    }
}
