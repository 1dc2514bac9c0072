//! Slots of the target: waiting for one, and giving it back.

use std::rc::Rc;
use std::time::Duration;

use ntex::channel::oneshot;
use stoatstep_calls::{
    AdmissionDecision, AdmissionRequest, AttemptId, Deadline, Dispatch, Reason, Refusal,
};

use super::wire::Attempt;
use crate::node::Node;

/// A slot, or a place in the queue. Dropping it gives back whichever it is, so
/// that a run that is cancelled at any point cannot leak a slot.
pub(super) struct Slot {
    node: Rc<Node>,
    attempt: AttemptId,
    measured: bool,
}

impl Slot {
    /// The run ended by itself: its time counts for the estimate.
    pub(super) fn finish(mut self) {
        self.measured = true;
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let now = self.node.calls.clock.now();
        let mut tables = self.node.calls.executor.borrow_mut();
        tables.waiting.remove(&self.attempt);
        if self.measured {
            tables.admission.release(self.attempt, now);
        } else {
            tables.admission.release_unmeasured(self.attempt);
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
    let now = node.calls.clock.now();
    let ask = AdmissionRequest {
        attempt: attempt.id,
        tenant: attempt.call.tenant.clone(),
        class: attempt.call.class,
        weight: attempt.call.weight,
        concurrency: attempt.call.concurrency,
        expires: deadline.expires(),
    };
    let offered = node.calls.executor.borrow_mut().admission.offer(ask, now);
    let (verdict, pushed_out) = offered;
    deliver(node, pushed_out);
    if let AdmissionDecision::Refused(refusal) = verdict {
        return Err(refusal);
    }
    let slot = Slot {
        node: Rc::clone(node),
        attempt: attempt.id,
        measured: false,
    };
    if verdict == AdmissionDecision::Wait {
        wait(node, attempt.id).await?;
    }
    Ok(slot)
}

async fn wait(node: &Rc<Node>, attempt: AttemptId) -> Result<(), Refusal> {
    let (tx, rx) = oneshot::channel();
    node.calls.executor.borrow_mut().waiting.insert(attempt, tx);
    let gone = Refusal::retry(Reason::Overload, Duration::from_millis(10));
    rx.await.unwrap_or(Err(gone))
}

/// Starts and refuses what waits, as the queue decides now.
pub(super) fn pump(node: &Rc<Node>) {
    let now = node.calls.clock.now();
    let dispatches = node.calls.executor.borrow_mut().admission.next(now);
    deliver(node, dispatches);
}

pub(super) fn deliver(node: &Rc<Node>, dispatches: Vec<Dispatch>) {
    for dispatch in dispatches {
        let (attempt, word) = match dispatch {
            Dispatch::Run(attempt) => (attempt, Ok(())),
            Dispatch::Refused(attempt, refusal) => (attempt, Err(refusal)),
        };
        let waiting = node.calls.executor.borrow_mut().waiting.remove(&attempt);
        if let Some(tx) = waiting {
            // Where nobody listens any more, the waiter's own slot is being
            // dropped and gives the place back.
            let _ = tx.send(word);
        }
    }
}
