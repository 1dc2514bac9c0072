//! Writes changes that operators submit to this daemon.

use std::rc::Rc;
use std::sync::Arc;

use stoatstep_resource::State;
use stoatstep_resource::wire::Change;
use stoatstep_versionlog::{AcceptedChange, WriteError};

use super::platform::version_log;
use super::{poll, push};
use crate::node::Node;

/// Writes a change to the platform's version log and pushes it to the whole fleet.
pub(crate) async fn submit(node: &Rc<Node>, change: Change) -> Result<AcceptedChange, WriteError> {
    let author = node.cfg.instance.clone();
    let state = Arc::clone(node.control.replica.borrow().state());
    let accepted = version_log(node).write(change, author, state).await?;
    apply_accepted(node, &accepted);
    if version_log(node).snapshot_is_due(&accepted.head) {
        ntex::rt::spawn(snapshot(Rc::clone(node), Arc::clone(&accepted.state)));
    }
    Ok(accepted)
}

/// Applies the accepted change and any versions before it that the writer read.
/// Only the accepted change is pushed: each other version is pushed by the daemon
/// that wrote it.
fn apply_accepted(node: &Rc<Node>, accepted: &AcceptedChange) {
    poll::record_head(node, &accepted.head);
    if accepted.deltas.is_empty() {
        let state = State::clone(&accepted.state);
        node.control
            .offer(|replica, now| replica.offer_state(now, state));
    }
    for delta in &accepted.deltas {
        let delta = Arc::new(delta.clone());
        if delta.version == accepted.version {
            push::push_accepted(node, &delta);
        } else {
            node.control
                .offer(|replica, now| replica.offer_delta(now, delta));
        }
    }
}

async fn snapshot(node: Rc<Node>, state: Arc<State>) {
    // A concurrent snapshot would only repeat the work of the first.
    if node.control.is_taking_snapshot.replace(true) {
        return;
    }
    let version = state.version();
    match version_log(&node).snapshot(state).await {
        Ok(_) => slog::info!(node.log, "snapshot taken"; "version" => version),
        Err(err) => slog::warn!(node.log, "snapshot not taken";
            "version" => version, "error" => %err),
    }
    node.control.is_taking_snapshot.set(false);
}
