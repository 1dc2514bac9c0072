//! What the daemon says about single calls, and how often.
//!
//! Every call has one line at its entry: where it was placed, how it ended and
//! where its time went. What went wrong on the way has lines of its own. The keys
//! are listed in `docs/OPERATIONS.md`; one key means the same in every line.

use std::cell::RefCell;
use std::time::Duration;

use slog::Logger;
use smol_str::SmolStr;
use stoatstep_calls::{AttemptId, Outcome, Reason, Time};
use stoatstep_telemetry::{Admission, Histograms, Metrics, RateLimit, Stage, fields};

use crate::wire::{CallParts, End};

/// Lines a second about calls that went well. Enough for every call of an
/// ordinary day; under a flood the rest is counted.
const ORDINARY: u32 = 200;

/// Lines a second about each kind of refusal, unknown outcome or late answer.
/// They are looked for afterwards, so they are kept longest.
const EXCEPTIONAL: u32 = 200;

/// Window in which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Routes with histograms of their own; the others share one.
const MAX_ROUTES: usize = 64;

/// Where the time of a call went.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Times {
    /// From the caller's request to its answer.
    pub(crate) total: Duration,
    /// In the executor's queue, over all attempts.
    pub(crate) queue: Duration,
    /// At targets, over all attempts.
    pub(crate) target: Duration,
}

/// How a call ended, for its line.
pub(crate) struct CallEnded<'a> {
    pub(crate) call: &'a CallParts,
    pub(crate) end: &'a End,
    /// Configuration that it was routed by.
    pub(crate) version: u64,
    /// Time that its caller gave it.
    pub(crate) given: Duration,
    /// Time within which its answer is worth its full price.
    pub(crate) objective: Duration,
    pub(crate) times: Times,
    pub(crate) attempts: usize,
    /// The target that was tried last, and whether it is of another zone.
    pub(crate) placed: Option<(SmolStr, bool)>,
}

/// One attempt that did not bring an answer, at its entry.
pub(crate) struct AttemptFailed<'a> {
    pub(crate) call: &'a CallParts,
    pub(crate) attempt: AttemptId,
    pub(crate) upstream: &'a str,
    pub(crate) reason: Reason,
    pub(crate) arrived: bool,
    pub(crate) took: Duration,
}

/// One run that did not bring an answer, at its executor.
pub(crate) struct RunFailed<'a> {
    pub(crate) call: &'a CallParts,
    pub(crate) attempt: AttemptId,
    pub(crate) upstream: &'a str,
    pub(crate) reason: Reason,
    pub(crate) arrived: bool,
    pub(crate) times: Times,
    pub(crate) running: u32,
    pub(crate) queued: u32,
}

/// Lines, counters and histograms about calls.
pub(crate) struct Journal {
    log: Logger,
    lines: RefCell<RateLimit>,
    metrics: Metrics,
    histograms: RefCell<Histograms>,
}

impl Journal {
    pub(crate) fn new(log: Logger) -> Self {
        Self {
            log,
            lines: RefCell::new(RateLimit::new(ORDINARY.max(EXCEPTIONAL), WINDOW)),
            metrics: Metrics::new(),
            histograms: RefCell::new(Histograms::new(MAX_ROUTES)),
        }
    }

    /// Every counter, gauge and histogram as text lines.
    pub(crate) fn metrics_text(&self) -> String {
        let histograms = self.histograms.borrow();
        let mut text = self.metrics.render();
        text.push_str(&histograms.render("stoatstep_call_us", "route"));
        text
    }

    pub(crate) fn gauge(&self, name: &str, value: u64) {
        self.metrics.gauge(name, value);
    }

    pub(crate) fn count(&self, name: &str) {
        self.metrics.count(name, 1);
    }

    /// Number of lines of this kind that were left out before it, or `None` where
    /// the line itself is one too many.
    pub(crate) fn admits(&self, kind: &'static str, now: Time) -> Option<u64> {
        match self.lines.borrow_mut().admit(kind, now) {
            Admission::Log { suppressed } => Some(suppressed),
            Admission::Suppress => None,
        }
    }

    /// One line about each call, whatever became of it.
    pub(crate) fn call_ended(&self, ended: &CallEnded<'_>, now: Time) {
        self.measure(ended);
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
        let (outcome, status, reason) = described(ended.end);
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

    /// One line about each call whose caller did not wait for its end.
    pub(crate) fn caller_left(&self, call: &CallParts, waited: Duration, now: Time) {
        self.count("calls.left");
        if let Some(left_out) = self.admits("left", now) {
            slog::info!(self.log, "caller left";
                fields::REQUEST => %call.request_id, fields::ROUTE => %call.route,
                fields::SERVICE => %call.service, fields::TOTAL_US => micros(waited),
                fields::LEFT_OUT => left_out);
        }
    }

    /// One line about each attempt that brought no answer.
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

    /// One line about each run that brought no answer.
    pub(crate) fn run_failed(&self, failed: &RunFailed<'_>, now: Time) {
        self.count("runs.failed");
        if let Some(left_out) = self.admits("run", now) {
            slog::info!(self.log, "run failed";
                fields::REQUEST => %failed.call.request_id, fields::ATTEMPT => format!("{:032x}", failed.attempt),
                fields::UPSTREAM => failed.upstream, fields::REASON => failed.reason.as_str(),
                fields::ARRIVED => failed.arrived, fields::QUEUE_US => micros(failed.times.queue),
                fields::TARGET_US => micros(failed.times.target), fields::RUNNING => failed.running,
                fields::QUEUED => failed.queued, fields::CONTENT => %failed.call.fingerprint(),
                fields::LEFT_OUT => left_out);
        }
    }

    fn measure(&self, ended: &CallEnded<'_>) {
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

fn described(end: &End) -> (&'static str, u16, &'static str) {
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
