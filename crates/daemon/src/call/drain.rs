//! Graceful stop of this daemon.

use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use ntex::time::{Millis, timeout};
use stoatstep_calls::DrainStep;

use super::handover;
use crate::node::Node;

/// Longest drain. Longer than any deadline, so that only a broken target can
/// reach it.
pub(super) const BOUND: Duration = Duration::from_secs(90);

/// Longest wait for the platform to take the memory of keys. A stop must not
/// hang on an outage.
const HANDOVER_BOUND: Millis = Millis(3_000);

/// Signals come in on the main thread, and calls run on the worker's. Both
/// flags only ever go from unset to set.
static ASKED: AtomicBool = AtomicBool::new(false);
static LEFT: AtomicBool = AtomicBool::new(false);

/// Asks for the stop, from any thread.
pub(crate) fn ask() {
    ASKED.store(true, Ordering::Relaxed);
}

/// Whether every call was answered, so that the ports may close. Closing them
/// earlier would cut attempts of entries that have not heard of the drain, and
/// those could not be told "not run" any more.
pub(crate) fn has_left() -> bool {
    LEFT.load(Ordering::Relaxed)
}

/// Begins the stop; a second call changes nothing.
pub(crate) fn start(node: &Rc<Node>) {
    if node.draining.replace(true) {
        return;
    }
    let now = node.calls.clock.now();
    node.calls.drain.borrow_mut().begin(now);
    slog::info!(node.log, "draining"; "in_flight" => node.calls.in_flight.get());
}

/// Moves the stop on.
pub(super) fn tick(node: &Rc<Node>) {
    if ASKED.load(Ordering::Relaxed) {
        start(node);
    }
    let now = node.calls.clock.now();
    let in_flight = node.calls.in_flight.get();
    let step = node.calls.drain.borrow_mut().tick(in_flight, now);
    match step {
        // The flag that `start` set is what gossip and readiness announce.
        DrainStep::Wait | DrainStep::Announce => return,
        DrainStep::Leave => slog::info!(node.log, "drained"),
        DrainStep::LeaveUnfinished(calls) => {
            slog::error!(node.log, "leaving with calls in flight"; "calls" => calls);
        }
    }
    if !node.calls.leaving.replace(true) {
        ntex::rt::spawn(leave(Rc::clone(node)));
    }
}

async fn leave(node: Rc<Node>) {
    let handed_over = timeout(HANDOVER_BOUND, handover::leave(&node)).await;
    if handed_over.is_err() {
        slog::warn!(node.log, "memory of keys not handed over in time");
    }
    LEFT.store(true, Ordering::Relaxed);
}
