//! A large answer on its way over a link, and its log line.

use std::rc::Rc;
use std::time::Duration;

use smol_str::SmolStr;
use stoatstep_calls::{AttemptId, Band, Time};
use stoatstep_resource::RouteName;

use crate::clock::Clock;
use crate::journal::{AnswerEnd, AnswerSending, Journal};
use crate::wire::Attempt;

/// What an answer belongs to, and how it is sent.
#[derive(Clone, Debug)]
pub(super) struct AnswerLabel {
    pub(super) request: SmolStr,
    pub(super) attempt: AttemptId,
    pub(super) route: RouteName,
    pub(super) band: Band,
    /// When its entry stops waiting for it.
    pub(super) due: Time,
}

impl AnswerLabel {
    pub(super) fn new(attempt: &Attempt, band: Band, due: Time) -> Self {
        Self {
            request: attempt.call.request_id.clone(),
            attempt: attempt.id,
            route: attempt.call.route.clone(),
            band,
            due,
        }
    }
}

/// Guard of a large answer that is queued or being sent. Dropping it logs how far it was sent.
pub(super) struct Sending {
    journal: Rc<Journal>,
    clock: Clock,
    label: AnswerLabel,
    bytes: usize,
    ahead: Duration,
    queued_at: Time,
    begun_at: Option<Time>,
    sent: usize,
    end: AnswerEnd,
}

impl Sending {
    /// An answer of `bytes` bytes that is queued behind messages for which the link needs `ahead`.
    pub(super) fn new(
        journal: Rc<Journal>,
        clock: Clock,
        label: AnswerLabel,
        bytes: usize,
        ahead: Duration,
    ) -> Self {
        Self {
            journal,
            clock,
            label,
            bytes,
            ahead,
            queued_at: clock.now(),
            begun_at: None,
            sent: 0,
            end: AnswerEnd::LinkLost,
        }
    }

    /// Counts a chunk that was handed to the link.
    pub(super) fn record_chunk(&mut self, bytes: usize) {
        self.begun_at.get_or_insert(self.clock.now());
        self.sent += bytes;
        if self.sent >= self.bytes {
            self.end = AnswerEnd::Sent;
        }
    }

    /// Ends the sending, since nobody waits for the answer any more.
    pub(super) fn cancel(mut self) {
        self.end = AnswerEnd::Cancelled;
    }
}

impl Drop for Sending {
    fn drop(&mut self) {
        let now = self.clock.now();
        let begun_at = self.begun_at.unwrap_or(now);
        let sending = AnswerSending {
            request: &self.label.request,
            attempt: self.label.attempt,
            route: &self.label.route,
            band: self.label.band,
            bytes: self.bytes,
            sent: self.sent,
            ahead: self.ahead,
            waited: begun_at.saturating_sub(self.queued_at),
            took: now.saturating_sub(begun_at),
            end: self.end,
        };
        self.journal.answer_ended(&sending, now);
    }
}
