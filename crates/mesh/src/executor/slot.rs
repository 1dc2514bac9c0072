//! Slots of the target: waiting for one, and giving it back.

use std::rc::Rc;

use stoatstep_calls::{AttemptId, Deadline, Dispatch, QueueAsk, Reason, Refusal, Time, Verdict};
use tokio::sync::oneshot;

use super::QUEUE_RETRY;
use crate::mechanism::Mechanism;
use crate::node::Node;
use crate::wire::Attempt;

/// A slot, or a place in the queue. Dropping it gives back whichever it is, so
/// that a run that is cancelled at any point cannot leak a slot.
pub(super) struct Slot {
    node: Rc<Node>,
    attempt: AttemptId,
    is_measured: bool,
}

impl Slot {
    /// The run ended by itself: its time counts for the estimate.
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
        pump(&self.node);
    }
}

/// Takes a slot, waiting for it where that is worthwhile.
pub(super) async fn take(
    node: &Rc<Node>,
    attempt: &Attempt,
    deadline: Deadline,
) -> Result<Slot, Refusal> {
    let now = node.clock.now();
    let objective = if node.cfg.is_enabled(Mechanism::QueueObjective) {
        now + attempt.objective
    } else {
        deadline.expires()
    };
    let ask = QueueAsk {
        attempt: attempt.id,
        kind: attempt.call.route.clone(),
        rank: attempt.call.priority,
        objective,
        expires: deadline.expires(),
    };
    let (verdict, pushed_out) = offer(node, ask, now);
    deliver(node, pushed_out);
    if let Verdict::Refused(refusal) = verdict {
        return Err(refusal);
    }
    let slot = Slot {
        node: Rc::clone(node),
        attempt: attempt.id,
        is_measured: false,
    };
    if verdict == Verdict::Wait {
        wait(node, attempt.id).await?;
    }
    Ok(slot)
}

fn offer(node: &Node, ask: QueueAsk, now: Time) -> (Verdict, Vec<Dispatch>) {
    node.executor.tables.borrow_mut().queue.offer(ask, now)
}

async fn wait(node: &Rc<Node>, attempt: AttemptId) -> Result<(), Refusal> {
    let (tx, rx) = oneshot::channel();
    node.executor
        .tables
        .borrow_mut()
        .waiting
        .insert(attempt, tx);
    let gone = Refusal::retry(Reason::Overload, QUEUE_RETRY);
    rx.await.unwrap_or(Err(gone))
}

/// Starts and refuses what waits, as the queue decides now.
pub(super) fn pump(node: &Node) {
    let now = node.clock.now();
    let dispatches = node.executor.tables.borrow_mut().queue.next(now);
    deliver(node, dispatches);
}

/// Refuses all that waits.
pub(super) fn flush(node: &Node, reason: Reason) {
    let dispatches = node.executor.tables.borrow_mut().queue.flush(reason);
    deliver(node, dispatches);
}

fn deliver(node: &Node, dispatches: Vec<Dispatch>) {
    for dispatch in dispatches {
        let (attempt, word) = match dispatch {
            Dispatch::Run(attempt) => (attempt, Ok(())),
            Dispatch::Refused(attempt, refusal) => (attempt, Err(refusal)),
        };
        let waiting = node.executor.tables.borrow_mut().waiting.remove(&attempt);
        if let Some(tx) = waiting {
            // Where nobody listens any more, the waiter's own slot is being
            // dropped and gives the place back.
            let _ = tx.send(word);
        }
    }
}
