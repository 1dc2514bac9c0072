//! What outlasts the daemons.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{Finding, LifeMark, Quarantine, Record, hold};
use crate::fingerprint::Fingerprint;
use crate::ids::{Time, Wall};

/// A refused request, as it is kept where it outlasts every daemon.
///
/// Daemons teach those that start; where all end at once, nobody is left to do so, and the
/// request would take as many targets once more.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeptRequest {
    /// The request.
    pub request: Fingerprint,
    /// Lives of targets that ended while they ran it.
    pub lives: Vec<LifeMark>,
    /// When the last of them did, by the calendar clock of whoever wrote it.
    pub ended: Wall,
}

impl KeptRequest {
    /// What it says now.
    #[must_use]
    pub fn finding(&self, now: Wall) -> Finding {
        Finding::Ended {
            request: self.request,
            lives: self.lives.clone(),
            ago: now.saturating_sub(self.ended),
        }
    }

    /// Whether nothing follows from it any more, so that it can be deleted.
    #[must_use]
    pub fn is_over(&self, now: Wall, needed: usize) -> bool {
        let held = hold(self.lives.len(), needed).unwrap_or(Duration::ZERO);
        now > self.ended + held * 2
    }
}

impl Quarantine {
    /// What is to be kept of a request, where it is refused.
    #[must_use]
    pub fn kept(&self, request: Fingerprint, now: Time, wall: Wall) -> Option<KeptRequest> {
        self.holds(request, now)?;
        let Some(Record::Suspected(known)) = self.records.get(&request) else {
            return None;
        };
        Some(KeptRequest {
            request,
            lives: known.lives.clone(),
            ended: wall.saturating_sub(known.since(now)),
        })
    }
}
