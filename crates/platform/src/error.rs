//! Errors of requests to the platform.

use std::fmt;
use std::time::Duration;

use smol_str::SmolStr;

/// Error of a request to the platform. The variants differ in what the caller may do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlatformError {
    /// The request was not executed and never will be, since it was not sent or the platform
    /// refused it. A retry is safe.
    Unavailable {
        /// Cause of the failure.
        reason: SmolStr,
        /// Time after which to retry, if the platform stated one.
        retry_after: Option<Duration>,
    },
    /// The request was not executed, since this client or the whole service is over its limit.
    Throttled {
        /// Time after which to retry.
        retry_after: Duration,
    },
    /// The request may have been sent, but no answer arrived. A write may have taken effect, or may
    /// still take effect later.
    Unknown {
        /// Cause of the failure.
        reason: SmolStr,
    },
    /// The answer was invalid. Whether a write took effect is not known.
    BadAnswer {
        /// What is wrong with the answer.
        reason: SmolStr,
    },
    /// The request was refused as malformed or too large. It was not executed, and a retry without
    /// a change would fail again.
    Refused {
        /// What is wrong with the request.
        reason: SmolStr,
    },
    /// There is no object with the requested name.
    NotFound,
}

impl PlatformError {
    /// Returns whether a write that ended with this error certainly did not and will not take
    /// effect.
    #[must_use]
    pub fn is_not_done(&self) -> bool {
        match self {
            Self::Unavailable { .. }
            | Self::Throttled { .. }
            | Self::Refused { .. }
            | Self::NotFound => true,
            Self::Unknown { .. } | Self::BadAnswer { .. } => false,
        }
    }

    /// Returns the time after which the platform asked to retry.
    #[must_use]
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::Unavailable { retry_after, .. } => *retry_after,
            Self::Throttled { retry_after } => Some(*retry_after),
            Self::Unknown { .. }
            | Self::BadAnswer { .. }
            | Self::Refused { .. }
            | Self::NotFound => None,
        }
    }
}

impl fmt::Display for PlatformError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unavailable { reason, .. } => write!(f, "platform unavailable: {reason}"),
            Self::Throttled { retry_after } => {
                let ms = retry_after.as_millis();
                write!(f, "platform over its limit, come back in {ms} ms")
            }
            Self::Unknown { reason } => write!(f, "no answer from the platform: {reason}"),
            Self::BadAnswer { reason } => write!(f, "bad answer from the platform: {reason}"),
            Self::Refused { reason } => write!(f, "platform refused the request: {reason}"),
            Self::NotFound => f.write_str("no such object"),
        }
    }
}

impl std::error::Error for PlatformError {}
