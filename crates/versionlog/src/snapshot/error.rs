//! Errors of a snapshot.

use std::fmt;
use std::time::Duration;

use smol_str::SmolStr;

use crate::error::LogError;

/// Why a snapshot was not taken. A failed snapshot loses no data; the log stays longer until the
/// next one succeeds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SnapshotError {
    /// The platform did not carry out the requests before the timeout.
    Unavailable {
        /// Time after which to retry.
        retry_after: Duration,
    },
    /// The platform rejects the request, so that a retry is of no use.
    Refused {
        /// The platform's reason.
        reason: SmolStr,
    },
    /// The log is inconsistent or malformed.
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
