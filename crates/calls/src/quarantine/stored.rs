//! Quarantined requests as they are stored outside the daemons.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{GenerationHash, Quarantine, QuarantineFinding, Record, quarantine_time};
use crate::fingerprint::Fingerprint;
use crate::ids::{Time, WallTime};

/// A refused request as it is stored outside the daemons.
///
/// A daemon that starts learns from its peers which requests are refused. If all daemons
/// end at once, no peer is left to tell it, and without the stored record the request would
/// crash as many targets again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantinedRequest {
    /// The request.
    pub request: Fingerprint,
    /// Target generations that ended while they ran it.
    pub lives: Vec<GenerationHash>,
    /// When the last of them ended, by the calendar clock of the daemon that stored this.
    pub ended: WallTime,
}

impl QuarantinedRequest {
    /// Returns the record as a finding at the time `now`.
    #[must_use]
    pub fn finding(&self, now: WallTime) -> QuarantineFinding {
        QuarantineFinding::Ended {
            request: self.request,
            lives: self.lives.clone(),
            ago: now.saturating_sub(self.ended),
        }
    }

    /// Returns whether the record has no effect any more and can be deleted.
    #[must_use]
    pub fn is_expired(&self, now: WallTime, threshold: usize) -> bool {
        let quarantined_for =
            quarantine_time(self.lives.len(), threshold).unwrap_or(Duration::ZERO);
        now > self.ended + quarantined_for * 2
    }
}

impl Quarantine {
    /// Returns the record to store for a request, or `None` if the request is not refused.
    #[must_use]
    pub fn stored(
        &self,
        request: Fingerprint,
        now: Time,
        wall: WallTime,
    ) -> Option<QuarantinedRequest> {
        self.refused_for(request, now)?;
        let Some(Record::Suspected(known)) = self.records.get(&request) else {
            return None;
        };
        Some(QuarantinedRequest {
            request,
            lives: known.crashed.clone(),
            ended: wall.saturating_sub(known.time_since_crash(now)),
        })
    }
}
