//! One attempt of a call at one executor, seen from the entry.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ntex::util::{Either, select};
use stoatstep_calls::{Deadline, Load, Outcome, Reason, Refusal, Report};

use super::executor;
use super::peers::PeerError;
use super::request::Call;
use super::settle::Remote;
use super::target::RunEnd;
use super::wire::{Attempt, WireAttempt, WireEnd, WireReply, WireSettle, WireSettled};
use crate::node::Node;

/// Fresh tickets that one attempt may ask for. The first refusal hands out a
/// new one, and a second one in a row is rare.
const TICKETS: u32 = 3;

/// Pause before another try where a connection did not come up.
const UNREACHABLE_RETRY: Duration = Duration::from_millis(100);

/// Time past the deadline in which an executor may still say how it ended.
const LAST_WORD: Duration = Duration::from_millis(20);

/// How an attempt ended, for the caller and for the router.
pub(super) struct Ended {
    pub(super) end: RunEnd,
    pub(super) report: Report,
    pub(super) queue: Duration,
    pub(super) target: Duration,
}

impl Ended {
    fn failed(end: RunEnd) -> Self {
        Self {
            end,
            report: Report::Failed,
            queue: Duration::ZERO,
            target: Duration::ZERO,
        }
    }

    /// No executor was asked.
    pub(super) fn not_tried(end: RunEnd) -> Self {
        Self::failed(end)
    }

    fn settled(end: RunEnd) -> Self {
        // The connection failed, whatever the ledger then said.
        Self::failed(end)
    }
}

/// Runs one attempt at the daemon at `addr`.
pub(super) async fn run(node: &Rc<Node>, call: &Call, addr: SocketAddr) -> Ended {
    for _ in 0..TICKETS {
        let ended = once(node, call, addr).await;
        let stale = matches!(&ended.end, RunEnd::Refused(it) if it.reason == Reason::StaleTicket);
        if !stale {
            return ended;
        }
    }
    let refusal = Refusal::retry(Reason::StaleTicket, UNREACHABLE_RETRY);
    Ended::failed(RunEnd::Refused(refusal))
}

async fn once(node: &Rc<Node>, call: &Call, addr: SocketAddr) -> Ended {
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
    let wire = WireAttempt {
        attempt: node.calls.entry.borrow_mut().attempt_id(),
        ticket,
        left_us: executor::micros(left),
        call: Rc::clone(&call.parts),
    };
    if own {
        return local(node, wire).await;
    }
    remote(node, call.deadline, addr, &wire).await
}

fn cancelled(end: RunEnd) -> Ended {
    Ended {
        end,
        report: Report::Cancelled,
        queue: Duration::ZERO,
        target: Duration::ZERO,
    }
}

async fn local(node: &Rc<Node>, wire: WireAttempt) -> Ended {
    let Ok(attempt) = Attempt::try_from(wire) else {
        return cancelled(RunEnd::refused(Reason::BadRequest));
    };
    let guard = CancelOnDrop::local(node, &attempt);
    let reply = executor::execute(node, attempt).await;
    guard.disarm();
    of_reply(reply)
}

async fn remote(
    node: &Rc<Node>,
    deadline: Deadline,
    addr: SocketAddr,
    wire: &WireAttempt,
) -> Ended {
    let remote = Remote {
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
    remote: Remote,
    wire: &WireAttempt,
) -> Ended {
    let peers = &node.calls.peers;
    let sent = peers.send::<WireReply>(remote.addr, "/peer/attempt", wire);
    let last_word = node.calls.alarms.until(deadline.expires() + LAST_WORD);
    let watch = select(remote.silent(node, wire.call.idempotent), last_word);
    match select(sent, watch).await {
        Either::Left(Ok(reply)) => {
            peers.set_ticket(remote.addr, reply.ticket);
            of_reply(reply)
        }
        Either::Left(Err(PeerError::NotSent)) => {
            let refusal = Refusal::retry(Reason::NoUpstream, UNREACHABLE_RETRY);
            Ended::failed(RunEnd::Refused(refusal))
        }
        Either::Left(Err(PeerError::Lost)) => Ended::settled(remote.settle(node, deadline).await),
        // The old connection was dropped with its future.
        Either::Right(Either::Left(true)) => {
            peers.retire(remote.addr).await;
            Ended::settled(remote.settle(node, deadline).await)
        }
        Either::Right(Either::Left(false)) => {
            peers.retire(remote.addr).await;
            Ended::failed(RunEnd::refused(Reason::LostAnswer))
        }
        Either::Right(Either::Right(())) => {
            let end = remote.settle(node, deadline).await;
            // A slow target is no fault of its daemon.
            cancelled(end)
        }
    }
}

fn of_reply(reply: WireReply) -> Ended {
    let load = Some(reply.load);
    let end = match reply.end {
        WireEnd::Answered(answer) => RunEnd::Done(answer),
        WireEnd::Refused(refusal) => RunEnd::Refused(refusal),
    };
    Ended {
        report: report(&end, load),
        end,
        queue: Duration::from_micros(reply.queue_us),
        target: Duration::from_micros(reply.target_us),
    }
}

fn report(end: &RunEnd, load: Option<Load>) -> Report {
    let refusal = match end {
        RunEnd::Done(_) => return Report::Answered(load),
        RunEnd::Refused(refusal) => refusal,
    };
    match (refusal.reason, refusal.outcome()) {
        (Reason::Draining, _) => Report::Leaving,
        // The daemon is there, and its target is not or breaks its answers.
        (Reason::NoUpstream | Reason::LostAnswer, _) => Report::Failed,
        (Reason::Overload | Reason::Shed | Reason::Woke | Reason::Deadline, _) => {
            Report::Refused(load, refusal.retry_after.unwrap_or_default())
        }
        (_, Outcome::Answered | Outcome::NotRun | Outcome::Unknown) => Report::Cancelled,
    }
}

/// Tells the executor when the caller goes away before the end. Closing the
/// connection alone is not enough: it looks like a lost one, and what runs on
/// a lost connection is kept.
struct CancelOnDrop {
    node: Rc<Node>,
    attempt: Option<Place>,
}

#[derive(Clone, Copy)]
enum Place {
    Local(WireSettle),
    Remote(Remote),
}

impl CancelOnDrop {
    fn local(node: &Rc<Node>, attempt: &Attempt) -> Self {
        let message = WireSettle {
            attempt: attempt.id,
            ticket: attempt.ticket,
        };
        Self {
            node: Rc::clone(node),
            attempt: Some(Place::Local(message)),
        }
    }

    fn remote(node: &Rc<Node>, remote: Remote) -> Self {
        Self {
            node: Rc::clone(node),
            attempt: Some(Place::Remote(remote)),
        }
    }

    fn disarm(mut self) {
        self.attempt = None;
    }
}

impl Drop for CancelOnDrop {
    fn drop(&mut self) {
        let Some(place) = self.attempt.take() else {
            return;
        };
        let node = Rc::clone(&self.node);
        ntex::rt::spawn(async move {
            match place {
                Place::Local(message) => {
                    super::settle::cancel(&node, message);
                }
                Place::Remote(remote) => cancel_remote(&node, remote).await,
            }
        });
    }
}

async fn cancel_remote(node: &Rc<Node>, remote: Remote) {
    let message = WireSettle {
        attempt: remote.attempt,
        ticket: remote.ticket,
    };
    let sent = node
        .calls
        .peers
        .send::<WireSettled>(remote.addr, "/peer/cancel", &message);
    // Where it gets lost the run ends by its deadline.
    let _ = ntex::time::timeout(UNREACHABLE_RETRY, sent).await;
}
