//! Counts the calls and attempts for which a drain has to wait.

use std::rc::Rc;

use crate::node::Node;

/// One accepted call or attempt that is not answered yet. It is counted until it is dropped.
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
