//! What can be wrong with the log itself.

use std::fmt;

use smol_str::SmolStr;
use stoatstep_resource::{ApplyError, Version};

/// A row that does not hold what its key promises.
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

/// Why the log as read can't be followed. Whoever meets one keeps the state
/// that it has.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LogError {
    /// A row can't be understood.
    Row(RowError),
    /// A version's row is missing although the head says that it is kept.
    Missing {
        /// The version.
        version: Version,
    },
    /// A version's delta can't be applied to the version before.
    Apply {
        /// The version.
        version: Version,
        /// Why.
        error: ApplyError,
    },
    /// The head is behind a version that is already held: the platform lost
    /// data, or was put back to an older copy. Following it would move
    /// configuration back.
    Regressed {
        /// The version held.
        held: Version,
        /// The version in the head row.
        head: Version,
    },
    /// The state at the head's version has another digest than the head says.
    HeadDigest {
        /// The head's version.
        version: Version,
    },
    /// The answer has not as many rows as were asked for.
    Shape,
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
            Self::Shape => f.write_str("the platform's answer has not the rows asked for"),
        }
    }
}

impl std::error::Error for LogError {}
