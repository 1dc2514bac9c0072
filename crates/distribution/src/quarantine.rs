//! Versions that were received and refused.

use std::fmt;

use stoatstep_membership::Time;
use stoatstep_resource::{ApplyError, Digest, Version};

/// Maximum number of refused versions that are kept. More than a few at a time mean that something
/// is wrong with this daemon, and the newest ones show what.
const MAX_QUARANTINED: usize = 16;

/// Why a version was refused.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum RefusalReason {
    /// It could not be applied.
    Apply(ApplyError),
    /// The platform's digest of this version differs.
    HeadMismatch {
        /// The platform's digest.
        expected: Digest,
        /// The digest of the version that was offered.
        found: Digest,
    },
    /// A peer holds the same version with another digest.
    Forked {
        /// The digest held here, shortened.
        held: u64,
        /// The peer's digest, shortened.
        theirs: u64,
    },
}

impl fmt::Display for RefusalReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Apply(err) => err.fmt(f),
            Self::HeadMismatch { expected, found } => {
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
pub struct QuarantinedVersion {
    /// The version.
    pub version: Version,
    /// The digest of the version, if it is known.
    pub digest: Option<Digest>,
    /// The reason of the refusal.
    pub reason: RefusalReason,
    /// The time of the first refusal.
    pub since: Time,
}

/// The refused versions that no newer version has replaced.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Quarantine {
    entries: Vec<QuarantinedVersion>,
}

impl Quarantine {
    pub(crate) fn add(&mut self, entry: QuarantinedVersion) {
        let is_known =
            |it: &QuarantinedVersion| it.version == entry.version && it.reason == entry.reason;
        if self.entries.iter().any(is_known) {
            return;
        }
        if self.entries.len() == MAX_QUARANTINED {
            self.entries.remove(0);
        }
        self.entries.push(entry);
    }

    /// Removes the entries up to this version, because a valid state of it is in force.
    pub(crate) fn release(&mut self, version: Version) {
        self.entries.retain(|it| it.version > version);
    }

    pub(crate) fn entries(&self) -> &[QuarantinedVersion] {
        &self.entries
    }
}
