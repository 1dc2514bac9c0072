//! Acquires and releases the slots of the target.

use std::rc::Rc;
use std::time::Duration;

use ntex::channel::oneshot;
use stoatstep_calls::{
    AdmissionDecision, AdmissionRequest, AttemptId, Deadline, Dispatch, Reason, Refusal,
};

use super::wire::Attempt;
use crate::node::Node;

/// A slot, or a place in the queue. Both are released on drop, so a run that is cancelled at any
/// point cannot leak a slot.
pub(super) struct Slot {
    node: Rc<Node>,
    attempt: AttemptId,
    measured: bool,
}

impl Slot {
    /// Releases the slot of a run that ended by itself, so that its run time is counted in the
    /// estimate.
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
        dispatch_waiting(&self.node);
    }
}

/// Acquires a slot. Waits in the queue if the admission decides so.
pub(super) async fn acquire(
    node: &Rc<Node>,
    attempt: &Attempt,
    deadline: Deadline,
) -> Result<Slot, Refusal> {
    let now = node.calls.clock.now();
    let request = AdmissionRequest {
        attempt: attempt.id,
        tenant: attempt.call.tenant.clone(),
        class: attempt.call.class,
        weight: attempt.call.weight,
        concurrency: attempt.call.concurrency,
        expires: deadline.expires(),
    };
    let admitted = node
        .calls
        .executor
        .borrow_mut()
        .admission
        .offer(request, now);
    let (decision, evicted) = admitted;
    deliver(node, evicted);
    if let AdmissionDecision::Refused(refusal) = decision {
        return Err(refusal);
    }
    let slot = Slot {
        node: Rc::clone(node),
        attempt: attempt.id,
        measured: false,
    };
    if decision == AdmissionDecision::Wait {
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

/// Starts or refuses waiting attempts as the queue decides at this moment.
pub(super) fn dispatch_waiting(node: &Rc<Node>) {
    let now = node.calls.clock.now();
    let dispatches = node.calls.executor.borrow_mut().admission.next(now);
    deliver(node, dispatches);
}

/// Notifies waiting attempts that they start or are refused.
pub(super) fn deliver(node: &Rc<Node>, dispatches: Vec<Dispatch>) {
    for dispatch in dispatches {
        let (attempt, result) = match dispatch {
            Dispatch::Run(attempt) => (attempt, Ok(())),
            Dispatch::Refused(attempt, refusal) => (attempt, Err(refusal)),
        };
        let waiting = node.calls.executor.borrow_mut().waiting.remove(&attempt);
        if let Some(tx) = waiting {
            // If the receiver is gone, the waiting attempt is being dropped, and its `Slot`
            // releases the place.
            let _ = tx.send(result);
        }
    }
}
