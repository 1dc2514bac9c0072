//! Deltas, differences and snapshots as daemons exchange them and the platform stores them.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::packed::{PackedKey, PackedResource};
use crate::delta::Delta;
use crate::difference::Difference;
use crate::digest::Digest;
use crate::ids::{Revision, Version};
use crate::key::Key;
use crate::state::{SnapshotError, State, VersionedResource};
use crate::types::Resource;

/// Serialized form of a [`Delta`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeltaWire {
    version: Version,
    puts: Vec<PackedResource>,
    deletes: Vec<PackedKey>,
    digest: Digest,
}

impl From<&Delta> for DeltaWire {
    fn from(delta: &Delta) -> Self {
        Self {
            version: delta.version,
            puts: delta.puts.iter().map(PackedResource::from).collect(),
            deletes: delta.deletes.iter().map(PackedKey::from).collect(),
            digest: delta.digest,
        }
    }
}

impl From<DeltaWire> for Delta {
    fn from(wire: DeltaWire) -> Self {
        Self {
            version: wire.version,
            puts: wire.puts.into_iter().map(Resource::from).collect(),
            deletes: wire.deletes.into_iter().map(Key::from).collect(),
            digest: wire.digest,
        }
    }
}

/// Serialized form of a [`State`]. Keys are omitted, since each follows from its resource.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotWire {
    version: Version,
    items: Vec<(Revision, PackedResource)>,
    digest: Digest,
}

impl From<&State> for SnapshotWire {
    fn from(state: &State) -> Self {
        let items = state.iter().map(|(_, held)| held);
        Self {
            version: state.version(),
            items: items
                .map(|held| (held.revision, PackedResource::from(&*held.resource)))
                .collect(),
            digest: state.digest(),
        }
    }
}

impl TryFrom<SnapshotWire> for State {
    type Error = SnapshotError;

    fn try_from(wire: SnapshotWire) -> Result<Self, SnapshotError> {
        let items = wire.items.into_iter();
        let items = items.map(|(revision, packed)| VersionedResource {
            revision,
            resource: Arc::new(packed.into()),
        });
        let state = Self::from_snapshot(wire.version, items)?;
        let found = state.digest();
        if found != wire.digest {
            return Err(SnapshotError::DigestMismatch {
                expected: wire.digest,
                found,
            });
        }
        Ok(state)
    }
}

/// Serialized form of a [`Difference`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DifferenceWire {
    version: Version,
    puts: Vec<(Revision, PackedResource)>,
    deletes: Vec<PackedKey>,
    digest: Digest,
}

impl From<&Difference> for DifferenceWire {
    fn from(difference: &Difference) -> Self {
        let puts = difference.puts.iter();
        Self {
            version: difference.version,
            puts: puts
                .map(|held| (held.revision, PackedResource::from(&*held.resource)))
                .collect(),
            deletes: difference.deletes.iter().map(PackedKey::from).collect(),
            digest: difference.digest,
        }
    }
}

impl From<DifferenceWire> for Difference {
    fn from(wire: DifferenceWire) -> Self {
        let puts = wire.puts.into_iter();
        Self {
            version: wire.version,
            puts: puts
                .map(|(revision, packed)| VersionedResource {
                    revision,
                    resource: Arc::new(packed.into()),
                })
                .collect(),
            deletes: wire.deletes.into_iter().map(Key::from).collect(),
            digest: wire.digest,
        }
    }
}
