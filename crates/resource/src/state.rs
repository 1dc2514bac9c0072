//! The whole configuration at one version.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::delta::{ApplyError, Delta};
use crate::digest::Digest;
use crate::ids::{Revision, Version};
use crate::key::{Key, Kind};
use crate::types::Resource;

/// A resource of a [`State`], with its revision.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct VersionedResource {
    /// The version at which the resource last changed.
    pub revision: Revision,
    /// The resource.
    pub resource: Arc<Resource>,
}

/// The whole configuration at one version; it is immutable.
///
/// Each version is a new `State`. A reader that still uses an older one keeps a consistent view of
/// it, and no reader sees a version in part.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct State {
    version: Version,
    resources: BTreeMap<Key, VersionedResource>,
}

impl State {
    /// Builds a state from the items of a snapshot. Duplicate keys are refused, since all but the
    /// last resource under a key would be lost silently.
    ///
    /// # Errors
    ///
    /// A [`SnapshotError`] where a key is duplicated or a revision is newer than `version`.
    pub fn from_snapshot(
        version: Version,
        items: impl IntoIterator<Item = VersionedResource>,
    ) -> Result<Self, SnapshotError> {
        let mut resources = BTreeMap::new();
        for held in items {
            let key = held.resource.key();
            if held.revision > version {
                let revision = held.revision;
                return Err(SnapshotError::RevisionAhead { key, revision });
            }
            if resources.insert(key.clone(), held).is_some() {
                return Err(SnapshotError::DuplicateKey { key });
            }
        }
        Ok(Self { version, resources })
    }

    /// Returns the version of this state.
    #[must_use]
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns the resource under `key`.
    #[must_use]
    pub fn get(&self, key: &Key) -> Option<&VersionedResource> {
        self.resources.get(key)
    }

    /// Iterates over every resource, ordered by key.
    pub fn iter(&self) -> impl Iterator<Item = (&Key, &VersionedResource)> {
        self.resources.iter()
    }

    /// Iterates over the resources of one kind, ordered by name.
    pub fn of_kind(&self, kind: Kind) -> impl Iterator<Item = &VersionedResource> {
        self.iter()
            .filter(move |(key, _)| key.kind == kind)
            .map(|(_, held)| held)
    }

    /// Computes the digest over the version, the resources and their revisions.
    ///
    /// # Panics
    ///
    /// Never, because encoding plain data into memory cannot fail.
    #[must_use]
    pub fn digest(&self) -> Digest {
        let bytes = rmp_serde::to_vec(self).expect("plain data always encodes");
        let mut hasher = blake3::Hasher::new();
        hasher.update(&bytes);
        Digest::of(&hasher)
    }

    /// Returns the state after `delta`, which must lead to the next version. The digest and the
    /// references are checked before the result is returned, so that an invalid version is refused
    /// as a whole.
    ///
    /// # Errors
    ///
    /// An [`ApplyError`] where the version is not the next one, the digest differs or a reference
    /// dangles.
    pub fn apply(&self, delta: &Delta) -> Result<Self, ApplyError> {
        if delta.version != self.version + 1 {
            return Err(ApplyError::OutOfOrder {
                held: self.version,
                offered: delta.version,
            });
        }
        let next = self.with_changes(delta.version, &delta.puts, &delta.deletes);
        next.verify(delta.digest)
    }

    /// Returns this state if its digest is `expected` and all its references resolve.
    pub(crate) fn verify(self, expected: Digest) -> Result<Self, ApplyError> {
        let found = self.digest();
        if found != expected {
            return Err(ApplyError::DigestMismatch { expected, found });
        }
        self.check_references()?;
        Ok(self)
    }

    /// Builds the delta that puts and deletes these resources on top of this state.
    #[must_use]
    pub fn delta(&self, puts: Vec<Resource>, deletes: Vec<Key>) -> Delta {
        let version = self.version + 1;
        let digest = self.with_changes(version, &puts, &deletes).digest();
        Delta {
            version,
            puts,
            deletes,
            digest,
        }
    }

    /// Checks that every reference resolves to a resource of this state.
    ///
    /// # Errors
    ///
    /// The first [`ApplyError::DanglingReference`] found.
    pub fn check_references(&self) -> Result<(), ApplyError> {
        for (from, held) in &self.resources {
            for to in held.resource.references() {
                if !self.resources.contains_key(&to) {
                    let from = from.clone();
                    return Err(ApplyError::DanglingReference { from, to });
                }
            }
        }
        Ok(())
    }

    /// Builds a state from items whose keys are distinct.
    pub(crate) fn from_items(version: Version, items: Vec<VersionedResource>) -> Self {
        let keyed = items.into_iter().map(|held| (held.resource.key(), held));
        Self {
            version,
            resources: keyed.collect(),
        }
    }

    /// Returns the state after these changes; each put has its own revision.
    pub(crate) fn with_items(
        &self,
        version: Version,
        puts: &[VersionedResource],
        deletes: &[Key],
    ) -> Self {
        let mut resources = self.resources.clone();
        for key in deletes {
            resources.remove(key);
        }
        for held in puts {
            resources.insert(held.resource.key(), held.clone());
        }
        Self { version, resources }
    }

    /// Returns the state after these changes; the revision of each put is `version`.
    fn with_changes(&self, version: Version, puts: &[Resource], deletes: &[Key]) -> Self {
        let put = |resource: &Resource| VersionedResource {
            revision: version,
            resource: Arc::new(resource.clone()),
        };
        let puts: Vec<VersionedResource> = puts.iter().map(put).collect();
        self.with_items(version, &puts, deletes)
    }
}

/// Why a snapshot is not a valid state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SnapshotError {
    /// Two resources have the same key.
    DuplicateKey {
        /// The key of both resources.
        key: Key,
    },
    /// The revision of a resource is newer than the version of the snapshot.
    RevisionAhead {
        /// The key of the resource.
        key: Key,
        /// The revision in the snapshot.
        revision: Revision,
    },
    /// The digest of the state differs from the one that the writer computed.
    DigestMismatch {
        /// The digest in the snapshot.
        expected: Digest,
        /// The digest of the state.
        found: Digest,
    },
}

impl fmt::Display for SnapshotError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::DuplicateKey { key } => write!(f, "{key} stands twice in the snapshot"),
            Self::RevisionAhead { key, revision } => {
                write!(f, "{key} has revision {revision}, past the snapshot")
            }
            Self::DigestMismatch { expected, found } => {
                write!(f, "digest is {found}, the writer's is {expected}")
            }
        }
    }
}

impl std::error::Error for SnapshotError {}
