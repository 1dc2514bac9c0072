//! Lines about answers on their way, and about calls that have none when their caller leaves or
//! their daemon exits.

use std::time::Duration;

use stoatstep_calls::{AttemptId, Band, Time};
use stoatstep_telemetry::fields;

use super::{Journal, micros, millis};
use crate::wire::CallParts;

/// How the sending of an answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AnswerEnd {
    /// All of it was handed to the link.
    Sent,
    /// Its entry did not wait for it any more.
    Cancelled,
    /// Its link was lost, or this daemon exited.
    LinkLost,
}

impl AnswerEnd {
    fn as_str(self) -> &'static str {
        match self {
            Self::Sent => "sent",
            Self::Cancelled => "cancelled",
            Self::LinkLost => "link-lost",
        }
    }
}

/// Details of a large answer that was sent over a link, or not to its end.
pub(crate) struct AnswerSending<'a> {
    pub(crate) request: &'a str,
    pub(crate) attempt: AttemptId,
    pub(crate) route: &'a str,
    pub(crate) band: Band,
    pub(crate) bytes: usize,
    pub(crate) sent: usize,
    /// Time that the link needed for what went first when the answer was queued.
    pub(crate) ahead: Duration,
    /// Time until its first chunk was sent, or until it was given up without one.
    pub(crate) waited: Duration,
    /// Time from its first chunk on.
    pub(crate) took: Duration,
    pub(crate) end: AnswerEnd,
}

/// Details of a call that was not answered before its daemon exited or its caller left.
pub(crate) struct CallOpen<'a> {
    pub(crate) call: &'a CallParts,
    /// How far it got.
    pub(crate) stage: &'static str,
    /// The target of its present attempt; empty if it has none.
    pub(crate) upstream: &'a str,
    pub(crate) attempt: AttemptId,
    /// Bytes of its answer that have arrived.
    pub(crate) received: usize,
    pub(crate) waited: Duration,
    /// Time left to its deadline.
    pub(crate) left: Duration,
}

impl Journal {
    /// Logs a call whose caller did not wait for its end.
    pub(crate) fn caller_left(&self, open: &CallOpen<'_>, now: Time) {
        self.count("calls.left");
        self.call_not_ended("left", "caller left", open, now);
    }

    /// Logs a call that is open when this daemon exits.
    pub(crate) fn call_cut_off(&self, open: &CallOpen<'_>, now: Time) {
        self.count("calls.cut_off");
        self.call_not_ended("cut-off", "call cut off", open, now);
    }

    fn call_not_ended(
        &self,
        kind: &'static str,
        msg: &'static str,
        open: &CallOpen<'_>,
        now: Time,
    ) {
        let Some(left_out) = self.admits(kind, now) else {
            return;
        };
        slog::info!(self.log, "{}", msg;
            fields::REQUEST => %open.call.request_id, fields::ROUTE => %open.call.route,
            fields::SERVICE => %open.call.service, fields::STAGE => open.stage,
            fields::UPSTREAM => open.upstream, fields::ATTEMPT => format!("{:032x}", open.attempt),
            fields::RECEIVED_BYTES => open.received, fields::TOTAL_US => micros(open.waited),
            fields::DEADLINE_MS => millis(open.left), fields::LEFT_OUT => left_out);
    }

    /// Logs the end of the sending of a large answer.
    pub(crate) fn answer_ended(&self, sending: &AnswerSending<'_>, now: Time) {
        let end = sending.end.as_str();
        let band = match sending.band {
            Band::InTime => "in-time",
            Band::Late => "late",
        };
        let tags = [("end", end), ("band", band)];
        self.metrics.count_with_tags("answers", 1, &tags);
        let Some(left_out) = self.admits("answer", now) else {
            return;
        };
        slog::info!(self.log, "large answer ended";
            fields::REQUEST => sending.request, fields::ATTEMPT => format!("{:032x}", sending.attempt),
            fields::ROUTE => sending.route, fields::END => end, fields::BAND => band,
            fields::BYTES => sending.bytes, fields::SENT_BYTES => sending.sent,
            fields::AHEAD_US => micros(sending.ahead), fields::WAIT_US => micros(sending.waited),
            fields::SENDING_US => micros(sending.took), fields::LEFT_OUT => left_out);
    }
}
