//! Messages between daemons, and ways in which they can be damaged.

use std::sync::Arc;

use stoatstep_resource::{Delta, Resource, State, Version};

use super::{DaemonIndex, index};

/// Content of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Payload {
    /// The delta that produces this version.
    Delta(Version),
    /// The whole state at this version.
    Whole(Version),
}

/// A message in flight to a daemon. The sender makes no difference.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Message {
    /// The receiver.
    pub to: DaemonIndex,
    /// The content.
    pub payload: Payload,
}

/// Damaged variants of a delta: without its route but with the original digest, as after damage on
/// the way, and without its service but with a matching digest, as from a faulty sender.
pub(super) fn damaged_deltas(
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
