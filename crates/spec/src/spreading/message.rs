//! What daemons send each other, and how it may be damaged.

use std::sync::Arc;

use stoatstep_resource::{Delta, Resource, State, Version};

use super::{DaemonIndex, index};

/// What is on its way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Payload {
    /// The delta that leads to this version.
    Delta(Version),
    /// The whole state at this version.
    Whole(Version),
}

/// Something on its way to a daemon. Who sent it makes no difference.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Message {
    /// The receiver.
    pub to: DaemonIndex,
    /// What it brings.
    pub payload: Payload,
}

/// Ways in which a delta may be damaged: the route lost on the way under the
/// right digest, and the service lost under one that fits the loss, as a faulty
/// sender would make it.
pub(super) fn damaged(
    payload: Payload,
    states: &[Arc<State>],
    deltas: &[Arc<Delta>],
) -> Vec<Delta> {
    let Payload::Delta(version) = payload else {
        return Vec::new();
    };
    let before = index(version) - 1;
    let delta = &deltas[before];
    if delta.puts.is_empty() {
        return Vec::new();
    }
    let is_service = |it: &Resource| matches!(it, Resource::Service(_));
    let mut cut = Delta::clone(delta);
    cut.puts.retain(is_service);
    let mut routes = delta.puts.clone();
    routes.retain(|it| !is_service(it));
    vec![cut, states[before].delta(routes, Vec::new())]
}
