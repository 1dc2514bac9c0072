//! The configuration in the form in which calls use it.

use std::sync::Arc;

use stoatstep_calls::RouteTable;
use stoatstep_membership::Mark;
use stoatstep_resource::{State, Version};

/// One version, compiled for routing. It is immutable: a call keeps the one that
/// it began with, and a new version replaces the pointer to it.
#[derive(Debug)]
pub(crate) struct InForce {
    pub(crate) state: Arc<State>,
    pub(crate) mark: Mark,
    pub(crate) routes: RouteTable,
}

impl InForce {
    pub(crate) fn new(state: State) -> Self {
        Self {
            mark: stoatstep_distribution::mark_of(&state),
            routes: RouteTable::new(&state),
            state: Arc::new(state),
        }
    }

    pub(crate) fn version(&self) -> Version {
        self.state.version()
    }
}
