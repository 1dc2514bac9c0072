//! Graceful stop of this daemon.

use std::rc::Rc;

use crate::node::Node;

/// Begins the stop; a second call changes nothing.
pub(crate) fn start(node: &Rc<Node>) {
    if node.draining.replace(true) {
        return;
    }
    slog::info!(node.log, "draining");
}
