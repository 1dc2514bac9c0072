//! The change from one state to any later one.

use std::sync::Arc;

use crate::delta::ApplyError;
use crate::digest::Digest;
use crate::ids::Version;
use crate::key::Key;
use crate::state::{State, VersionedResource};

/// The resources in which a later state differs from an earlier one.
///
/// Unlike a [`Delta`](crate::Delta), it may skip versions: a daemon that missed several of them
/// fetches one short message instead of every delta or a whole state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Difference {
    /// The version that this difference leads to.
    pub version: Version,
    /// Resources that are created or replaced, with their revisions.
    pub puts: Vec<VersionedResource>,
    /// Keys of the resources that are deleted.
    pub deletes: Vec<Key>,
    /// Digest of the whole later state, as its holder computed it.
    pub digest: Digest,
}

impl State {
    /// Computes the difference that leads from this state to `later`.
    #[must_use]
    pub fn difference(&self, later: &Self) -> Difference {
        let is_new = |(key, held): &(&Key, &VersionedResource)| self.get(key) != Some(*held);
        let puts = later.iter().filter(is_new);
        let is_deleted = |(key, _): &(&Key, &VersionedResource)| later.get(key).is_none();
        let deletes = self.iter().filter(is_deleted);
        Difference {
            version: later.version(),
            puts: puts.map(|(_, held)| held.clone()).collect(),
            deletes: deletes.map(|(key, _)| key.clone()).collect(),
            digest: later.digest(),
        }
    }

    /// Returns the state after `difference`, whose version must be newer than this state's.
    ///
    /// # Errors
    ///
    /// An [`ApplyError`] where the version is not newer, the digest differs or a reference dangles.
    pub fn apply_difference(&self, difference: &Difference) -> Result<Self, ApplyError> {
        if difference.version <= self.version() {
            return Err(ApplyError::OutOfOrder {
                held: self.version(),
                offered: difference.version,
            });
        }
        let next = self.with_items(difference.version, &difference.puts, &difference.deletes);
        next.verify(difference.digest)
    }

    /// Replaces each resource that equals one of `earlier` by that state's [`Arc`], so that several
    /// successive states take little more memory than one.
    #[must_use]
    pub fn share_resources_with(self, earlier: &Self) -> Self {
        let version = self.version();
        let shared = self.iter().map(|(key, held)| {
            let known = earlier.get(key);
            let same = known.filter(|it| it.resource == held.resource);
            VersionedResource {
                revision: held.revision,
                resource: Arc::clone(&same.unwrap_or(held).resource),
            }
        });
        Self::from_items(version, shared.collect())
    }
}
