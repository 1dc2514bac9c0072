//! What changes from one version to the next.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::digest::Digest;
use crate::ids::Version;
use crate::key::Key;
use crate::types::Resource;

/// The change that leads from version `version - 1` to `version`.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Delta {
    /// The version that this delta leads to.
    pub version: Version,
    /// Resources that are new or replaced.
    pub puts: Vec<Resource>,
    /// Resources that are gone.
    pub deletes: Vec<Key>,
    /// Digest of the whole state after the change.
    pub digest: Digest,
}

/// Why a delta was not applied; the state stays as it was.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ApplyError {
    /// The delta does not follow the held version.
    OutOfOrder {
        /// The version held.
        held: Version,
        /// The version that the delta leads to.
        offered: Version,
    },
    /// The result's digest is not the one that the writer computed.
    DigestMismatch {
        /// The digest in the delta.
        expected: Digest,
        /// The digest of the result.
        found: Digest,
    },
    /// The result has a resource that points at one that it lacks.
    DanglingReference {
        /// The resource that points.
        from: Key,
        /// The resource that is missing.
        to: Key,
    },
}

impl fmt::Display for ApplyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::OutOfOrder { held, offered } => {
                write!(f, "version {offered} does not follow version {held}")
            }
            Self::DigestMismatch { expected, found } => {
                write!(f, "digest is {found}, the writer's is {expected}")
            }
            Self::DanglingReference { from, to } => {
                write!(f, "{from} points at {to}, which is missing")
            }
        }
    }
}

impl std::error::Error for ApplyError {}
