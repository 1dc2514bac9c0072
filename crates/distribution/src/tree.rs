//! The tree along which a change spreads to a zone's daemons.

use std::collections::BTreeMap;

use stoatstep_membership::MemberKey;
use stoatstep_resource::ZoneName;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// The members that take part, by zone, including the daemon itself.
pub type ZoneMembers = BTreeMap<ZoneName, Vec<MemberKey>>;

/// Number of roots in each zone. If one fails, the other half of the zone is not affected, and the
/// origin bypasses the failed root and pushes to its children.
pub(crate) const ROOTS: usize = 2;

/// Returns the weight of a member for one purpose, by rendezvous hashing. Daemons that know the
/// same members compute the same order without communication; adding or removing a member does not
/// change the order of the others.
#[must_use]
pub fn rendezvous_weight(seed: u64, key: MemberKey) -> u64 {
    xxh3_64_with_seed(&key.to_le_bytes(), seed)
}

/// Returns the hash seed for a named purpose.
#[must_use]
pub fn seed_of(purpose: &str) -> u64 {
    xxh3_64(purpose.as_bytes())
}

/// Returns the member with the lowest weight for a purpose.
#[must_use]
pub fn rendezvous_choice(
    seed: u64,
    members: impl IntoIterator<Item = MemberKey>,
) -> Option<MemberKey> {
    let members = members.into_iter();
    members.min_by_key(|key| (rendezvous_weight(seed, *key), *key))
}

/// A zone's members sorted by weight and read as a forest with two roots, in which each member has
/// up to `fan_out` children.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tree {
    order: Vec<MemberKey>,
    fan_out: usize,
}

impl Tree {
    /// Builds the tree of these members for one purpose. With a seed for each version, the work of
    /// inner nodes moves from member to member.
    #[must_use]
    pub fn new(seed: u64, members: &[MemberKey], fan_out: usize) -> Self {
        let mut order = members.to_vec();
        order.sort_by_key(|key| (rendezvous_weight(seed, *key), *key));
        order.dedup();
        let fan_out = fan_out.max(1);
        Self { order, fan_out }
    }

    /// Returns the members that receive a change first.
    #[must_use]
    pub fn roots(&self) -> &[MemberKey] {
        &self.order[..self.order.len().min(ROOTS)]
    }

    /// Returns the members to which `parent` passes a change on.
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
