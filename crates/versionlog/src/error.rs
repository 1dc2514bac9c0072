//! Errors in the contents of the log.

use std::fmt;

use smol_str::SmolStr;
use stoatstep_resource::{ApplyError, Version};

/// A row whose contents are malformed or don't match its key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RowError {
    /// Key of the row.
    pub key: SmolStr,
    /// What is wrong with it.
    pub reason: SmolStr,
}

impl fmt::Display for RowError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "row {}: {}", self.key, self.reason)
    }
}

impl std::error::Error for RowError {}

/// An inconsistency in the log as it was read. A process that meets one keeps the state that it
/// holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LogError {
    /// A row can't be decoded.
    Row(RowError),
    /// A version's row is missing although the log should hold it according to the head.
    Missing {
        /// The version.
        version: Version,
    },
    /// A version's delta can't be applied to the previous version.
    Apply {
        /// The version.
        version: Version,
        /// Why it can't be applied.
        error: ApplyError,
    },
    /// The head is older than a version that is already held: the platform lost data or was
    /// restored from an older copy. Following it would revert the configuration.
    Regressed {
        /// The version held.
        held: Version,
        /// The version in the head row.
        head: Version,
    },
    /// The state at the head's version doesn't have the digest in the head row.
    HeadDigest {
        /// The head's version.
        version: Version,
    },
    /// The answer has fewer rows or ranges than were requested.
    IncompleteAnswer,
}

impl From<RowError> for LogError {
    fn from(e: RowError) -> Self {
        Self::Row(e)
    }
}

impl fmt::Display for LogError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Row(e) => e.fmt(f),
            Self::Missing { version } => write!(f, "row of version {version} is missing"),
            Self::Apply { version, error } => write!(f, "version {version}: {error}"),
            Self::Regressed { held, head } => {
                write!(f, "the platform's head is version {head}, held is {held}")
            }
            Self::HeadDigest { version } => {
                write!(f, "version {version} has another digest than the head row")
            }
            Self::IncompleteAnswer => {
                f.write_str("the platform's answer has not the rows asked for")
            }
        }
    }
}

impl std::error::Error for LogError {}
