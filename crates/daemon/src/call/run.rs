//! One run of an attempt at its executor, from the queue until its outcome is recorded.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use ntex::channel::oneshot;
use ntex::util::{Either, select};
use stoatstep_calls::{Answer, AttemptId, AttemptStatus, Deadline, Outcome, Reason, Refusal};

use super::executor::DRAINING_RETRY;
use super::in_flight::{CallStage, InFlight};
use super::keyed::{self, KeyResolution};
use super::target::RunEnd;
use super::wire::Attempt;
use super::{slot, statements, tables};
use crate::node::Node;

/// Largest answer that the ledger and the table of idempotency keys keep.
const MAX_STORED_ANSWER: usize = 256 << 10;

/// Time for which a run with an idempotency key goes on after its deadline. The caller's next
/// try with the key then finds the answer instead of "unknown".
const KEYED_EXTENSION: Duration = Duration::from_secs(30);

/// How a run ended, and how long it spent in the queue and in the target.
#[derive(Clone, Debug)]
pub(super) struct RunOutcome {
    pub(super) end: RunEnd,
    pub(super) queue: Duration,
    pub(super) target: Duration,
}

impl RunOutcome {
    pub(super) fn of(end: RunEnd) -> Self {
        Self {
            end,
            queue: Duration::ZERO,
            target: Duration::ZERO,
        }
    }
}

/// Starts the run as a task of its own, which outlives the entry's connection: if that breaks,
/// the entry can still get the answer from the ledger.
pub(super) fn start(
    node: &Rc<Node>,
    attempt: Attempt,
    in_flight: Rc<InFlight>,
) -> oneshot::Receiver<RunOutcome> {
    let (tx, rx) = oneshot::channel();
    let (cancel, cancelled) = oneshot::channel();
    let run = tables::Run {
        cancel: Some(cancel),
        keyed: attempt.key.is_some(),
        waiters: Vec::new(),
    };
    let mut tables = node.calls.executor.borrow_mut();
    tables.runs.insert(attempt.id, run);
    drop(tables);
    let node = Rc::clone(node);
    ntex::rt::spawn(async move {
        let outcome = run_or_cancel(&node, &attempt, &in_flight, cancelled).await;
        in_flight.set_stage(CallStage::Replying);
        finish(&node, &attempt, &outcome.end);
        // If the entry's connection is closed, the ledger holds the outcome.
        let _ = tx.send(outcome);
        drop(in_flight);
    });
    rx
}

/// Cancels a run that has not ended.
pub(super) fn cancel(node: &Rc<Node>, attempt: AttemptId) {
    let mut tables = node.calls.executor.borrow_mut();
    let run = tables.runs.get_mut(&attempt);
    if let Some(cancel) = run.and_then(|it| it.cancel.take()) {
        let _ = cancel.send(());
    }
}

/// Cancels all runs that have not ended.
pub(super) fn cancel_all(node: &Rc<Node>) {
    let tables = node.calls.executor.borrow();
    let attempts: Vec<_> = tables.runs.keys().copied().collect();
    drop(tables);
    for attempt in attempts {
        cancel(node, attempt);
    }
}

/// Cancels a run that has not ended, unless it has an idempotency key: the caller's next try
/// with the key should find the answer.
pub(super) fn cancel_unkeyed(node: &Rc<Node>, attempt: AttemptId) {
    let tables = node.calls.executor.borrow();
    let keyed = tables.runs.get(&attempt).is_some_and(|run| run.keyed);
    drop(tables);
    if !keyed {
        cancel(node, attempt);
    }
}

async fn run_or_cancel(
    node: &Rc<Node>,
    attempt: &Attempt,
    in_flight: &InFlight,
    cancelled: oneshot::Receiver<()>,
) -> RunOutcome {
    match select(cancelled, run_attempt(node, attempt, in_flight)).await {
        Either::Left(_) => RunOutcome::of(RunEnd::Refused(refusal_of_cancelled(node, attempt))),
        Either::Right(outcome) => outcome,
    }
}

fn refusal_of_cancelled(node: &Rc<Node>, attempt: &Attempt) -> Refusal {
    let now = node.calls.clock.now();
    let tables = node.calls.executor.borrow();
    match tables.ledger.peek(attempt.id, attempt.ticket, now) {
        AttemptStatus::Queued | AttemptStatus::NotRun if node.calls.drain.borrow().ends_calls() => {
            Refusal::retry(Reason::Draining, DRAINING_RETRY)
        }
        AttemptStatus::Queued | AttemptStatus::NotRun => Refusal::permanent(Reason::Revoked),
        _ => Refusal::permanent(Reason::LostAnswer),
    }
}

async fn run_attempt(node: &Rc<Node>, attempt: &Attempt, in_flight: &InFlight) -> RunOutcome {
    let arrived = node.calls.clock.now();
    let deadline = Deadline::after(attempt.left, arrived);
    if let Some(key) = &attempt.key
        && let KeyResolution::Ended(end) = keyed::resolve(node, attempt, key, deadline).await
    {
        return RunOutcome::of(end);
    }
    let slot = match slot::acquire(node, attempt, deadline).await {
        Ok(slot) => slot,
        Err(refusal) => return RunOutcome::of(RunEnd::Refused(refusal)),
    };
    if let Some(key) = &attempt.key
        && let Err(end) = keyed::claim(node, attempt, key, deadline).await
    {
        return RunOutcome::of(end);
    }
    let started = node.calls.clock.now();
    let Some(left) = deadline.for_next_hop(started) else {
        return RunOutcome::of(RunEnd::refused(Reason::Deadline));
    };
    if !node.calls.executor.borrow_mut().ledger.start(attempt.id) {
        return RunOutcome::of(RunEnd::refused(Reason::Revoked));
    }
    in_flight.set_stage(CallStage::Running);
    let timeout = match attempt.key {
        Some(_) => left + KEYED_EXTENSION,
        None => left,
    };
    let target = node.calls.target.borrow().clone();
    let due = started + timeout;
    let on_statement = |it| statements::record(node, it);
    let on_foreign = |foreign: &_| statements::record_foreign(node, foreign);
    let end = node
        .calls
        .timers
        .run_until(due, target.call(attempt, left, on_statement, on_foreign))
        .await;
    let end = end.unwrap_or(RunEnd::refused(Reason::TimedOut));
    if matches!(end, RunEnd::Done(_)) {
        slot.finish();
    }
    RunOutcome {
        end,
        queue: started.saturating_sub(arrived),
        target: node.calls.clock.now().saturating_sub(started),
    }
}

fn finish(node: &Rc<Node>, attempt: &Attempt, end: &RunEnd) {
    match end {
        RunEnd::Done(answer) => keyed::record_answer(node, attempt, answer),
        RunEnd::Refused(refusal) if refusal.outcome() == Outcome::NotRun => {
            keyed::release_claim(node, attempt);
        }
        RunEnd::Refused(_) => {}
    }
    let mut tables = node.calls.executor.borrow_mut();
    match end {
        RunEnd::Done(answer) => record_done(&mut tables, attempt, answer),
        RunEnd::Refused(refusal) => record_refused(&mut tables, attempt, refusal),
    }
    let waiters = tables.runs.remove(&attempt.id).map(|run| run.waiters);
    drop(tables);
    for waiter in waiters.into_iter().flatten() {
        let _ = waiter.send(());
    }
}

fn record_done(tables: &mut tables::ExecutorTables, attempt: &Attempt, answer: &Arc<Answer>) {
    // An attempt that got a stored answer did not pass through the queue, so the ledger does not
    // know it as started yet.
    let _ = tables.ledger.start(attempt.id);
    if answer.memory_size() > MAX_STORED_ANSWER {
        tables.ledger.done_without_answer(attempt.id);
    } else {
        tables.ledger.done(attempt.id, Arc::clone(answer));
    }
    let Some(key) = &attempt.key else {
        return;
    };
    if answer.memory_size() > MAX_STORED_ANSWER {
        tables.keys.done_without_answer(key, attempt.id);
    } else {
        tables.keys.done(key, attempt.id, Arc::clone(answer));
    }
}

fn record_refused(tables: &mut tables::ExecutorTables, attempt: &Attempt, refusal: &Refusal) {
    let not_run = refusal.outcome() == Outcome::NotRun;
    if not_run {
        tables.ledger.refused(attempt.id);
    } else {
        let _ = tables.ledger.start(attempt.id);
        tables.ledger.lost(attempt.id);
    }
    let Some(key) = &attempt.key else {
        return;
    };
    if not_run {
        tables.keys.release(key, attempt.id);
    } else {
        tables.keys.lost(key, attempt.id);
    }
}
