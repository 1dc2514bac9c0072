//! One attempt of a call at one executor, seen from the entry.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rand::RngExt;
use stoatstep_calls::{AttemptId, Occupancy, Reason, Refusal, Seen, Ticket, Time};
use stoatstep_resource::UpstreamName;
use stoatstep_telemetry::fields;
use tokio::time::{sleep, timeout};

use super::call::Call;
use crate::executor;
use crate::fleet::TargetLocation;
use crate::journal::AttemptFailed;
use crate::link::LinkError;
use crate::mechanism::Mechanism;
use crate::node::Node;
use crate::wire::{Ask, Attempt, End, Ran, Reply, WireSettled};

/// Fresh tickets that one attempt may ask for. The first refusal hands out a
/// new one, and a second one in a row is rare.
const TICKETS: u32 = 3;

/// Pause asked for where a link did not come up.
const UNREACHABLE_RETRY: Duration = Duration::from_millis(100);

/// Time past the deadline in which an executor may still say how it ended.
const LAST_WORD: Duration = Duration::from_millis(20);

/// Questions to an executor about an attempt on a lost link, and the pause
/// between them: a link that is not up again after half a second is cut.
const SETTLE_TRIES: u32 = 4;
const SETTLE_PAUSE: Duration = Duration::from_millis(120);

/// Pause before a revoked call is worth sending again.
const REVOKED_RETRY: Duration = Duration::from_millis(10);

/// How an attempt ended.
pub(super) struct Ended {
    pub(super) end: End,
    /// Whether the target got to see it, or may have.
    pub(super) arrived: bool,
    pub(super) in_queue: Duration,
    pub(super) at_target: Duration,
}

impl Ended {
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

/// Makes one attempt, and lets placement learn from it.
pub(super) async fn at(
    node: &Rc<Node>,
    call: &Call,
    upstream: &UpstreamName,
    place: TargetLocation,
) -> Ended {
    let mut outstanding = Outstanding::new(node, call, upstream);
    let (ended, occupancy) = attempt(node, call, upstream, place).await;
    outstanding.seen = match seen(&ended) {
        Seen::Failed if !node.cfg.is_enabled(Mechanism::Ejection) => Seen::Nothing,
        seen => seen,
    };
    outstanding.occupancy = occupancy;
    ended
}

async fn attempt(
    node: &Rc<Node>,
    call: &Call,
    upstream: &UpstreamName,
    place: TargetLocation,
) -> (Ended, Option<Occupancy>) {
    for _ in 0..TICKETS {
        let Some(left) = call.deadline.for_next_hop(node.clock.now()) else {
            let refusal = Refusal::retry(Reason::Deadline, UNREACHABLE_RETRY);
            return (Ended::refused(refusal, false), None);
        };
        let begun = node.clock.now();
        let id = node.entry.tables.borrow_mut().rng.random();
        let attempt = Attempt {
            id,
            ticket: ticket(node, place),
            upstream: upstream.clone(),
            left,
            objective: call.objective.saturating_sub(node.clock.now()),
            call: Rc::clone(&call.parts),
        };
        let (ended, occupancy) = match place {
            TargetLocation::Local => off_link(of_ran(local(node, attempt).await)),
            TargetLocation::Remote(addr) => remote(node, call, addr, attempt).await,
        };
        let is_stale = matches!(&ended.end, End::Refused(it) if it.reason == Reason::StaleTicket);
        if !is_stale {
            note_failure(node, call, (id, upstream), &ended, begun);
            return (ended, occupancy);
        }
    }
    let refusal = Refusal::retry(Reason::StaleTicket, UNREACHABLE_RETRY);
    (Ended::refused(refusal, false), None)
}

fn note_failure(
    node: &Node,
    call: &Call,
    (attempt, upstream): (AttemptId, &str),
    ended: &Ended,
    begun: Time,
) {
    let End::Refused(refusal) = &ended.end else {
        return;
    };
    let now = node.clock.now();
    let failed = AttemptFailed {
        call: &call.parts,
        attempt,
        upstream,
        reason: refusal.reason,
        arrived: ended.arrived,
        took: now.saturating_sub(begun),
    };
    node.journal.attempt_failed(&failed, now);
}

/// Before an executor's first answer there is no ticket, and one that it will
/// refuse stands in.
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

async fn local(node: &Rc<Node>, attempt: Attempt) -> Ran {
    let guard = CancelOnDrop {
        node,
        attempt: attempt.id,
    };
    let ran = executor::execute(node, attempt).await;
    std::mem::forget(guard);
    ran
}

/// The caller went away before the end: a run beside this daemon has no link
/// that would tell its executor so.
struct CancelOnDrop<'a> {
    node: &'a Node,
    attempt: AttemptId,
}

impl Drop for CancelOnDrop<'_> {
    fn drop(&mut self) {
        executor::cancel(self.node, self.attempt);
    }
}

async fn remote(
    node: &Rc<Node>,
    call: &Call,
    addr: SocketAddr,
    attempt: Attempt,
) -> (Ended, Option<Occupancy>) {
    let (id, ticket) = (attempt.id, attempt.ticket);
    let bound = call.deadline.left(node.clock.now()) + LAST_WORD;
    let asked = timeout(bound, node.links.ask(addr, Ask::Run(attempt))).await;
    match asked {
        Ok(Ok(Reply::Ran(ran))) => {
            let mut tables = node.entry.tables.borrow_mut();
            tables.tickets.insert(addr, ran.ticket);
            drop(tables);
            of_ran(ran)
        }
        Ok(Err(LinkError::NotSent)) => {
            let refusal = Refusal::retry(Reason::NoUpstream, UNREACHABLE_RETRY);
            (Ended::refused(refusal, false), None)
        }
        Ok(Ok(_) | Err(LinkError::Lost)) => (settle(node, call, addr, id, ticket).await, None),
        Err(_) => {
            let refusal = Refusal::permanent(Reason::TimedOut);
            (Ended::refused(refusal, true), None)
        }
    }
}

/// Answers of the own target do not leave the instance.
fn off_link((ended, occupancy): (Ended, Option<Occupancy>)) -> (Ended, Option<Occupancy>) {
    let occupancy = occupancy.map(|it| Occupancy {
        link_backlog: Duration::ZERO,
        link_bytes_per_s: 0,
        ..it
    });
    (ended, occupancy)
}

fn of_ran(ran: Ran) -> (Ended, Option<Occupancy>) {
    let ended = Ended {
        in_queue: ran.in_queue,
        at_target: ran.at_target,
        ..Ended::of(ran.end, ran.arrived)
    };
    (ended, Some(ran.occupancy))
}

/// Finds out how an attempt on a lost link ended: not run, the whole answer, or
/// an honest "unknown".
async fn settle(
    node: &Rc<Node>,
    call: &Call,
    addr: SocketAddr,
    attempt: AttemptId,
    ticket: Ticket,
) -> Ended {
    for _ in 0..SETTLE_TRIES {
        let left = call.deadline.left(node.clock.now());
        if left.is_zero() {
            return Ended::refused(Refusal::permanent(Reason::TimedOut), true);
        }
        let ask = Ask::Settle(attempt, ticket);
        if let Ok(Reply::Settled(settled)) = node.links.ask_within(addr, ask, left).await {
            return of_settled(settled);
        }
        sleep(SETTLE_PAUSE.min(left)).await;
    }
    Ended::refused(Refusal::permanent(Reason::LostAnswer), true)
}

fn of_settled(settled: WireSettled) -> Ended {
    match settled {
        WireSettled::Done(answer) => Ended::of(End::Answered(answer), true),
        WireSettled::NotRun => {
            let refusal = Refusal::retry(Reason::Revoked, REVOKED_RETRY);
            Ended::refused(refusal, false)
        }
        WireSettled::Unknown => Ended::refused(Refusal::permanent(Reason::LostAnswer), true),
    }
}

fn seen(ended: &Ended) -> Seen {
    let refusal = match &ended.end {
        End::Answered(answer) if answer.is_failure() => return Seen::Failed,
        End::Answered(_) => return Seen::Answered,
        End::Refused(refusal) => refusal,
    };
    match refusal.reason {
        Reason::Draining => Seen::Leaving,
        // An executor never sends its target more than it has slots, so a target
        // that sheds is not full but failing.
        Reason::NoUpstream | Reason::LostAnswer | Reason::TimedOut | Reason::Shed => Seen::Failed,
        Reason::Overload | Reason::Woke | Reason::Deadline => Seen::Full,
        _ => Seen::Nothing,
    }
}

/// An attempt that placement counts. A caller that goes away drops it here, or
/// the upstream would look busier with each one, and in the end never be chosen.
struct Outstanding<'a> {
    node: &'a Node,
    call: &'a Call,
    upstream: &'a UpstreamName,
    seen: Seen,
    occupancy: Option<Occupancy>,
}

impl<'a> Outstanding<'a> {
    fn new(node: &'a Node, call: &'a Call, upstream: &'a UpstreamName) -> Self {
        let mut tables = node.entry.tables.borrow_mut();
        tables.placement.started(&call.parts.service, upstream);
        Self {
            node,
            call,
            upstream,
            seen: Seen::Nothing,
            occupancy: None,
        }
    }
}

impl Drop for Outstanding<'_> {
    fn drop(&mut self) {
        let now = self.node.clock.now();
        let service = &self.call.parts.service;
        let mut tables = self.node.entry.tables.borrow_mut();
        let placement = &mut tables.placement;
        let (seen, occupancy) = (self.seen, self.occupancy);
        let ejected = placement.finished(service, self.upstream, seen, occupancy, now);
        drop(tables);
        if let Some(time) = ejected {
            self.node.journal.count("targets.ejected");
            slog::info!(self.node.log, "target ejected";
                fields::UPSTREAM => %self.upstream, fields::SERVICE => %service,
                fields::REQUEST => %self.call.parts.request_id, fields::FOR_MS => time.as_millis());
        }
    }
}
