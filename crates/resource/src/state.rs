//! A whole configuration at one version.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::delta::{ApplyError, Delta};
use crate::digest::Digest;
use crate::ids::{Revision, Version};
use crate::key::{Key, Kind};
use crate::types::Resource;

/// A resource as a state holds it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Held {
    /// The version at which the resource last changed.
    pub revision: Revision,
    /// The resource.
    pub resource: Arc<Resource>,
}

/// A whole, immutable configuration. A new version is a new `State`: whoever
/// holds the old one keeps a consistent view until it lets go, and no reader
/// ever sees a version in part.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct State {
    version: Version,
    resources: BTreeMap<Key, Held>,
}

impl State {
    /// The state that a snapshot describes. What comes from elsewhere is
    /// checked, since a resource that stood there twice would be lost silently.
    ///
    /// # Errors
    ///
    /// Whatever [`SnapshotError`] names.
    pub fn from_snapshot(
        version: Version,
        items: impl IntoIterator<Item = Held>,
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

    /// The version of this state.
    #[must_use]
    pub fn version(&self) -> Version {
        self.version
    }

    /// The resource under `key`.
    #[must_use]
    pub fn get(&self, key: &Key) -> Option<&Held> {
        self.resources.get(key)
    }

    /// Every resource, ordered by key.
    pub fn iter(&self) -> impl Iterator<Item = (&Key, &Held)> {
        self.resources.iter()
    }

    /// Every resource of one kind, ordered by name.
    pub fn of_kind(&self, kind: Kind) -> impl Iterator<Item = &Held> {
        self.iter()
            .filter(move |(key, _)| key.kind == kind)
            .map(|(_, held)| held)
    }

    /// Fingerprint of the version and all that it holds.
    ///
    /// # Panics
    ///
    /// Never: encoding plain data into memory cannot fail.
    #[must_use]
    pub fn digest(&self) -> Digest {
        let bytes = rmp_serde::to_vec(self).expect("plain data always encodes");
        let mut hasher = blake3::Hasher::new();
        hasher.update(&bytes);
        Digest::of(&hasher)
    }

    /// The state after `delta`, or why it cannot follow this one. Digest and
    /// references are checked before anyone can see the result, so that a bad
    /// version is refused whole.
    ///
    /// # Errors
    ///
    /// Whatever [`ApplyError`] names; `self` is unchanged then.
    pub fn apply(&self, delta: &Delta) -> Result<Self, ApplyError> {
        if delta.version != self.version + 1 {
            return Err(ApplyError::OutOfOrder {
                held: self.version,
                offered: delta.version,
            });
        }
        let next = self.changed(delta.version, &delta.puts, &delta.deletes);
        next.checked(delta.digest)
    }

    /// This state, if it is the one that `expected` is the digest of, and whole.
    pub(crate) fn checked(self, expected: Digest) -> Result<Self, ApplyError> {
        let found = self.digest();
        if found != expected {
            return Err(ApplyError::DigestMismatch { expected, found });
        }
        self.check_references()?;
        Ok(self)
    }

    /// The delta that puts and deletes these resources on top of this state.
    #[must_use]
    pub fn delta(&self, puts: Vec<Resource>, deletes: Vec<Key>) -> Delta {
        let version = self.version + 1;
        let digest = self.changed(version, &puts, &deletes).digest();
        Delta {
            version,
            puts,
            deletes,
            digest,
        }
    }

    /// Checks that every reference points at a resource that this state holds.
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

    pub(crate) fn of(version: Version, items: Vec<Held>) -> Self {
        let keyed = items.into_iter().map(|held| (held.resource.key(), held));
        Self {
            version,
            resources: keyed.collect(),
        }
    }

    pub(crate) fn with(&self, version: Version, puts: &[Held], deletes: &[Key]) -> Self {
        let mut resources = self.resources.clone();
        for key in deletes {
            resources.remove(key);
        }
        for held in puts {
            resources.insert(held.resource.key(), held.clone());
        }
        Self { version, resources }
    }

    fn changed(&self, version: Version, puts: &[Resource], deletes: &[Key]) -> Self {
        let put = |resource: &Resource| Held {
            revision: version,
            resource: Arc::new(resource.clone()),
        };
        let puts: Vec<Held> = puts.iter().map(put).collect();
        self.with(version, &puts, deletes)
    }
}

/// Why a snapshot does not describe a state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SnapshotError {
    /// A resource stands there twice.
    DuplicateKey {
        /// The resource.
        key: Key,
    },
    /// A resource claims to have changed after the snapshot was taken.
    RevisionAhead {
        /// The resource.
        key: Key,
        /// The revision that it claims.
        revision: Revision,
    },
    /// The state's digest is not the one that the writer computed.
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
