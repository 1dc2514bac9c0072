//! Entry: accepts a caller's request, forwards it to an executor, and returns the
//! target's whole answer or the reason why there is none.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ntex::http::{Request, Response};
use ntex::time::{Millis, sleep, timeout};
use ntex::util::{Either, select};
use stoatstep_calls::{
    Backoff, Outcome, Reason, Refusal, RefusedAttempts, Report, Time, UnansweredOutcome, home_of,
    may_retry,
};
use stoatstep_resource::UpstreamName;
use stoatstep_telemetry::Stage;

use super::attempt::{self, AttemptOutcome};
use super::in_flight::{CallStage, InFlight};
use super::request::{Call, Rejected};
use super::respond;
use super::sync;
use super::tables::EntryTables;
use super::target::RunEnd;
use crate::http::drop_body;
use crate::node::Node;

/// Time within which a caller whose call is refused by a drain has to send its body.
const REFUSED_BODY_TIMEOUT: Millis = Millis(5_000);

/// Retry delay sent to callers when no executor can be reached.
const UNREACHABLE_RETRY: Duration = Duration::from_millis(250);

/// An attempt is only started if at least this much time is left.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(1);

/// Handles one request of a caller.
pub(crate) async fn handle(node: &Rc<Node>, mut req: Request) -> Response {
    let version = node.control.in_force().state.version();
    let in_flight = InFlight::enter(node, CallStage::Receiving);
    if !node.calls.drain.borrow().admits() {
        // A caller that never sends the rest must not hold up the drain.
        let _ = timeout(REFUSED_BODY_TIMEOUT, drop_body(req.take_payload())).await;
        return respond::refused(&Rejected::draining().refusal, &[], version);
    }
    let started = node.calls.clock.now();
    let received = match select(Call::read(node, &mut req), node.calls.cutoff.wait()).await {
        Either::Left(received) => received,
        Either::Right(()) => Err(Rejected::draining()),
    };
    let call = match received {
        Ok(call) => call,
        Err(Rejected { refusal, findings }) => {
            select(drop_body(req.take_payload()), node.calls.cutoff.wait()).await;
            return respond::refused(&refusal, &findings, version);
        }
    };
    let ended = forward(node, &call, &in_flight).await;
    record(node, &call, &ended, started);
    let version = call.in_force.state.version();
    match &ended.end {
        RunEnd::Done(answer) => respond::answered(answer, version),
        RunEnd::Refused(refusal) => respond::refused(refusal, &[], version),
    }
}

/// Makes attempts until one of them ends the call.
async fn forward(node: &Rc<Node>, call: &Call, in_flight: &InFlight) -> AttemptOutcome {
    let mut tried = Vec::new();
    let mut attempts_made = 0;
    let mut refused_attempts = RefusedAttempts::default();
    earn_retry_budget(node, call);
    in_flight.set_request(&call.parts.request_id);
    loop {
        in_flight.set_stage(CallStage::Attempt);
        attempts_made += 1;
        let mut ended = match choose(node, call, &tried) {
            Some((upstream, addr)) => {
                let ended = attempt_at(node, call, &upstream, addr).await;
                tried.push(upstream);
                ended
            }
            None => unreachable(call),
        };
        let RunEnd::Refused(refusal) = ended.end else {
            return ended;
        };
        ended.end = RunEnd::Refused(refused_attempts.refused(refusal));
        if node.calls.drain.borrow().ends_calls() {
            return ended;
        }
        let untried = call.key.is_none() && tried.len() < upstreams(call).len();
        let Some(delay) = next_delay(node, call, &refusal, attempts_made, untried) else {
            return ended;
        };
        if !untried {
            tried.clear();
        }
        if !delay.is_zero() {
            in_flight.set_stage(CallStage::Backoff);
            if let Either::Right(()) = select(sleep(delay), node.calls.cutoff.wait()).await {
                return ended;
            }
        }
    }
}

fn upstreams(call: &Call) -> &[UpstreamName] {
    call.in_force.upstreams_of(&call.parts.service)
}

fn unreachable(call: &Call) -> AttemptOutcome {
    let reason = match call.key {
        Some(_) => Reason::HomeUnreachable,
        None => Reason::NoUpstream,
    };
    let refusal = Refusal::retry(reason, UNREACHABLE_RETRY);
    AttemptOutcome::not_tried(RunEnd::Refused(refusal))
}

/// Chooses the executor of the next attempt. A call with an idempotency key always goes to
/// the key's home, whatever its load: another executor could run it a second time.
fn choose(
    node: &Rc<Node>,
    call: &Call,
    tried: &[UpstreamName],
) -> Option<(UpstreamName, SocketAddr)> {
    let upstream = if let Some(key) = &call.key {
        let names = upstreams(call).iter().cloned().collect();
        home_of(&names, key)?.clone()
    } else {
        pick(node, call, tried)?
    };
    let member = node.control.members_serving(&upstream).pop()?;
    Some((upstream, member.peer_addr))
}

/// Lets the router choose an upstream. Its table may still lack a new configuration version or
/// a member that has just started, so it is updated once before the call is refused.
fn pick(node: &Rc<Node>, call: &Call, tried: &[UpstreamName]) -> Option<UpstreamName> {
    let chosen = pick_from_table(node, call, tried);
    if chosen.is_some() {
        return chosen;
    }
    sync::update_candidates(node);
    pick_from_table(node, call, tried)
}

fn pick_from_table(node: &Rc<Node>, call: &Call, tried: &[UpstreamName]) -> Option<UpstreamName> {
    let now = node.calls.clock.now();
    let mut tables = node.calls.entry.borrow_mut();
    let EntryTables { router, rng, .. } = &mut *tables;
    let pick = router.pick(&call.parts.service, tried, now, rng)?;
    Some(pick.upstream)
}

async fn attempt_at(
    node: &Rc<Node>,
    call: &Call,
    upstream: &UpstreamName,
    addr: SocketAddr,
) -> AttemptOutcome {
    let service = &call.parts.service;
    node.calls
        .entry
        .borrow_mut()
        .router
        .started(service, upstream);
    let mut outstanding = OutstandingAttempt {
        node,
        call,
        upstream,
        report: Report::Cancelled,
    };
    let ended = attempt::run(node, call, addr).await;
    outstanding.report = ended.report;
    ended
}

fn earn_retry_budget(node: &Rc<Node>, call: &Call) {
    let percent = call.route.policy.retry.budget_percent;
    let mut tables = node.calls.entry.borrow_mut();
    let service = call.parts.service.clone();
    tables.budgets.entry(service).or_default().earn(percent);
}

/// Returns the delay before the next attempt, or `None` if the call must not be retried. An
/// executor that has not refused this call yet is tried at once: backoff is there to relieve an
/// overloaded executor, and the retry budget bounds the load on all executors together.
fn next_delay(
    node: &Rc<Node>,
    call: &Call,
    refusal: &Refusal,
    attempts_made: u32,
    untried: bool,
) -> Option<Duration> {
    let outcome = match refusal.outcome() {
        Outcome::NotRun => UnansweredOutcome::NotRun,
        Outcome::Unknown | Outcome::Answered => UnansweredOutcome::Unknown,
    };
    let allowed = call.route.policy.retry.attempts;
    let parts = &call.parts;
    let retry_permitted = may_retry(
        outcome,
        parts.idempotent,
        parts.depth,
        attempts_made,
        allowed,
    );
    if !retry_permitted || !refusal.reason.allows_retry() {
        return None;
    }
    let left = call.deadline.left(node.calls.clock.now());
    let mut tables = node.calls.entry.borrow_mut();
    let delay = if untried && outcome == UnansweredOutcome::NotRun {
        (MIN_ATTEMPT_TIME < left).then_some(Duration::ZERO)?
    } else {
        let min_delay = min_delay(call, refusal);
        let rng = &mut tables.rng;
        Backoff::default().pause(attempts_made, min_delay, MIN_ATTEMPT_TIME, left, rng)?
    };
    let budget = tables.budgets.entry(parts.service.clone()).or_default();
    budget.take().then_some(delay)
}

/// Shortest delay before the next attempt. Only a call with an idempotency key has to respect the
/// delay that its executor asked for, since it goes to the same home again.
fn min_delay(call: &Call, refusal: &Refusal) -> Duration {
    match call.key {
        Some(_) => refusal.retry_after.unwrap_or_default(),
        None => Duration::ZERO,
    }
}

fn record(node: &Rc<Node>, call: &Call, ended: &AttemptOutcome, started: Time) {
    let total = node.calls.clock.now().saturating_sub(started);
    let daemon = total.saturating_sub(ended.queue + ended.target);
    let tenant = call.parts.tenant.as_str();
    let class = call.parts.class.as_str();
    let stages = [
        (Stage::Total, total),
        (Stage::Daemon, daemon),
        (Stage::Queue, ended.queue),
        (Stage::Target, ended.target),
    ];
    let mut histograms = node.calls.histograms.borrow_mut();
    for (stage, time) in stages {
        histograms.record(tenant, class, stage, time);
    }
    drop(histograms);
    node.metrics.count(counter_name(&ended.end), 1);
}

fn counter_name(end: &RunEnd) -> &'static str {
    let RunEnd::Refused(refusal) = end else {
        return "calls.answered";
    };
    match refusal.outcome() {
        Outcome::NotRun => "calls.not_run",
        Outcome::Unknown | Outcome::Answered => "calls.unknown",
    }
}

/// An attempt that the router counts as outstanding. The count is corrected on drop, also when
/// the caller disconnects; otherwise the upstream would look busier with each such call and in
/// the end never be chosen.
struct OutstandingAttempt<'a> {
    node: &'a Rc<Node>,
    call: &'a Call,
    upstream: &'a UpstreamName,
    report: Report,
}

impl Drop for OutstandingAttempt<'_> {
    fn drop(&mut self) {
        let now = self.node.calls.clock.now();
        let service = &self.call.parts.service;
        let mut tables = self.node.calls.entry.borrow_mut();
        tables
            .router
            .finished(service, self.upstream, self.report, now);
    }
}
