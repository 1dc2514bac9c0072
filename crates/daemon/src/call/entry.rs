//! Entry: takes a caller's request, has it run, and brings back the whole
//! answer or says truly why there is none.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ntex::http::{Request, Response};
use ntex::time::sleep;
use stoatstep_calls::{
    Backoff, Outcome, Reason, Refusal, RefusedAttempts, Report, Time, UnansweredOutcome, home_of,
    may_retry,
};
use stoatstep_resource::UpstreamName;
use stoatstep_telemetry::Stage;

use super::attempt::{self, Ended};
use super::in_flight::InFlight;
use super::request::{Call, Rejected};
use super::respond;
use super::sync;
use super::tables::EntryTables;
use super::target::RunEnd;
use crate::http::drop_body;
use crate::node::Node;

/// Pause asked for while this daemon cannot take calls.
const DRAINING_RETRY: Duration = Duration::from_millis(100);

/// Pause asked for where no executor can be reached.
const UNREACHABLE_RETRY: Duration = Duration::from_millis(250);

/// Least time that another attempt is worth starting for.
const LEAST_ATTEMPT: Duration = Duration::from_millis(1);

/// Answers one caller.
pub(crate) async fn handle(node: &Rc<Node>, mut req: Request) -> Response {
    let version = node.control.in_force().state.version();
    if !node.calls.drain.borrow().admits() {
        drop_body(req.take_payload()).await;
        let refusal = Refusal::retry(Reason::Draining, DRAINING_RETRY);
        return respond::refused(&refusal, &[], version);
    }
    let _in_flight = InFlight::enter(node);
    let started = node.calls.clock.now();
    let call = match Call::read(node, &mut req).await {
        Ok(call) => call,
        Err(Rejected { refusal, findings }) => {
            drop_body(req.take_payload()).await;
            return respond::refused(&refusal, &findings, version);
        }
    };
    let ended = carry(node, &call).await;
    record(node, &call, &ended, started);
    let version = call.in_force.state.version();
    match &ended.end {
        RunEnd::Done(answer) => respond::answered(answer, version),
        RunEnd::Refused(refusal) => respond::refused(refusal, &[], version),
    }
}

/// Makes attempts until one settles the call.
async fn carry(node: &Rc<Node>, call: &Call) -> Ended {
    let mut tried = Vec::new();
    let mut made = 0;
    let mut attempts = RefusedAttempts::default();
    earn(node, call);
    loop {
        made += 1;
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
        ended.end = RunEnd::Refused(attempts.refused(refusal));
        let fresh = call.key.is_none() && tried.len() < upstreams(call).len();
        let Some(pause) = next_pause(node, call, &refusal, made, fresh) else {
            return ended;
        };
        if !fresh {
            tried.clear();
        }
        if !pause.is_zero() {
            sleep(pause).await;
        }
    }
}

fn upstreams(call: &Call) -> &[UpstreamName] {
    call.in_force.upstreams_of(&call.parts.service)
}

fn unreachable(call: &Call) -> Ended {
    let reason = match call.key {
        Some(_) => Reason::HomeUnreachable,
        None => Reason::NoUpstream,
    };
    let refusal = Refusal::retry(reason, UNREACHABLE_RETRY);
    Ended::not_tried(RunEnd::Refused(refusal))
}

/// The executor of the next attempt. A key has exactly one, whatever its load:
/// at another one it could run a second time.
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

/// Lets the router choose. Where it finds nobody, a new version or a member that
/// has just come up may not be in its table yet, so that is looked at again
/// before a caller hears that there is no upstream.
fn pick(node: &Rc<Node>, call: &Call, tried: &[UpstreamName]) -> Option<UpstreamName> {
    let chosen = pick_now(node, call, tried);
    if chosen.is_some() {
        return chosen;
    }
    sync::candidates(node);
    pick_now(node, call, tried)
}

fn pick_now(node: &Rc<Node>, call: &Call, tried: &[UpstreamName]) -> Option<UpstreamName> {
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
) -> Ended {
    let service = &call.parts.service;
    node.calls
        .entry
        .borrow_mut()
        .router
        .started(service, upstream);
    let mut outstanding = Outstanding {
        node,
        call,
        upstream,
        report: Report::Cancelled,
    };
    let ended = attempt::run(node, call, addr).await;
    outstanding.report = ended.report;
    ended
}

fn earn(node: &Rc<Node>, call: &Call) {
    let percent = call.route.policy.retry.budget_percent;
    let mut tables = node.calls.entry.borrow_mut();
    let service = call.parts.service.clone();
    tables.budgets.entry(service).or_default().earn(percent);
}

/// Pause before another attempt, or `None` where there is none. An executor that
/// has not refused this call yet is asked at once: backing off spares one that
/// is overloaded, and the budget bounds what all of them together get.
fn next_pause(
    node: &Rc<Node>,
    call: &Call,
    refusal: &Refusal,
    made: u32,
    fresh: bool,
) -> Option<Duration> {
    let settlement = match refusal.outcome() {
        Outcome::NotRun => UnansweredOutcome::NotRun,
        Outcome::Unknown | Outcome::Answered => UnansweredOutcome::Unknown,
    };
    let allowed = call.route.policy.retry.attempts;
    let parts = &call.parts;
    let may = may_retry(settlement, parts.idempotent, parts.depth, made, allowed);
    if !may || !refusal.reason.allows_retry() {
        return None;
    }
    let left = call.deadline.left(node.calls.clock.now());
    let mut tables = node.calls.entry.borrow_mut();
    let pause = if fresh && settlement == UnansweredOutcome::NotRun {
        (LEAST_ATTEMPT < left).then_some(Duration::ZERO)?
    } else {
        let floor = floor(call, refusal);
        let rng = &mut tables.rng;
        Backoff::default().pause(made, floor, LEAST_ATTEMPT, left, rng)?
    };
    let budget = tables.budgets.entry(parts.service.clone()).or_default();
    budget.take().then_some(pause)
}

/// Another executor need not wait for the first one's queue; a key's only home
/// has to.
fn floor(call: &Call, refusal: &Refusal) -> Duration {
    match call.key {
        Some(_) => refusal.retry_after.unwrap_or_default(),
        None => Duration::ZERO,
    }
}

fn record(node: &Rc<Node>, call: &Call, ended: &Ended, started: Time) {
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
    node.metrics.count(counter(&ended.end), 1);
}

fn counter(end: &RunEnd) -> &'static str {
    let RunEnd::Refused(refusal) = end else {
        return "calls.answered";
    };
    match refusal.outcome() {
        Outcome::NotRun => "calls.not_run",
        Outcome::Unknown | Outcome::Answered => "calls.unknown",
    }
}

/// An attempt that the router counts. A caller that goes away drops it here, or
/// the upstream would look busier with each one, and in the end never be chosen.
struct Outstanding<'a> {
    node: &'a Rc<Node>,
    call: &'a Call,
    upstream: &'a UpstreamName,
    report: Report,
}

impl Drop for Outstanding<'_> {
    fn drop(&mut self) {
        let now = self.node.calls.clock.now();
        let service = &self.call.parts.service;
        let mut tables = self.node.calls.entry.borrow_mut();
        tables
            .router
            .finished(service, self.upstream, self.report, now);
    }
}
