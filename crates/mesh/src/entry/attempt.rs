//! One attempt of a call at one executor, as the entry makes it.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rand::RngExt;
use stoatstep_calls::{
    Answer, AttemptFeedback, AttemptId, LateWait, Occupancy, Reason, Refusal, TargetStatement,
    Ticket, Time,
};
use stoatstep_resource::UpstreamName;
use stoatstep_telemetry::fields;
use tokio::time::{sleep, timeout};

use super::call::Call;
use crate::executor;
use crate::fleet::TargetLocation;
use crate::journal::AttemptFailed;
use crate::link::{BytesReceived, CONNECT_TIMEOUT, LinkError};
use crate::mechanism::Mechanism;
use crate::node::Node;
use crate::wire::{Ask, Attempt, End, Ran, Reply, WireSettled};

/// Maximum number of sends of one attempt when tickets are stale. A refusal for a
/// stale ticket carries a new ticket, and a second such refusal in a row is rare.
const MAX_TICKETS: u32 = 3;

/// Retry delay given to callers if an executor could not be reached.
const UNREACHABLE_RETRY: Duration = Duration::from_millis(100);

/// Time after the deadline for which the entry still waits for the executor's report.
const REPORT_GRACE: Duration = Duration::from_millis(20);

/// Times that an executor is asked for the outcome of an attempt whose link was lost. A
/// link that is not up again after half a second is considered cut.
const SETTLE_ATTEMPTS: u32 = 4;

/// Delay between two of these requests.
const SETTLE_DELAY: Duration = Duration::from_millis(120);

/// Time after the loss of a link within which the last of these requests is sent, if the first
/// one waits for a connection that is not established and the link is then not tried again for
/// a while.
pub(crate) const SETTLE_WINDOW: Duration = CONNECT_TIMEOUT
    .saturating_mul(2)
    .saturating_add(SETTLE_DELAY.saturating_mul(SETTLE_ATTEMPTS - 1));

/// Retry delay after an attempt that was revoked before it ran.
const REVOKED_RETRY: Duration = Duration::from_millis(10);

/// How an attempt ended, as the entry knows it.
pub(super) struct AttemptOutcome {
    pub(super) end: End,
    /// Whether the request reached the target, or may have.
    pub(super) arrived: bool,
    pub(super) in_queue: Duration,
    pub(super) at_target: Duration,
}

impl AttemptOutcome {
    fn of(end: End, arrived: bool) -> Self {
        Self {
            end,
            arrived,
            in_queue: Duration::ZERO,
            at_target: Duration::ZERO,
        }
    }

    pub(super) fn refused(refusal: Refusal, arrived: bool) -> Self {
        Self::of(End::Refused(refusal), arrived)
    }
}

/// Makes one attempt at a target and reports its result to placement.
pub(super) async fn make_attempt(
    node: &Rc<Node>,
    call: &Call,
    upstream: &UpstreamName,
    place: TargetLocation,
    late_wait: LateWait,
) -> AttemptOutcome {
    let mut guard = OutstandingGuard::new(node, call, upstream);
    let (outcome, occupancy) = attempt(node, call, upstream, place, late_wait).await;
    guard.feedback = match feedback(&outcome) {
        AttemptFeedback::Failed if !node.cfg.is_enabled(Mechanism::Ejection) => {
            AttemptFeedback::Nothing
        }
        feedback => feedback,
    };
    guard.occupancy = occupancy;
    if let End::Answered(answer) = &outcome.end
        && states_departure(node, answer)
    {
        record_departure(node, call, upstream);
    }
    if let Some(occupancy) = occupancy {
        let limits = &mut node.entry.tables.borrow_mut().limits;
        limits.record(upstream.clone(), occupancy.limit.known);
    }
    outcome
}

fn states_departure(node: &Node, answer: &Answer) -> bool {
    let name = &node.cfg.header_names.leaving;
    let named = answer.headers.iter().filter(|it| it.name == *name);
    let values = named.map(|it| it.value.as_slice());
    TargetStatement::decode([], values).is_leaving
}

/// Excludes a target that has stated to this entry that it leaves. Its executor refuses calls
/// from then on as well, but may be replaced by a process that does not know.
fn record_departure(node: &Node, call: &Call, upstream: &UpstreamName) {
    let service = &call.parts.service;
    let mut tables = node.entry.tables.borrow_mut();
    let is_new = tables.placement.depart(service, upstream);
    drop(tables);
    if is_new {
        slog::info!(node.log, "target has stated that it leaves";
            fields::UPSTREAM => %upstream, fields::SERVICE => %service,
            fields::REQUEST => %call.parts.request_id);
    }
}

async fn attempt(
    node: &Rc<Node>,
    call: &Call,
    upstream: &UpstreamName,
    place: TargetLocation,
    late_wait: LateWait,
) -> (AttemptOutcome, Option<Occupancy>) {
    for _ in 0..MAX_TICKETS {
        if node.is_leaving() && call.time_left(node).is_zero() {
            let refusal = Refusal::retry(Reason::Draining, UNREACHABLE_RETRY);
            return (AttemptOutcome::refused(refusal, false), None);
        }
        let Some(left) = call.deadline.for_next_hop(node.clock.now()) else {
            let refusal = Refusal::retry(Reason::Deadline, UNREACHABLE_RETRY);
            return (AttemptOutcome::refused(refusal, false), None);
        };
        let started_at = node.clock.now();
        let id = node.entry.tables.borrow_mut().rng.random();
        let attempt = Attempt {
            id,
            ticket: ticket(node, place),
            upstream: upstream.clone(),
            left,
            objective: call.objective.saturating_sub(node.clock.now()),
            late_wait,
            usage: super::quota::usage(node, call),
            limit: node.entry.tables.borrow().limits.get(upstream),
            call: Rc::clone(&call.parts),
        };
        let received = call.progress.asked(id, upstream);
        let (outcome, occupancy) = match place {
            TargetLocation::Local => without_uplink(outcome_of_run(local(node, attempt).await)),
            TargetLocation::Remote(addr) => remote(node, call, addr, attempt, received).await,
        };
        call.progress.ended(outcome.arrived);
        let is_stale = matches!(&outcome.end, End::Refused(it) if it.reason == Reason::StaleTicket);
        if !is_stale {
            log_failure(node, call, (id, upstream), &outcome, started_at);
            return (outcome, occupancy);
        }
    }
    let refusal = Refusal::retry(Reason::StaleTicket, UNREACHABLE_RETRY);
    (AttemptOutcome::refused(refusal, false), None)
}

fn log_failure(
    node: &Node,
    call: &Call,
    (attempt, upstream): (AttemptId, &str),
    outcome: &AttemptOutcome,
    started_at: Time,
) {
    let End::Refused(refusal) = &outcome.end else {
        return;
    };
    let now = node.clock.now();
    let failed = AttemptFailed {
        call: &call.parts,
        attempt,
        upstream,
        reason: refusal.reason,
        arrived: outcome.arrived,
        took: now.saturating_sub(started_at),
    };
    node.journal.attempt_failed(&failed, now);
}

/// The newest ticket of an executor. Before the executor's first answer this is a
/// placeholder, which it refuses as stale and answers with a valid ticket.
fn ticket(node: &Node, place: TargetLocation) -> Ticket {
    let refused = Ticket {
        incarnation: 0,
        stamp: Duration::ZERO,
    };
    match place {
        TargetLocation::Local => node.executor.ticket(node.clock.now()),
        TargetLocation::Remote(addr) => {
            let tables = node.entry.tables.borrow();
            tables.tickets.get(&addr).copied().unwrap_or(refused)
        }
    }
}

/// Runs an attempt at the executor of this daemon.
async fn local(node: &Rc<Node>, attempt: Attempt) -> Ran {
    let guard = CancelOnDrop {
        node,
        attempt: attempt.id,
    };
    let ran = executor::execute(node, attempt).await;
    std::mem::forget(guard);
    ran
}

/// Cancels a local run whose caller disconnected. A remote executor learns that from the
/// link; a local one has no link.
struct CancelOnDrop<'a> {
    node: &'a Node,
    attempt: AttemptId,
}

impl Drop for CancelOnDrop<'_> {
    fn drop(&mut self) {
        executor::cancel(self.node, self.attempt);
    }
}

/// Sends an attempt to the executor of another daemon.
async fn remote(
    node: &Rc<Node>,
    call: &Call,
    addr: SocketAddr,
    attempt: Attempt,
    received: BytesReceived,
) -> (AttemptOutcome, Option<Occupancy>) {
    let (id, ticket) = (attempt.id, attempt.ticket);
    let bound = call.deadline.left(node.clock.now()) + REPORT_GRACE;
    let ask = Ask::Run(attempt);
    let asked = node.links.ask_unless_silent(addr, ask, received);
    let asked = timeout(bound, asked).await;
    match asked {
        Ok(Ok(Reply::Ran(ran))) => {
            let mut tables = node.entry.tables.borrow_mut();
            tables.tickets.insert(addr, ran.ticket);
            drop(tables);
            outcome_of_run(ran)
        }
        Ok(Err(LinkError::NotSent)) => {
            let refusal = Refusal::retry(Reason::NoUpstream, UNREACHABLE_RETRY);
            (AttemptOutcome::refused(refusal, false), None)
        }
        Ok(Ok(_) | Err(LinkError::Lost)) => (settle(node, call, addr, id, ticket).await, None),
        Err(_) => {
            let refusal = Refusal::permanent(Reason::TimedOut);
            (AttemptOutcome::refused(refusal, true), None)
        }
    }
}

/// Clears the uplink's load from a local executor's occupancy: answers of the local target
/// are not sent over the uplink.
fn without_uplink(
    (outcome, occupancy): (AttemptOutcome, Option<Occupancy>),
) -> (AttemptOutcome, Option<Occupancy>) {
    let occupancy = occupancy.map(|it| Occupancy {
        link_backlog: Duration::ZERO,
        link_bytes_per_s: 0,
        ..it
    });
    (outcome, occupancy)
}

fn outcome_of_run(ran: Ran) -> (AttemptOutcome, Option<Occupancy>) {
    let outcome = AttemptOutcome {
        in_queue: ran.in_queue,
        at_target: ran.at_target,
        ..AttemptOutcome::of(ran.end, ran.arrived)
    };
    (outcome, Some(ran.occupancy))
}

/// Asks the executor for the outcome of an attempt whose link was lost: it did not run, its
/// complete answer, or unknown.
async fn settle(
    node: &Rc<Node>,
    call: &Call,
    addr: SocketAddr,
    attempt: AttemptId,
    ticket: Ticket,
) -> AttemptOutcome {
    call.progress.settling();
    for _ in 0..SETTLE_ATTEMPTS {
        let left = call.deadline.left(node.clock.now());
        if left.is_zero() {
            return AttemptOutcome::refused(Refusal::permanent(Reason::TimedOut), true);
        }
        let ask = Ask::Settle(attempt, ticket);
        if let Ok(Reply::Settled(settled)) = node.links.ask_within(addr, ask, left).await {
            return outcome_of_settled(settled);
        }
        sleep(SETTLE_DELAY.min(left)).await;
    }
    AttemptOutcome::refused(Refusal::permanent(Reason::LostAnswer), true)
}

fn outcome_of_settled(settled: WireSettled) -> AttemptOutcome {
    match settled {
        WireSettled::Done(answer) => AttemptOutcome::of(End::Answered(answer), true),
        WireSettled::NotRun => {
            let refusal = Refusal::retry(Reason::Revoked, REVOKED_RETRY);
            AttemptOutcome::refused(refusal, false)
        }
        WireSettled::Unknown => {
            AttemptOutcome::refused(Refusal::permanent(Reason::LostAnswer), true)
        }
    }
}

/// What an attempt's end says about the target, for placement.
fn feedback(outcome: &AttemptOutcome) -> AttemptFeedback {
    let refusal = match &outcome.end {
        End::Answered(answer) if answer.is_failure() => return AttemptFeedback::Failed,
        End::Answered(_) => return AttemptFeedback::Answered,
        End::Refused(refusal) => refusal,
    };
    match refusal.reason {
        Reason::Draining => AttemptFeedback::Leaving,
        // An executor never sends its target more calls than it has slots, so a target
        // that sheds load is failing, not full.
        Reason::NoUpstream | Reason::LostAnswer | Reason::TimedOut | Reason::Shed => {
            AttemptFeedback::Failed
        }
        Reason::Overload | Reason::Woke | Reason::Deadline => AttemptFeedback::Full,
        _ => AttemptFeedback::Nothing,
    }
}

/// Guard of an attempt that placement counts as outstanding. It ends the count also if the
/// caller disconnects: otherwise the upstream would look busier with each such call until
/// it is never chosen again.
struct OutstandingGuard<'a> {
    node: &'a Node,
    call: &'a Call,
    upstream: &'a UpstreamName,
    feedback: AttemptFeedback,
    occupancy: Option<Occupancy>,
}

impl<'a> OutstandingGuard<'a> {
    fn new(node: &'a Node, call: &'a Call, upstream: &'a UpstreamName) -> Self {
        let mut tables = node.entry.tables.borrow_mut();
        tables.placement.started(&call.parts.service, upstream);
        Self {
            node,
            call,
            upstream,
            feedback: AttemptFeedback::Nothing,
            occupancy: None,
        }
    }
}

impl Drop for OutstandingGuard<'_> {
    fn drop(&mut self) {
        let now = self.node.clock.now();
        let service = &self.call.parts.service;
        let mut tables = self.node.entry.tables.borrow_mut();
        let placement = &mut tables.placement;
        let (feedback, occupancy) = (self.feedback, self.occupancy);
        let ejected = placement.finished(service, self.upstream, feedback, occupancy, now);
        drop(tables);
        if let Some(time) = ejected {
            self.node.journal.count("targets.ejected");
            slog::info!(self.node.log, "target ejected";
                fields::UPSTREAM => %self.upstream, fields::SERVICE => %service,
                fields::REQUEST => %self.call.parts.request_id, fields::FOR_MS => time.as_millis());
        }
    }
}
