//! Graceful stop of this daemon. [`Shutdown`](stoatstep_calls::Shutdown) decides what it still
//! accepts, and when it may end.

use std::cell::Cell;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use crate::entry;
use crate::executor;
use crate::fleet;
use crate::node::Node;
use stoatstep_telemetry::fields;

/// How often the calls in flight are checked.
const POLL: Duration = Duration::from_millis(50);

/// How often the final answers are checked, and for how long at most. Together with the margin
/// before the end of the grace period, the process ends before it is killed.
const POLL_WRITES: Duration = Duration::from_millis(5);
const LAST_WRITES: Duration = Duration::from_millis(300);

/// Counts a call as in flight until it is dropped: at its entry until the response is made, at its
/// executor until the result is written to its link.
pub(crate) struct InFlight(Rc<Node>);

impl InFlight {
    pub(crate) fn enter(node: &Rc<Node>) -> Self {
        node.in_flight.set(node.in_flight.get() + 1);
        Self(Rc::clone(node))
    }
}

impl fmt::Debug for InFlight {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("InFlight")
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let count = &self.0.in_flight;
        count.set(count.get() - 1);
    }
}

/// Tells the open calls that the process is about to exit.
#[derive(Default)]
pub(crate) struct ExitSignal {
    is_given: Cell<bool>,
    given: Notify,
}

impl ExitSignal {
    pub(crate) fn is_given(&self) -> bool {
        self.is_given.get()
    }

    /// Waits until the signal is given.
    pub(crate) async fn wait(&self) {
        let given = self.given.notified();
        if !self.is_given.get() {
            given.await;
        }
    }

    fn give(&self) {
        self.is_given.set(true);
        self.given.notify_waiters();
    }
}

/// Begins the graceful stop. Further calls have no effect.
pub(crate) fn begin(node: &Rc<Node>) {
    if node.is_leaving() {
        return;
    }
    let mut departure = node.departure.get();
    departure.begin(node.clock.now());
    node.departure.set(departure);
    if let Some(due) = departure.answers_due() {
        node.links.announce_stop(due);
        node.uplink.all_due_by(due);
        executor::require_all_answers_by(node, due);
    }
    slog::info!(node.log, "draining"; fields::IN_FLIGHT => node.in_flight.get());
    fleet::gossip::leave(node);
}

/// Returns once the process may end. Calls that are still open then get a final answer.
pub(crate) async fn finished(node: &Node) {
    while !node
        .departure
        .get()
        .may_exit(pending(node), node.clock.now())
    {
        sleep(POLL).await;
    }
    entry::log_cut_off(node);
    slog::info!(node.log, "drained"; fields::IN_FLIGHT => node.in_flight.get());
    node.exit.give();
    let written = async {
        while pending(node) > 0 {
            sleep(POLL_WRITES).await;
        }
    };
    // Runs at the target are still counted; their entries learn of the exit by their links.
    let _ = timeout(LAST_WRITES, written).await;
}

/// Number of calls that are not answered, or whose answers are not written yet.
fn pending(node: &Node) -> u32 {
    node.in_flight.get() + u32::from(!node.unwritten.is_empty())
}
