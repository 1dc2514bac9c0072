//! Order of the calls in the queue, and whether they are worth a place in it.

use std::time::Duration;

use super::{Queue, QueueRequest};
use crate::customer_usage::UsageLevel;
use crate::ids::Time;
use crate::late_band::Band;

/// Share of the time to its objective that a call may spend waiting. Run times
/// vary by more than their mean: at a third, a call whose run takes twice its
/// mean still meets an objective of three times the mean.
const MAX_WAIT_SHARE: f64 = 0.3;

/// Position in the queue: rank, band, what the customer was served, admitted share of the kind,
/// and deadline. The smallest goes first.
pub(super) type Position = (u8, Band, UsageLevel, u8, Time);

impl Queue {
    pub(super) fn position(&self, request: &QueueRequest, band: Band, now: Time) -> Position {
        let is_late = now + self.service(&request.kind) > request.objective;
        let band = if is_late { Band::Late } else { band };
        let share = self.kinds.share(&request.kind);
        (request.rank, band, request.usage, share, request.expires)
    }

    pub(super) fn next_index(&self, now: Time) -> Option<usize> {
        let indexed = self.waiting.iter().enumerate();
        let first = indexed.min_by_key(|(_, it)| self.position(&it.request, it.band, now));
        first.map(|(index, _)| index)
    }

    /// Whether a call should be queued if it has to wait for `wait`. A call whose
    /// objective has passed only has to meet its deadline.
    pub(super) fn is_worth_queueing(
        &self,
        request: &QueueRequest,
        wait: Duration,
        now: Time,
    ) -> bool {
        let done = now + wait + self.service(&request.kind);
        if now >= request.objective {
            return done < request.expires;
        }
        let room = request
            .objective
            .saturating_sub(now)
            .mul_f64(MAX_WAIT_SHARE);
        done < request.expires && wait <= room
    }
}
