//! The change from one version of the configuration to the next.

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
    /// Resources that are created or replaced.
    pub puts: Vec<Resource>,
    /// Keys of the resources that are deleted.
    pub deletes: Vec<Key>,
    /// Digest of the whole state after the change, as the writer computed it.
    pub digest: Digest,
}

/// Why a [`Delta`] or a [`Difference`](crate::Difference) was not applied. The state that it was
/// offered to is unchanged.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ApplyError {
    /// The offered version does not follow the held version.
    OutOfOrder {
        /// Version of the current state.
        held: Version,
        /// Version that the change leads to.
        offered: Version,
    },
    /// The digest of the result differs from the one that the writer computed.
    DigestMismatch {
        /// The digest that the writer computed.
        expected: Digest,
        /// The digest of the result.
        found: Digest,
    },
    /// A resource of the result refers to one that does not exist in it.
    DanglingReference {
        /// The resource that holds the reference.
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
