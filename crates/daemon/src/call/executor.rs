//! Executor: runs attempts of entries on this instance's target.

use std::rc::Rc;
use std::time::Duration;

use ntex::http::{Request, Response, StatusCode};
use stoatstep_calls::{Arrival, AttemptId, AttemptStatus, Reason, Refusal};

use super::in_flight::InFlight;
use super::run::{self, Report};
use super::target::RunEnd;
use super::wire::{Attempt, WireAttempt, WireEnd, WireReply};
use super::{homes, peers, settle};
use crate::http::msgpack;
use crate::node::Node;

/// Pause after which another executor has heard of the drain.
const DRAINING_RETRY: Duration = Duration::from_millis(100);

/// Answers one message of another daemon about calls; `None` where it is about
/// something else.
pub(crate) async fn handle(node: &Rc<Node>, req: &mut Request) -> Option<Response> {
    let path = req.path().to_owned();
    let answer = match path.as_str() {
        "/peer/attempt" => attempt(node, req).await,
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

async fn attempt(node: &Rc<Node>, req: &mut Request) -> Option<Response> {
    let wire: WireAttempt = peers::receive(req).await?;
    let attempt = Attempt::try_from(wire).ok()?;
    Some(ok(&execute(node, attempt).await))
}

/// Runs one attempt. Also the way of an entry to its own target, without a
/// connection in between.
pub(super) async fn execute(node: &Rc<Node>, attempt: Attempt) -> WireReply {
    let report = match arrive(node, &attempt) {
        Ok(()) => carry(node, attempt).await,
        Err(end) => Report::of(end),
    };
    reply(node, report)
}

fn arrive(node: &Rc<Node>, attempt: &Attempt) -> Result<(), RunEnd> {
    if !node.calls.drain.borrow().admits() {
        let refusal = Refusal::retry(Reason::Draining, DRAINING_RETRY);
        return Err(RunEnd::Refused(refusal));
    }
    let now = node.calls.clock.now();
    let mut tables = node.calls.executor.borrow_mut();
    match tables.ledger.arrive(attempt.id, attempt.ticket, now) {
        Arrival::New => Ok(()),
        Arrival::Refused(refusal) => Err(RunEnd::Refused(refusal)),
        Arrival::Seen(AttemptStatus::Done(answer)) => Err(RunEnd::Done(answer)),
        Arrival::Seen(_) => Err(RunEnd::refused(Reason::LostAnswer)),
    }
}

async fn carry(node: &Rc<Node>, attempt: Attempt) -> Report {
    let in_flight = InFlight::enter(node);
    let id = attempt.id;
    let idempotent = attempt.call.idempotent;
    let ended = run::start(node, attempt, in_flight);
    let gone = OnGone {
        node,
        id,
        armed: idempotent,
    };
    let report = ended.await;
    gone.disarm();
    report.unwrap_or_else(|_| Report::of(RunEnd::refused(Reason::LostAnswer)))
}

fn reply(node: &Rc<Node>, report: Report) -> WireReply {
    let now = node.calls.clock.now();
    let tables = node.calls.executor.borrow();
    WireReply {
        ticket: tables.ledger.ticket(now),
        load: tables.admission.load(),
        queue_us: micros(report.queue),
        target_us: micros(report.target),
        end: match report.end {
            RunEnd::Done(answer) => WireEnd::Answered(answer),
            RunEnd::Refused(refusal) => WireEnd::Refused(refusal),
        },
    }
}

pub(super) fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

/// Cancels the run when the entry's connection goes. Only for runs that may be
/// repeated: the answer of another one may still be asked for.
struct OnGone<'a> {
    node: &'a Rc<Node>,
    id: AttemptId,
    armed: bool,
}

impl OnGone<'_> {
    fn disarm(mut self) {
        self.armed = false;
    }
}

impl Drop for OnGone<'_> {
    fn drop(&mut self) {
        if self.armed {
            run::cancel(self.node, self.id);
        }
    }
}
