//! Entry side of one attempt of a call at one executor.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ntex::util::{Either, select};
use stoatstep_calls::{Deadline, Load, Outcome, Reason, Refusal, Report};

use super::executor;
use super::in_flight::{CallStage, InFlight};
use super::peers::PeerError;
use super::request::Call;
use super::settle::RemoteAttempt;
use super::target::RunEnd;
use super::wire::{Attempt, WireAttempt, WireAttemptRef, WireAttemptStatus, WireEnd, WireReply};
use crate::node::Node;

/// Tries of one attempt before a stale ticket is reported to the caller. A refusal for a stale
/// ticket carries a new one, so two such refusals in a row are rare.
const MAX_TICKETS: u32 = 3;

/// Retry delay after a connection could not be established.
const UNREACHABLE_RETRY: Duration = Duration::from_millis(100);

/// Time after the deadline in which the executor may still report how the attempt ended.
const REPORT_GRACE: Duration = Duration::from_millis(20);

/// How an attempt ended, as the caller and the router need it.
pub(super) struct AttemptOutcome {
    pub(super) end: RunEnd,
    pub(super) report: Report,
    pub(super) queue: Duration,
    pub(super) target: Duration,
}

impl AttemptOutcome {
    fn failed(end: RunEnd) -> Self {
        Self {
            end,
            report: Report::Failed,
            queue: Duration::ZERO,
            target: Duration::ZERO,
        }
    }

    /// The call was not sent to any executor.
    pub(super) fn not_tried(end: RunEnd) -> Self {
        Self::failed(end)
    }

    fn settled(end: RunEnd) -> Self {
        // The connection failed, whatever the ledger reported afterwards.
        Self::failed(end)
    }
}

/// Runs one attempt at the daemon at `addr`.
pub(super) async fn run(node: &Rc<Node>, call: &Call, addr: SocketAddr) -> AttemptOutcome {
    for _ in 0..MAX_TICKETS {
        let ended = run_once(node, call, addr).await;
        let stale = matches!(&ended.end, RunEnd::Refused(it) if it.reason == Reason::StaleTicket);
        if !stale {
            return ended;
        }
    }
    let refusal = Refusal::retry(Reason::StaleTicket, UNREACHABLE_RETRY);
    AttemptOutcome::failed(RunEnd::Refused(refusal))
}

async fn run_once(node: &Rc<Node>, call: &Call, addr: SocketAddr) -> AttemptOutcome {
    let now = node.calls.clock.now();
    let Some(left) = call.deadline.for_next_hop(now) else {
        return cancelled(RunEnd::refused(Reason::Deadline));
    };
    let own = addr == node.cfg.peer_addr;
    let ticket = if own {
        node.calls.executor.borrow().ledger.ticket(now)
    } else {
        node.calls.peers.ticket(addr)
    };
    let limit = node.calls.entry.borrow().limits.get(&addr);
    let wire = WireAttempt {
        attempt: node.calls.entry.borrow_mut().attempt_id(),
        ticket,
        left_us: executor::micros(left),
        limit,
        call: Rc::clone(&call.parts),
    };
    if own {
        return local(node, wire).await;
    }
    remote(node, call.deadline, addr, &wire).await
}

fn cancelled(end: RunEnd) -> AttemptOutcome {
    AttemptOutcome {
        end,
        report: Report::Cancelled,
        queue: Duration::ZERO,
        target: Duration::ZERO,
    }
}

async fn local(node: &Rc<Node>, wire: WireAttempt) -> AttemptOutcome {
    let Ok(attempt) = Attempt::try_from(wire) else {
        return cancelled(RunEnd::refused(Reason::BadRequest));
    };
    let guard = CancelOnDrop::local(node, &attempt);
    let in_flight = Rc::new(InFlight::enter(node, CallStage::Queued));
    let reply = executor::execute(node, attempt, in_flight).await;
    guard.disarm();
    outcome_of(reply)
}

async fn remote(
    node: &Rc<Node>,
    deadline: Deadline,
    addr: SocketAddr,
    wire: &WireAttempt,
) -> AttemptOutcome {
    let remote = RemoteAttempt {
        addr,
        attempt: wire.attempt,
        ticket: wire.ticket,
    };
    let guard = CancelOnDrop::remote(node, remote);
    let ended = exchange(node, deadline, remote, wire).await;
    guard.disarm();
    ended
}

async fn exchange(
    node: &Rc<Node>,
    deadline: Deadline,
    remote: RemoteAttempt,
    wire: &WireAttempt,
) -> AttemptOutcome {
    let peers = &node.calls.peers;
    let sent = peers.send::<WireReply>(remote.addr, "/peer/attempt", wire);
    let grace_over = node.calls.timers.until(deadline.expires() + REPORT_GRACE);
    let grace_over = select(grace_over, node.calls.cutoff.wait());
    let watch = select(
        remote.detect_silence(node, wire.call.idempotent),
        grace_over,
    );
    match select(sent, watch).await {
        Either::Left(Ok(reply)) => {
            peers.set_ticket(remote.addr, reply.ticket);
            let limits = &mut node.calls.entry.borrow_mut().limits;
            limits.record(remote.addr, reply.load.limit.known);
            outcome_of(reply)
        }
        Either::Left(Err(PeerError::NotSent)) => {
            let refusal = Refusal::retry(Reason::NoUpstream, UNREACHABLE_RETRY);
            AttemptOutcome::failed(RunEnd::Refused(refusal))
        }
        Either::Left(Err(PeerError::Lost)) => {
            AttemptOutcome::settled(remote.settle(node, deadline).await)
        }
        // The silent connection was closed when its future was dropped.
        Either::Right(Either::Left(true)) => {
            peers.retire(remote.addr).await;
            AttemptOutcome::settled(remote.settle(node, deadline).await)
        }
        Either::Right(Either::Left(false)) => {
            peers.retire(remote.addr).await;
            AttemptOutcome::failed(RunEnd::refused(Reason::LostAnswer))
        }
        Either::Right(Either::Right(_)) => {
            let end = remote.settle(node, deadline).await;
            // The daemon is not to blame for a slow target.
            cancelled(end)
        }
    }
}

fn outcome_of(reply: WireReply) -> AttemptOutcome {
    let load = Some(reply.load);
    let end = match reply.end {
        WireEnd::Answered(answer) => RunEnd::Done(answer),
        WireEnd::Refused(refusal) => RunEnd::Refused(refusal),
    };
    AttemptOutcome {
        report: report_for_router(&end, load),
        end,
        queue: Duration::from_micros(reply.queue_us),
        target: Duration::from_micros(reply.target_us),
    }
}

fn report_for_router(end: &RunEnd, load: Option<Load>) -> Report {
    let refusal = match end {
        RunEnd::Done(_) => return Report::Answered(load),
        RunEnd::Refused(refusal) => refusal,
    };
    match (refusal.reason, refusal.outcome()) {
        (Reason::Draining, _) => Report::Leaving,
        // The daemon is reachable, but its target is not, or the target's answers break off.
        (Reason::NoUpstream | Reason::LostAnswer, _) => Report::Failed,
        (
            Reason::Overload | Reason::Limited | Reason::Shed | Reason::Woke | Reason::Deadline,
            _,
        ) => Report::Refused(load, refusal.retry_after.unwrap_or_default()),
        (_, Outcome::Answered | Outcome::NotRun | Outcome::Unknown) => Report::Cancelled,
    }
}

/// Cancels the attempt at its executor if the caller disconnects before the end. Closing the
/// connection is not enough: the executor can't tell it from a lost one, and a run whose
/// connection was lost goes on.
struct CancelOnDrop {
    node: Rc<Node>,
    attempt: Option<AttemptLocation>,
}

#[derive(Clone, Copy)]
enum AttemptLocation {
    Local(WireAttemptRef),
    Remote(RemoteAttempt),
}

impl CancelOnDrop {
    fn local(node: &Rc<Node>, attempt: &Attempt) -> Self {
        let message = WireAttemptRef {
            attempt: attempt.id,
            ticket: attempt.ticket,
        };
        Self {
            node: Rc::clone(node),
            attempt: Some(AttemptLocation::Local(message)),
        }
    }

    fn remote(node: &Rc<Node>, remote: RemoteAttempt) -> Self {
        Self {
            node: Rc::clone(node),
            attempt: Some(AttemptLocation::Remote(remote)),
        }
    }

    fn disarm(mut self) {
        self.attempt = None;
    }
}

impl Drop for CancelOnDrop {
    fn drop(&mut self) {
        let Some(location) = self.attempt.take() else {
            return;
        };
        let node = Rc::clone(&self.node);
        ntex::rt::spawn(async move {
            match location {
                AttemptLocation::Local(message) => {
                    super::settle::cancel(&node, message);
                }
                AttemptLocation::Remote(remote) => cancel_remote(&node, remote).await,
            }
        });
    }
}

async fn cancel_remote(node: &Rc<Node>, remote: RemoteAttempt) {
    let message = WireAttemptRef {
        attempt: remote.attempt,
        ticket: remote.ticket,
    };
    let sent = node
        .calls
        .peers
        .send::<WireAttemptStatus>(remote.addr, "/peer/cancel", &message);
    // If the message is lost, the run ends at its deadline.
    let _ = ntex::time::timeout(UNREACHABLE_RETRY, sent).await;
}
