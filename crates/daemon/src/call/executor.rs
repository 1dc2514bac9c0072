//! Executor: runs the attempts that entries send on this instance's target.

use std::rc::Rc;
use std::time::Duration;

use ntex::http::{Request, Response, StatusCode};
use stoatstep_calls::{Arrival, AttemptId, AttemptStatus, Reason, Refusal};

use super::in_flight::{CallStage, InFlight};
use super::run::{self, RunOutcome};
use super::target::RunEnd;
use super::wire::{Attempt, WireAttempt, WireCall, WireEnd, WireReply};
use super::{homes, peers, settle};
use crate::http::msgpack;
use crate::node::Node;

/// Retry delay sent to entries and callers while this daemon is draining. After it, entries know of
/// the drain and choose another executor.
pub(super) const DRAINING_RETRY: Duration = Duration::from_millis(100);

/// Answers a message of another daemon if it is about calls, otherwise returns `None`.
pub(crate) async fn handle(node: &Rc<Node>, req: &mut Request) -> Option<Response> {
    let path = req.path().to_owned();
    let answer = match path.as_str() {
        "/peer/attempt" => answer_attempt(node, req).await,
        "/peer/peek" => peers::receive(req)
            .await
            .map(|it| ok(&settle::peek(node, it))),
        "/peer/revoke" => peers::receive(req)
            .await
            .map(|it| ok(&settle::revoke(node, it))),
        "/peer/cancel" => peers::receive(req)
            .await
            .map(|it| ok(&settle::cancel(node, it))),
        "/peer/home" => peers::receive(req)
            .await
            .map(|it| ok(&homes::answer(node, &it))),
        _ => return None,
    };
    Some(answer.unwrap_or_else(|| Response::new(StatusCode::BAD_REQUEST)))
}

fn ok(body: &impl serde::Serialize) -> Response {
    msgpack(StatusCode::OK, body)
}

async fn answer_attempt(node: &Rc<Node>, req: &mut Request) -> Option<Response> {
    let wire: WireAttempt = peers::receive(req).await?;
    let mut attempt = Attempt::try_from(wire).ok()?;
    let Some(lease) = node.calls.bodies.try_lease(attempt.call.body.len()) else {
        let refusal = Refusal::retry(Reason::MemoryFull, DRAINING_RETRY);
        let refused = RunOutcome::of(RunEnd::Refused(refusal));
        return Some(ok(&reply(node, refused)));
    };
    let call = Rc::unwrap_or_clone(attempt.call);
    let body = call.body.clone().with_lease(lease);
    attempt.call = Rc::new(WireCall { body, ..call });
    // The run releases its share when it ends, which is before the reply is sent.
    let in_flight = Rc::new(InFlight::enter(node, CallStage::Queued));
    Some(ok(&execute(node, attempt, Rc::clone(&in_flight)).await))
}

/// Runs one attempt and returns the reply for its entry. The entry of this daemon calls it
/// directly, without a connection.
pub(super) async fn execute(
    node: &Rc<Node>,
    attempt: Attempt,
    in_flight: Rc<InFlight>,
) -> WireReply {
    in_flight.set_request(&attempt.call.request_id);
    let outcome = match accept(node, &attempt) {
        Ok(()) => run_to_end(node, attempt, in_flight).await,
        Err(end) => RunOutcome::of(end),
    };
    reply(node, outcome)
}

fn accept(node: &Rc<Node>, attempt: &Attempt) -> Result<(), RunEnd> {
    if !node.calls.drain.borrow().admits() || node.calls.target_leaves.get() {
        let refusal = Refusal::retry(Reason::Draining, DRAINING_RETRY);
        return Err(RunEnd::Refused(refusal));
    }
    let now = node.calls.clock.now();
    let mut tables = node.calls.executor.borrow_mut();
    if let Some(limit) = attempt.limit {
        tables.admission.limiter_mut().adopt(limit, now);
    }
    match tables.ledger.arrive(attempt.id, attempt.ticket, now) {
        Arrival::New => Ok(()),
        Arrival::Refused(refusal) => Err(RunEnd::Refused(refusal)),
        Arrival::Seen(AttemptStatus::Done(answer)) => Err(RunEnd::Done(answer)),
        Arrival::Seen(_) => Err(RunEnd::refused(Reason::LostAnswer)),
    }
}

async fn run_to_end(node: &Rc<Node>, attempt: Attempt, in_flight: Rc<InFlight>) -> RunOutcome {
    let id = attempt.id;
    let idempotent = attempt.call.idempotent;
    let receiver = run::start(node, attempt, in_flight);
    let guard = CancelOnDisconnect {
        node,
        id,
        armed: idempotent,
    };
    let outcome = receiver.await;
    guard.disarm();
    outcome.unwrap_or_else(|_| RunOutcome::of(RunEnd::refused(Reason::LostAnswer)))
}

fn reply(node: &Rc<Node>, outcome: RunOutcome) -> WireReply {
    let now = node.calls.clock.now();
    let tables = node.calls.executor.borrow();
    WireReply {
        ticket: tables.ledger.ticket(now),
        load: tables.admission.load(now),
        queue_us: micros(outcome.queue),
        target_us: micros(outcome.target),
        end: match outcome.end {
            RunEnd::Done(answer) => WireEnd::Answered(answer),
            RunEnd::Refused(refusal) => WireEnd::Refused(refusal),
        },
    }
}

pub(super) fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

/// Cancels the run when the entry's connection closes. This is only done for idempotent calls;
/// for any other the entry may still ask the ledger for the answer.
struct CancelOnDisconnect<'a> {
    node: &'a Rc<Node>,
    id: AttemptId,
    armed: bool,
}

impl CancelOnDisconnect<'_> {
    fn disarm(mut self) {
        self.armed = false;
    }
}

impl Drop for CancelOnDisconnect<'_> {
    fn drop(&mut self) {
        if self.armed {
            run::cancel(self.node, self.id);
        }
    }
}
