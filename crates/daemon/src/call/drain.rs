//! Graceful stop of this daemon: answers all calls, hands over the idempotency keys, then ends.

use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};

use ntex::time::{Millis, timeout};
use stoatstep_calls::DrainStep;

use super::{handover, run};
use crate::node::Node;

/// Longest wait for the platform to store the idempotency keys, so that a stop does not hang
/// during an outage.
const HANDOVER_TIMEOUT: Millis = Millis(3_000);

/// Whether a stop was requested. Signals arrive on the main thread and calls run on the worker's,
/// so this flag and [`FINISHED`] are atomics. Both only ever go from unset to set.
static REQUESTED: AtomicBool = AtomicBool::new(false);
/// Whether the drain has ended and the ports may close.
static FINISHED: AtomicBool = AtomicBool::new(false);

/// Requests the stop. May be called on any thread.
pub(crate) fn request_stop() {
    REQUESTED.store(true, Ordering::Relaxed);
}

/// Whether every call was answered to the last byte, so that the ports may close. If they closed
/// earlier, entries that do not know of the drain yet would lose attempts instead of being told
/// "not run".
pub(crate) fn is_finished() -> bool {
    FINISHED.load(Ordering::Relaxed)
}

/// Starts the drain; further calls have no effect.
pub(crate) fn start(node: &Rc<Node>) {
    if node.draining.replace(true) {
        return;
    }
    let now = node.calls.clock.now();
    node.calls.drain.borrow_mut().begin(now);
    slog::info!(node.log, "draining"; "in_flight" => node.calls.in_flight.borrow().len());
}

/// Advances the drain.
pub(super) fn tick(node: &Rc<Node>) {
    if REQUESTED.load(Ordering::Relaxed) {
        start(node);
    }
    let now = node.calls.clock.now();
    let unanswered = node.calls.in_flight.borrow().len() + unwritten(node);
    let step = node.calls.drain.borrow_mut().tick(unanswered, now);
    match step {
        // Gossip and readiness announce the drain; they read the flag that `start` has set.
        DrainStep::Wait | DrainStep::Announce => return,
        DrainStep::EndCalls(calls) => {
            end_calls(node, calls, "ending the calls in flight");
            return;
        }
        DrainStep::Leave => slog::info!(node.log, "drained"),
        DrainStep::LeaveUnfinished(calls) => {
            // The step before may have been missed, such as by a process that was suspended.
            end_calls(node, calls, "stopping with calls in flight");
        }
    }
    if !node.calls.leaving.replace(true) {
        ntex::rt::spawn(leave(Rc::clone(node)));
    }
}

/// Logs the calls in flight, and ends them with what is known of their outcome.
fn end_calls(node: &Rc<Node>, calls: u32, what: &'static str) {
    let stages = node.calls.in_flight.borrow().list(node.calls.clock.now());
    slog::error!(
        node.log, "{}", what;
        "calls" => calls, "unwritten" => unwritten(node), "stages" => stages,
    );
    node.metrics.count("calls.cut_off", i64::from(calls));
    node.calls.cutoff.notify_and_lock_readiness();
    run::cancel_all(node);
}

/// Returns the number of connections with answers that are not written completely.
fn unwritten(node: &Node) -> u32 {
    u32::try_from(node.calls.pending_writes.len()).unwrap_or(u32::MAX)
}

async fn leave(node: Rc<Node>) {
    let handed_over = timeout(HANDOVER_TIMEOUT, handover::store_snapshot(&node)).await;
    if handed_over.is_err() {
        slog::warn!(node.log, "idempotency keys not handed over in time");
    }
    FINISHED.store(true, Ordering::Relaxed);
}
