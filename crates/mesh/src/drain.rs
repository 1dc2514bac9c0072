//! Graceful stop of this daemon.
//!
//! Callers keep connections open and go on using them until they are told not
//! to, so a daemon that stops still takes calls: it says that it is not ready
//! and that each connection ends with its answer, and leaves once nobody comes
//! any more. Refusing them instead would lose calls that it has time for.

use std::rc::Rc;
use std::time::Duration;

use crate::fleet;
use crate::node::Node;

/// Time in which callers and peers notice. Callers are told by two checks of
/// readiness in a row, a second apart.
const LINGER: Duration = Duration::from_millis(2500);

/// What is left of the grace when the process ends in any case, so that it does
/// so by itself, with its last answers written.
const MARGIN: Duration = Duration::from_millis(600);

/// How often it is looked whether all calls are answered.
const POLL: Duration = Duration::from_millis(50);

/// One call that was taken and not yet answered.
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

/// Begins the stop; a second call changes nothing.
pub(crate) fn begin(node: &Rc<Node>) {
    if node.draining.replace(true) {
        return;
    }
    slog::info!(node.log, "draining"; "in_flight" => node.in_flight.get());
    fleet::gossip::leave(node);
}

/// Ends when the process may end.
pub(crate) async fn finished(node: &Node) {
    let begun = node.clock.now();
    let bound = node.cfg.grace.saturating_sub(MARGIN);
    loop {
        tokio::time::sleep(POLL).await;
        let elapsed = node.clock.now().saturating_sub(begun);
        let is_idle = node.in_flight.get() == 0 && elapsed >= LINGER;
        if is_idle || elapsed >= bound {
            break;
        }
    }
    slog::info!(node.log, "drained"; "in_flight" => node.in_flight.get());
}
