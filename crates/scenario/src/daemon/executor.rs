//! Executor: runs attempts on the instance's target and settles them.

use std::rc::Rc;
use std::sync::Arc;

use stoatstep_calls::{
    AdmissionDecision, AdmissionRequest, Answer, Arrival, AttemptId, AttemptStatus, Deadline,
    Outcome, Reason, Refusal, Ticket,
};
use stoatstep_membership::Time;

use super::calls::{End, InFlight, Run, deliver, pump};
use super::entry::{Attempt, Reply};
use super::{Node, keyed};
use crate::script::Safeguard;
use crate::world::exec::{first, oneshot};

const DRAINING_RETRY: Time = Time::from_millis(100);
const KEYED_EXTRA: Time = Time::from_secs(30);

/// Runs one attempt.
pub(super) async fn execute(node: Rc<Node>, attempt: Attempt) -> Reply {
    let end = match arrive(&node, &attempt) {
        Ok(()) => start(&node, attempt).await,
        Err(end) => end,
    };
    let now = node.now();
    let calls = node.calls.borrow();
    Reply {
        ticket: calls.ledger.ticket(now),
        load: calls.admission.load(now),
        end,
    }
}

fn arrive(node: &Node, attempt: &Attempt) -> Result<(), End> {
    if node.is_draining() && !node.world.is_without(Safeguard::Drain) {
        let refusal = Refusal::retry(Reason::Draining, DRAINING_RETRY);
        return Err(Err(refusal));
    }
    let now = node.now();
    let calls = &mut *node.calls.borrow_mut();
    if let Some(limit) = attempt.limit {
        calls.admission.limiter_mut().adopt(limit, now);
    }
    match calls.ledger.arrive(attempt.id, attempt.ticket, now) {
        Arrival::New => Ok(()),
        Arrival::Refused(refusal) => Err(Err(refusal)),
        Arrival::Seen(AttemptStatus::Done(answer)) => Err(Ok(answer)),
        Arrival::Seen(_) => Err(Err(Refusal::permanent(Reason::LostAnswer))),
    }
}

/// Runs the attempt as a task of its own, which outlives the connection.
async fn start(node: &Rc<Node>, attempt: Attempt) -> End {
    let (tx, rx) = oneshot();
    let (cancel, cancelled) = oneshot();
    let run = Run {
        cancel: Some(cancel),
        waiters: Vec::new(),
    };
    node.calls.borrow_mut().runs.insert(attempt.id, run);
    let in_flight = InFlight::enter(node);
    let running = Rc::clone(node);
    node.spawn(async move {
        let end = match first(cancelled, carry(&running, &attempt)).await {
            Ok(_) => Err(Refusal::permanent(reason_of_cancelled(&running, &attempt))),
            Err(end) => end,
        };
        finish(&running, &attempt, &end);
        tx.send(end);
        drop(in_flight);
    });
    let lost = Err(Refusal::permanent(Reason::LostAnswer));
    rx.await.unwrap_or(lost)
}

fn reason_of_cancelled(node: &Node, attempt: &Attempt) -> Reason {
    let calls = node.calls.borrow();
    match calls.ledger.peek(attempt.id, attempt.ticket, node.now()) {
        AttemptStatus::Queued | AttemptStatus::NotRun => Reason::Revoked,
        _ => Reason::LostAnswer,
    }
}

async fn carry(node: &Rc<Node>, attempt: &Attempt) -> End {
    let deadline = Deadline::after(attempt.left, node.now());
    let key = attempt.carried.key.as_ref();
    if let Some(key) = key
        && let Err(end) = keyed::open(node, attempt, key, deadline).await
    {
        return end;
    }
    let slot = take_slot(node, attempt, deadline).await?;
    if let Some(key) = key
        && let Err(end) = keyed::claim(node, attempt, key, deadline).await
    {
        return end;
    }
    let Some(left) = deadline.for_next_hop(node.now()) else {
        return Err(Refusal::permanent(Reason::Deadline));
    };
    if !node.calls.borrow_mut().ledger.start(attempt.id) {
        return Err(Refusal::permanent(Reason::Revoked));
    }
    let bound = if key.is_some() {
        left + KEYED_EXTRA
    } else {
        left
    };
    let end = node.world.exec.timeout(bound, target(node, attempt)).await;
    let end = end.unwrap_or(Err(Refusal::permanent(Reason::TimedOut)));
    if end.is_ok() {
        slot.finish();
    }
    end
}

/// The target: takes its time and repeats what it was asked for.
async fn target(node: &Rc<Node>, attempt: &Attempt) -> End {
    let call = &attempt.carried.call;
    let run = node.world.run_began(node, call);
    node.sleep(node.world.target_time).await;
    node.world.run_ended(run);
    if !node.world.is_without(Safeguard::TargetLimit) {
        let stated = node.world.stated_limit(node.index);
        let now = node.now();
        let calls = &mut *node.calls.borrow_mut();
        calls.admission.limiter_mut().record(stated, now);
    }
    Ok(Arc::new(Answer {
        status: 200,
        headers: Vec::new(),
        body: call.body.as_bytes().to_vec().into(),
    }))
}

fn finish(node: &Rc<Node>, attempt: &Attempt, end: &End) {
    let id = attempt.id;
    let is_not_run = matches!(end, Err(it) if it.outcome() == Outcome::NotRun);
    if is_not_run {
        keyed::unclaim(node, attempt);
    }
    let calls = &mut *node.calls.borrow_mut();
    match end {
        Ok(answer) => {
            let _ = calls.ledger.start(id);
            calls.ledger.done(id, Arc::clone(answer));
        }
        Err(_) if is_not_run => calls.ledger.refused(id),
        Err(_) => {
            let _ = calls.ledger.start(id);
            calls.ledger.lost(id);
        }
    }
    if let Some(key) = &attempt.carried.key {
        match end {
            Ok(answer) => calls.intents.done(key, id, Arc::clone(answer)),
            Err(_) if is_not_run => calls.intents.release(key, id),
            Err(_) => calls.intents.lost(key, id),
        }
    }
    let run = calls.runs.remove(&id).unwrap_or_default();
    for waiter in run.waiters {
        waiter.send(());
    }
}

/// Answers a question about an attempt.
pub(super) fn settle(
    node: &Node,
    attempt: AttemptId,
    ticket: Ticket,
    revoke: bool,
) -> AttemptStatus {
    let now = node.now();
    let calls = &mut *node.calls.borrow_mut();
    if !revoke {
        return calls.ledger.peek(attempt, ticket, now);
    }
    let settled = calls.ledger.revoke(attempt, ticket, now);
    if settled == AttemptStatus::NotRun {
        let run = calls.runs.get_mut(&attempt);
        if let Some(cancel) = run.and_then(|it| it.cancel.take()) {
            cancel.send(());
        }
    }
    settled
}

/// A slot or a place in the queue; dropping it gives back whichever it is.
struct Slot {
    node: Rc<Node>,
    attempt: AttemptId,
    is_measured: bool,
}

impl Slot {
    fn finish(mut self) {
        self.is_measured = true;
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let now = self.node.now();
        let calls = &mut *self.node.calls.borrow_mut();
        calls.waiting.remove(&self.attempt);
        if self.is_measured {
            calls.admission.release(self.attempt, now);
        } else {
            calls.admission.release_unmeasured(self.attempt);
        }
        let pumped = Rc::clone(&self.node);
        self.node.spawn(async move { pump(&pumped) });
    }
}

async fn take_slot(
    node: &Rc<Node>,
    attempt: &Attempt,
    deadline: Deadline,
) -> Result<Slot, Refusal> {
    let now = node.now();
    let call = &attempt.carried.call;
    let tenant = if node.world.is_without(Safeguard::TenantShares) {
        "everyone".into()
    } else {
        call.tenant.clone()
    };
    let ask = AdmissionRequest {
        attempt: attempt.id,
        tenant,
        class: call.class,
        weight: 1,
        concurrency: None,
        expires: deadline.expires(),
    };
    let offered = node.calls.borrow_mut().admission.offer(ask, now);
    let (verdict, pushed_out) = offered;
    deliver(node, pushed_out);
    if let AdmissionDecision::Refused(refusal) = verdict {
        return Err(refusal);
    }
    let slot = Slot {
        node: Rc::clone(node),
        attempt: attempt.id,
        is_measured: false,
    };
    if verdict == AdmissionDecision::Wait {
        let (tx, rx) = oneshot();
        node.calls.borrow_mut().waiting.insert(attempt.id, tx);
        let gone = Refusal::retry(Reason::Overload, Time::from_millis(10));
        rx.await.unwrap_or(Err(gone))?;
    }
    Ok(slot)
}
