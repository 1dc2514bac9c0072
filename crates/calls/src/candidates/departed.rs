//! Upstreams that have stated themselves that they leave.

use std::collections::{HashSet, VecDeque};

use stoatstep_resource::UpstreamName;

/// Limit on the upstreams that are remembered: those of some days at a few hundred restarts.
const MAX_DEPARTED: usize = 1_024;

/// The generations that have stated that they leave, of which the oldest are forgotten first.
///
/// They are kept by name and not with the state of the candidate, which is lost when membership
/// drops the upstream for a while: a target that leaves never gets calls again.
#[derive(Clone, Debug, Default)]
pub(super) struct Departed {
    names: HashSet<UpstreamName>,
    order: VecDeque<UpstreamName>,
}

impl Departed {
    /// Records an upstream, and returns whether it was unknown.
    pub(super) fn insert(&mut self, name: &UpstreamName) -> bool {
        if !self.names.insert(name.clone()) {
            return false;
        }
        self.order.push_back(name.clone());
        if self.order.len() > MAX_DEPARTED
            && let Some(oldest) = self.order.pop_front()
        {
            self.names.remove(&oldest);
        }
        true
    }

    pub(super) fn contains(&self, name: &UpstreamName) -> bool {
        self.names.contains(name)
    }
}
