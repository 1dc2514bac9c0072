//! Counts the calls that a drain has to wait for.

use std::rc::Rc;

use crate::node::Node;

/// One call that was taken and not yet answered.
pub(super) struct InFlight(Rc<Node>);

impl InFlight {
    pub(super) fn enter(node: &Rc<Node>) -> Self {
        let count = &node.calls.in_flight;
        count.set(count.get() + 1);
        Self(Rc::clone(node))
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let count = &self.0.calls.in_flight;
        count.set(count.get() - 1);
    }
}
