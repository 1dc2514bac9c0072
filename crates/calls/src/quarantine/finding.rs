//! What daemons tell each other about requests under which targets end.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::LifeMark;
use crate::fingerprint::Fingerprint;

/// What daemons tell each other about a request. Times are given as ages, as clocks of two
/// instances differ.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Finding {
    /// Targets ended while they ran it.
    #[serde(rename = "e")]
    Ended {
        /// The request.
        request: Fingerprint,
        /// Every life of a target that is known to have ended so.
        lives: Vec<LifeMark>,
        /// Time since the last of them did.
        ago: Duration,
    },
    /// A target answered it.
    #[serde(rename = "a")]
    Answered {
        /// The request.
        request: Fingerprint,
        /// Time since then.
        ago: Duration,
    },
}

impl Finding {
    /// The request that it is about.
    #[must_use]
    pub fn request(&self) -> Fingerprint {
        match self {
            Self::Ended { request, .. } | Self::Answered { request, .. } => *request,
        }
    }
}

/// What a finding changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Learned {
    /// Nothing.
    Nothing,
    /// A request is suspected for one more reason.
    Suspicion,
    /// A request is refused from now on, for this long.
    Held(Duration),
    /// A request is no longer suspected; it was refused until now if that is said.
    Cleared {
        /// It was refused.
        was_held: bool,
    },
}
