//! The findings about requests that daemons exchange.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::GenerationHash;
use crate::fingerprint::Fingerprint;

/// A fact about a request that one daemon tells another. Times are sent as ages because the
/// clocks of two instances differ.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuarantineFinding {
    /// Target processes ended while they ran the request.
    #[serde(rename = "e")]
    Ended {
        /// The request.
        request: Fingerprint,
        /// All target generations that are known to have ended while they ran it.
        lives: Vec<GenerationHash>,
        /// Time since the last of them ended.
        ago: Duration,
    },
    /// A target answered the request.
    #[serde(rename = "a")]
    Answered {
        /// The request.
        request: Fingerprint,
        /// Time since the answer.
        ago: Duration,
    },
}

impl QuarantineFinding {
    /// Returns the request that the finding is about.
    #[must_use]
    pub fn request(&self) -> Fingerprint {
        match self {
            Self::Ended { request, .. } | Self::Answered { request, .. } => *request,
        }
    }
}

/// What a finding changed in a [`Quarantine`](super::Quarantine).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FindingEffect {
    /// The finding changed nothing.
    Nothing,
    /// Another crash was recorded for a suspected request.
    Suspicion,
    /// The request is refused from now on, for this long.
    Quarantined(Duration),
    /// The request is no longer suspected.
    Cleared {
        /// Whether the request was refused until now.
        was_quarantined: bool,
    },
}
