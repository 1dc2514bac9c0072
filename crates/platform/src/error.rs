//! Why the platform gave no answer.

use std::fmt;
use std::time::Duration;

use smol_str::SmolStr;

/// Why the platform gave no answer, told apart by what the caller may do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlatformError {
    /// The request was certainly not carried out and never will be: it was not
    /// sent, or the platform refused it. Trying again is safe.
    Unavailable {
        /// What stood in the way.
        reason: SmolStr,
        /// When the platform asked to come back, where it said so.
        retry_after: Option<Duration>,
    },
    /// The request was certainly not carried out, since this client or the
    /// whole service is over its limit.
    Throttled {
        /// When to come back.
        retry_after: Duration,
    },
    /// No answer came after the request may have been sent: a write may have
    /// taken effect, and may even take effect later.
    Unknown {
        /// What went wrong.
        reason: SmolStr,
    },
    /// An answer came that makes no sense. Nothing is known about a write.
    BadAnswer {
        /// What was wrong with it.
        reason: SmolStr,
    },
    /// The platform refused the request itself as malformed or too large; it
    /// was not carried out, and trying again without a change is futile.
    Refused {
        /// What the platform objects to.
        reason: SmolStr,
    },
    /// There is no such object.
    NotFound,
}

impl PlatformError {
    /// Whether a write that ended with this error certainly did not and will
    /// not take effect.
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

    /// When the platform asked to come back.
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
