//! Versions that arrived and were refused.

use std::fmt;

use stoatstep_membership::Time;
use stoatstep_resource::{ApplyError, Digest, Version};

/// Refused versions that are remembered. More than a few at a time means that
/// something is wrong with this daemon, and the newest say what.
const MAX_QUARANTINED: usize = 16;

/// Why a version was refused.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Reason {
    /// It could not be applied.
    Apply(ApplyError),
    /// The platform states another digest for this version.
    NotTheHead {
        /// The digest that the platform states.
        expected: Digest,
        /// The digest of what was offered.
        found: Digest,
    },
    /// A peer holds the same version with another digest.
    Forked {
        /// Digest held here, shortened.
        held: u64,
        /// Digest that the peer holds, shortened.
        theirs: u64,
    },
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Apply(err) => err.fmt(f),
            Self::NotTheHead { expected, found } => {
                write!(f, "digest is {found}, the platform's is {expected}")
            }
            Self::Forked { held, theirs } => {
                write!(
                    f,
                    "a peer holds digest {theirs:016x}, held here is {held:016x}"
                )
            }
        }
    }
}

/// A refused version.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Quarantined {
    /// The version.
    pub version: Version,
    /// Its digest, as far as it was stated.
    pub digest: Option<Digest>,
    /// Why it was refused.
    pub reason: Reason,
    /// When it was first refused.
    pub since: Time,
}

/// All refused versions that nothing newer has replaced.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Quarantine {
    rows: Vec<Quarantined>,
}

impl Quarantine {
    pub(crate) fn add(&mut self, row: Quarantined) {
        let is_known = |it: &Quarantined| it.version == row.version && it.reason == row.reason;
        if self.rows.iter().any(is_known) {
            return;
        }
        if self.rows.len() == MAX_QUARANTINED {
            self.rows.remove(0);
        }
        self.rows.push(row);
    }

    /// A good state of this version is in force: what was wrong before is over.
    pub(crate) fn release(&mut self, version: Version) {
        self.rows.retain(|it| it.version > version);
    }

    pub(crate) fn rows(&self) -> &[Quarantined] {
        &self.rows
    }
}
