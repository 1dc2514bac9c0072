//! Log lines and metrics about calls, with limits on their rate.
//!
//! Every call has one line at its entry: where it was placed, how it ended and how long each stage
//! took. Failures on the way have lines of their own. The keys are listed in `docs/OPERATIONS.md`;
//! a key means the same in every line.

mod unanswered;

use std::cell::RefCell;
use std::time::Duration;

use slog::Logger;
use smol_str::SmolStr;
use stoatstep_calls::{AttemptId, Outcome, Reason, Time};
use stoatstep_telemetry::{Histograms, LogDecision, LogRateLimit, Metrics, Stage, fields};

use crate::link::{Cause, Place};
use crate::wire::{CallParts, End};
pub(crate) use unanswered::{AnswerEnd, AnswerSending, CallOpen};

/// Lines per second about successful calls. Enough for every call of an ordinary day; under heavy
/// load the rest is only counted.
const SUCCESS_LINES: u32 = 200;

/// Lines per second for each kind of refusal, unknown outcome or late answer. A later diagnosis
/// needs these lines most.
const FAILURE_LINES: u32 = 200;

/// Window in which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Routes with their own histograms; the others share one.
const MAX_ROUTES: usize = 64;

/// Time spent in the stages of a call.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Times {
    /// From the caller's request to its answer.
    pub(crate) total: Duration,
    /// In the executor's queue, over all attempts.
    pub(crate) queue: Duration,
    /// At targets, over all attempts.
    pub(crate) target: Duration,
}

/// Details of an ended call, for its log line.
pub(crate) struct CallEnded<'a> {
    pub(crate) call: &'a CallParts,
    pub(crate) end: &'a End,
    /// Version of the configuration by which it was routed.
    pub(crate) version: u64,
    /// Timeout that the caller set.
    pub(crate) given: Duration,
    /// Time within which the answer has its full value.
    pub(crate) objective: Duration,
    pub(crate) times: Times,
    pub(crate) attempts: usize,
    /// The target of the last attempt, and whether it is in another zone.
    pub(crate) placed: Option<(SmolStr, bool)>,
}

/// Details of an attempt without an answer, at its entry.
pub(crate) struct AttemptFailed<'a> {
    pub(crate) call: &'a CallParts,
    pub(crate) attempt: AttemptId,
    pub(crate) upstream: &'a str,
    pub(crate) reason: Reason,
    pub(crate) arrived: bool,
    pub(crate) took: Duration,
}

/// Details of a run without an answer, at its executor.
pub(crate) struct RunFailed<'a> {
    pub(crate) call: &'a CallParts,
    pub(crate) attempt: AttemptId,
    pub(crate) upstream: &'a str,
    pub(crate) reason: Reason,
    /// Why the answer was lost; empty if it was not.
    pub(crate) cause: &'static str,
    pub(crate) arrived: bool,
    pub(crate) times: Times,
    pub(crate) running: u32,
    pub(crate) queued: u32,
}

/// Rate-limited log lines, counters and histograms of one daemon.
pub(crate) struct Journal {
    log: Logger,
    lines: RefCell<LogRateLimit>,
    metrics: Metrics,
    histograms: RefCell<Histograms>,
}

impl Journal {
    pub(crate) fn new(log: Logger) -> Self {
        Self {
            log,
            lines: RefCell::new(LogRateLimit::new(SUCCESS_LINES.max(FAILURE_LINES), WINDOW)),
            metrics: Metrics::new(),
            histograms: RefCell::new(Histograms::new(MAX_ROUTES)),
        }
    }

    /// All counters, gauges and histograms as text lines.
    pub(crate) fn metrics_text(&self) -> String {
        let histograms = self.histograms.borrow();
        let mut text = self.metrics.render();
        text.push_str(&histograms.render("stoatstep_call_us", "route"));
        text
    }

    pub(crate) fn gauge(&self, name: &str, value: u64) {
        self.metrics.gauge(name, value);
    }

    /// Adds bytes that were sent over links.
    pub(crate) fn count_link_bytes(&self, cause: &Cause, place: Place, bytes: u64) {
        let bytes = i64::try_from(bytes).unwrap_or(i64::MAX);
        let mut tags = vec![("cause", cause.name()), ("place", place.name())];
        if let Some(route) = cause.route() {
            tags.push(("route", route));
        }
        self.metrics.count_with_tags("link_bytes", bytes, &tags);
    }

    /// Sets a part of the room of this daemon's zone, rounded to whole slots or bytes a second.
    pub(crate) fn gauge_zone_room(&self, service: &str, what: &str, value: f64) {
        let value = Duration::try_from_secs_f64(value)
            .unwrap_or_default()
            .as_secs();
        let tags = [("service", service), ("what", what)];
        self.metrics.gauge_with_tags("zone.room", value, &tags);
    }

    pub(crate) fn count(&self, name: &str) {
        self.metrics.count(name, 1);
    }

    /// Number of lines of this kind that were suppressed before this one, or `None` if this line is
    /// to be suppressed too.
    pub(crate) fn admits(&self, kind: &'static str, now: Time) -> Option<u64> {
        match self.lines.borrow_mut().admit(kind, now) {
            LogDecision::Log { suppressed } => Some(suppressed),
            LogDecision::Suppress => None,
        }
    }

    /// Logs the end of a call, whatever its outcome.
    pub(crate) fn call_ended(&self, ended: &CallEnded<'_>, now: Time) {
        self.record_times(ended);
        let is_late = ended.times.total > ended.objective;
        let kind = match ended.end {
            End::Answered(answer) if answer.is_failure() => "failed",
            End::Answered(_) if is_late => "late",
            End::Answered(_) => "answered",
            End::Refused(refusal) => refusal.reason.as_str(),
        };
        self.metrics.count(&format!("calls.{kind}"), 1);
        let Some(left_out) = self.admits(kind, now) else {
            return;
        };
        let (outcome, status, reason) = describe_end(ended.end);
        let bytes = match ended.end {
            End::Answered(answer) => answer.body.len(),
            End::Refused(_) => 0,
        };
        let (upstream, spilled) = match &ended.placed {
            Some((upstream, spilled)) => (upstream.as_str(), *spilled),
            None => ("", false),
        };
        slog::info!(self.log, "call ended";
            fields::REQUEST => %ended.call.request_id, fields::ROUTE => %ended.call.route,
            fields::SERVICE => %ended.call.service, fields::VERSION => ended.version,
            fields::CUSTOMER => ended.call.identity.as_ref().map_or("", |it| it.customer.as_str()),
            fields::OUTCOME => outcome, fields::STATUS => status, fields::REASON => reason, fields::LATE => is_late,
            fields::UPSTREAM => upstream, fields::OTHER_ZONE => spilled, fields::ATTEMPTS => ended.attempts,
            fields::TOTAL_US => micros(ended.times.total), fields::QUEUE_US => micros(ended.times.queue),
            fields::TARGET_US => micros(ended.times.target), fields::GIVEN_MS => millis(ended.given),
            fields::OBJECTIVE_MS => millis(ended.objective), fields::BYTES => bytes, fields::LEFT_OUT => left_out);
    }

    /// Logs an attempt without an answer.
    pub(crate) fn attempt_failed(&self, failed: &AttemptFailed<'_>, now: Time) {
        self.count("attempts.failed");
        if let Some(left_out) = self.admits("attempt", now) {
            slog::info!(self.log, "attempt failed";
                fields::REQUEST => %failed.call.request_id, fields::ATTEMPT => format!("{:032x}", failed.attempt),
                fields::UPSTREAM => failed.upstream, fields::REASON => failed.reason.as_str(),
                fields::ARRIVED => failed.arrived, fields::TOOK_US => micros(failed.took),
                fields::LEFT_OUT => left_out);
        }
    }

    /// Logs a run without an answer.
    pub(crate) fn run_failed(&self, failed: &RunFailed<'_>, now: Time) {
        self.count("runs.failed");
        if let Some(left_out) = self.admits("run", now) {
            slog::info!(self.log, "run failed";
                fields::REQUEST => %failed.call.request_id, fields::ATTEMPT => format!("{:032x}", failed.attempt),
                fields::UPSTREAM => failed.upstream, fields::REASON => failed.reason.as_str(), fields::CAUSE => failed.cause,
                fields::ARRIVED => failed.arrived, fields::QUEUE_US => micros(failed.times.queue),
                fields::TARGET_US => micros(failed.times.target), fields::RUNNING => failed.running,
                fields::QUEUED => failed.queued, fields::CONTENT => %failed.call.fingerprint(),
                fields::LEFT_OUT => left_out);
        }
    }

    fn record_times(&self, ended: &CallEnded<'_>) {
        let class = if ended.call.idempotent {
            "idempotent"
        } else {
            "at-most-once"
        };
        let times = &ended.times;
        let daemon = times.total.saturating_sub(times.queue + times.target);
        let stages = [
            (Stage::Total, times.total),
            (Stage::Daemon, daemon),
            (Stage::Queue, times.queue),
            (Stage::Target, times.target),
        ];
        let mut histograms = self.histograms.borrow_mut();
        for (stage, time) in stages {
            histograms.record(&ended.call.route, class, stage, time);
        }
    }
}

fn describe_end(end: &End) -> (&'static str, u16, &'static str) {
    match end {
        End::Answered(answer) => (Outcome::Answered.as_str(), answer.status, ""),
        End::Refused(refusal) => (refusal.outcome().as_str(), 0, refusal.reason.as_str()),
    }
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
