//! Slots of the target: waits for one in the queue, and releases it.

use std::rc::Rc;

use stoatstep_calls::{
    AdmissionDecision, AttemptId, Dispatch, QueueRequest, Reason, Refusal, Time,
};
use tokio::sync::oneshot;
use tokio::time::sleep;

use super::QUEUE_RETRY;
use crate::mechanism::Mechanism;
use crate::node::Node;
use crate::wire::Attempt;

/// Guard of a slot or a place in the queue. Dropping it releases either, so that a run that
/// is cancelled at any point cannot leak a slot.
pub(super) struct Slot {
    node: Rc<Node>,
    attempt: AttemptId,
    is_measured: bool,
}

impl Slot {
    /// Releases the slot of a run that was answered, whose time counts for the estimate of
    /// run times.
    pub(super) fn finish(mut self) {
        self.is_measured = true;
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let now = self.node.clock.now();
        let mut tables = self.node.executor.tables.borrow_mut();
        tables.waiting.remove(&self.attempt);
        if self.is_measured {
            tables.queue.release(self.attempt, now);
        } else {
            tables.queue.release_unmeasured(self.attempt);
        }
        drop(tables);
        dispatch_waiting(&self.node);
    }
}

/// Takes a slot, waiting for it if the queue accepts the attempt.
pub(super) async fn take(
    node: &Rc<Node>,
    attempt: &Attempt,
    answer_by: Time,
) -> Result<Slot, Refusal> {
    let now = node.clock.now();
    let objective = if node.cfg.is_enabled(Mechanism::QueueObjective) {
        now + attempt.objective
    } else {
        answer_by
    };
    let ask = QueueRequest {
        attempt: attempt.id,
        kind: attempt.call.route.clone(),
        rank: attempt.call.priority,
        objective,
        expires: answer_by,
        late_wait: attempt.late_wait,
        usage: attempt.usage,
    };
    let (verdict, evicted) = offer(node, ask, now);
    deliver(node, evicted);
    schedule_start(node);
    if let AdmissionDecision::Refused(refusal) = verdict {
        return Err(refusal);
    }
    let slot = Slot {
        node: Rc::clone(node),
        attempt: attempt.id,
        is_measured: false,
    };
    if verdict == AdmissionDecision::Wait {
        wait(node, attempt.id).await?;
    }
    Ok(slot)
}

fn offer(node: &Node, ask: QueueRequest, now: Time) -> (AdmissionDecision, Vec<Dispatch>) {
    node.executor.tables.borrow_mut().queue.offer(ask, now)
}

async fn wait(node: &Rc<Node>, attempt: AttemptId) -> Result<(), Refusal> {
    let (tx, rx) = oneshot::channel();
    node.executor
        .tables
        .borrow_mut()
        .waiting
        .insert(attempt, tx);
    let dropped = Refusal::retry(Reason::Overload, QUEUE_RETRY);
    rx.await.unwrap_or(Err(dropped))
}

/// Starts or refuses waiting attempts, as the queue decides now.
pub(super) fn dispatch_waiting(node: &Rc<Node>) {
    let now = node.clock.now();
    let dispatches = node.executor.tables.borrow_mut().queue.next(now);
    deliver(node, dispatches);
    schedule_start(node);
}

/// Dispatches again when the target's limit lets the next waiting attempt start.
fn schedule_start(node: &Rc<Node>) {
    let now = node.clock.now();
    let next_start = node.executor.tables.borrow().queue.next_start(now);
    let Some(delay) = next_start else {
        return;
    };
    if node.executor.is_start_scheduled.replace(true) {
        return;
    }
    let node = Rc::clone(node);
    ntex::rt::spawn(async move {
        sleep(delay).await;
        node.executor.is_start_scheduled.set(false);
        dispatch_waiting(&node);
    });
}

/// Refuses all waiting attempts.
pub(super) fn flush(node: &Node, reason: Reason) {
    let dispatches = node.executor.tables.borrow_mut().queue.flush(reason);
    deliver(node, dispatches);
}

fn deliver(node: &Node, dispatches: Vec<Dispatch>) {
    for dispatch in dispatches {
        let (attempt, decision) = match dispatch {
            Dispatch::Run(attempt) => (attempt, Ok(())),
            Dispatch::Refused(attempt, refusal) => (attempt, Err(refusal)),
        };
        let waiting = node.executor.tables.borrow_mut().waiting.remove(&attempt);
        if let Some(tx) = waiting {
            // If nobody receives it, the attempt's own guard is being dropped and
            // releases the slot.
            let _ = tx.send(decision);
        }
    }
}
