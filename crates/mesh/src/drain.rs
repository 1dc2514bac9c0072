//! Graceful stop of this daemon. [`Shutdown`](stoatstep_calls::Shutdown) decides what it still
//! accepts, and when it may end.

use std::rc::Rc;
use std::time::Duration;

use crate::entry;
use crate::executor;
use crate::fleet;
use crate::node::Node;
use stoatstep_telemetry::fields;

/// How often the calls in flight are checked.
const POLL: Duration = Duration::from_millis(50);

/// Counts a call as in flight until it is dropped.
pub(crate) struct InFlight(Rc<Node>);

impl InFlight {
    pub(crate) fn enter(node: &Rc<Node>) -> Self {
        node.in_flight.set(node.in_flight.get() + 1);
        Self(Rc::clone(node))
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let count = &self.0.in_flight;
        count.set(count.get() - 1);
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
        executor::answer_all_by(node, due);
    }
    slog::info!(node.log, "draining"; fields::IN_FLIGHT => node.in_flight.get());
    fleet::gossip::leave(node);
}

/// Returns once the process may end.
pub(crate) async fn finished(node: &Node) {
    let may_end = || {
        let departure = node.departure.get();
        // An answer that is not yet written counts like an unanswered call.
        let unwritten = u32::from(!node.unwritten.is_empty());
        departure.may_exit(node.in_flight.get() + unwritten, node.clock.now())
    };
    while !may_end() {
        tokio::time::sleep(POLL).await;
    }
    entry::log_cut_off(node);
    slog::info!(node.log, "drained"; fields::IN_FLIGHT => node.in_flight.get());
}
