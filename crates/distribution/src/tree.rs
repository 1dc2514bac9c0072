//! The tree along which a change goes to a zone's daemons.

use std::collections::BTreeMap;

use stoatstep_membership::MemberKey;
use stoatstep_resource::ZoneName;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Members that take part, by zone, the daemon itself included.
pub type View = BTreeMap<ZoneName, Vec<MemberKey>>;

/// Roots in each zone: the death of one leaves the other half of the zone
/// untouched, and the origin reaches past it to its children.
pub(crate) const ROOTS: usize = 2;

/// Weight of a member for one purpose. Whoever knows the same members comes to
/// the same order without talking to anyone; a member more or less moves only
/// its own place.
#[must_use]
pub fn rendezvous(seed: u64, key: MemberKey) -> u64 {
    xxh3_64_with_seed(&key.to_le_bytes(), seed)
}

/// Seed for a purpose that has a name.
#[must_use]
pub fn seed_of(purpose: &str) -> u64 {
    xxh3_64(purpose.as_bytes())
}

/// The member with the least weight for a purpose.
#[must_use]
pub fn first_of(seed: u64, members: impl IntoIterator<Item = MemberKey>) -> Option<MemberKey> {
    let members = members.into_iter();
    members.min_by_key(|key| (rendezvous(seed, *key), *key))
}

/// A zone's members in the order of their weights, read as a forest with two
/// roots in which each member has up to `fan_out` children.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tree {
    order: Vec<MemberKey>,
    fan_out: usize,
}

impl Tree {
    /// The tree of these members for one purpose, such as one version, so that
    /// the work of inner nodes moves from member to member.
    #[must_use]
    pub fn new(seed: u64, members: &[MemberKey], fan_out: usize) -> Self {
        let mut order = members.to_vec();
        order.sort_by_key(|key| (rendezvous(seed, *key), *key));
        order.dedup();
        let fan_out = fan_out.max(1);
        Self { order, fan_out }
    }

    /// Who hears first.
    #[must_use]
    pub fn roots(&self) -> &[MemberKey] {
        &self.order[..self.order.len().min(ROOTS)]
    }

    /// Whom `parent` passes a change on to.
    #[must_use]
    pub fn children(&self, parent: MemberKey) -> &[MemberKey] {
        let Some(index) = self.order.iter().position(|it| *it == parent) else {
            return &[];
        };
        let end = self.order.len();
        let first = (ROOTS + index * self.fan_out).min(end);
        let last = (first + self.fan_out).min(end);
        &self.order[first..last]
    }
}
