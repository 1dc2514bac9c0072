//! Errors of a write.

use std::fmt;
use std::time::Duration;

use smol_str::SmolStr;
use stoatstep_resource::{Finding, Key, Place, Revision, Version};

use crate::error::LogError;
use crate::recovery::RecoveryError;

/// A resource that is not at the revision that the operator expected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RevisionConflict {
    /// The resource.
    pub key: Key,
    /// The expected revision, or 0 if the resource was expected to be absent.
    pub expected: Revision,
    /// The revision that the competing change produced, or 0 if the resource is absent.
    pub found: Revision,
}

impl RevisionConflict {
    /// Describes the conflict as a finding.
    #[must_use]
    pub fn finding(&self) -> Finding {
        let revision = |revision: Revision| match revision {
            0 => "absent".to_owned(),
            revision => format!("at revision {revision}"),
        };
        let found = revision(self.found);
        let expected = revision(self.expected);
        let message = format!("is {found}, expected {expected}");
        Finding::new(Place::resource(self.key.clone()), message)
    }
}

/// Why a change was not written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteError {
    /// Another change to the same resources was committed first.
    Conflict(Vec<RevisionConflict>),
    /// The state that would result is not valid.
    Invalid(Vec<Finding>),
    /// The operation id was already used for another change.
    OperationReused {
        /// The version that the other change produced.
        version: Version,
    },
    /// The platform did not carry out the requests before the timeout. The change did not take
    /// effect and will not.
    Unavailable {
        /// When to come back.
        retry_after: Duration,
    },
    /// The change may have taken effect or may still do so. Sending the same request with the same
    /// operation id is safe and finds out.
    Unsettled {
        /// When to come back.
        retry_after: Duration,
    },
    /// The platform rejects this change, so that a retry is of no use.
    Refused {
        /// The platform's reason.
        reason: SmolStr,
    },
    /// The log is inconsistent or malformed; the change was not sent.
    Log(LogError),
    /// The newest state could not be fetched; the change was not sent.
    Recovery(RecoveryError),
}

impl WriteError {
    /// All findings to show to the operator.
    #[must_use]
    pub fn findings(&self) -> Vec<Finding> {
        match self {
            Self::Conflict(conflicts) => conflicts.iter().map(RevisionConflict::finding).collect(),
            Self::Invalid(findings) => findings.clone(),
            other => vec![Finding::new(Place::default(), other.to_string())],
        }
    }

    /// Time after which to retry, or `None` if a retry would not help.
    #[must_use]
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::Unavailable { retry_after } | Self::Unsettled { retry_after } => {
                Some(*retry_after)
            }
            Self::Recovery(e) => e.retry_after(),
            Self::Conflict(_)
            | Self::Invalid(_)
            | Self::OperationReused { .. }
            | Self::Refused { .. }
            | Self::Log(_) => None,
        }
    }
}

impl fmt::Display for WriteError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Conflict(conflicts) => {
                write!(f, "{} resources were changed since", conflicts.len())
            }
            Self::Invalid(findings) => {
                write!(f, "the result would have {} findings", findings.len())
            }
            Self::OperationReused { version } => {
                write!(
                    f,
                    "the operation id belongs to another change, version {version}"
                )
            }
            Self::Unavailable { .. } => f.write_str("the platform is not available"),
            Self::Unsettled { .. } => f.write_str(
                "the change may have taken effect; send it again with the same operation id",
            ),
            Self::Refused { reason } => write!(f, "the platform refuses the change: {reason}"),
            Self::Log(e) => e.fmt(f),
            Self::Recovery(e) => e.fmt(f),
        }
    }
}

impl std::error::Error for WriteError {}
