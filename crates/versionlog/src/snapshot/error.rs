//! Why a snapshot was not taken.

use std::fmt;
use std::time::Duration;

use smol_str::SmolStr;

use crate::error::LogError;

/// Why a snapshot was not taken. Nothing is lost by it: the log stays longer
/// until the next one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SnapshotError {
    /// The platform could not be used in time.
    Unavailable {
        /// When to come back.
        retry_after: Duration,
    },
    /// The platform refuses the request itself.
    Refused {
        /// What it objects to.
        reason: SmolStr,
    },
    /// The log can't be followed.
    Log(LogError),
}

impl fmt::Display for SnapshotError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unavailable { .. } => f.write_str("the platform is not available"),
            Self::Refused { reason } => write!(f, "the platform refuses a snapshot: {reason}"),
            Self::Log(e) => e.fmt(f),
        }
    }
}

impl std::error::Error for SnapshotError {}
