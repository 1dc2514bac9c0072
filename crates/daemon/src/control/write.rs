//! Changes that operators ask this daemon for.

use std::rc::Rc;
use std::sync::Arc;

use stoatstep_resource::State;
use stoatstep_resource::wire::Change;
use stoatstep_versionlog::{AcceptedChange, WriteError};

use super::platform::version_log;
use super::{poll, push};
use crate::node::Node;

/// Has the platform accept a change, and sends it to the whole fleet.
pub(crate) async fn submit(node: &Rc<Node>, change: Change) -> Result<AcceptedChange, WriteError> {
    let author = node.cfg.instance.clone();
    let state = Arc::clone(node.control.replica.borrow().state());
    let accepted = version_log(node).write(change, author, state).await?;
    take_in(node, &accepted);
    if version_log(node).snapshot_is_due(&accepted.head) {
        ntex::rt::spawn(snapshot(Rc::clone(node), Arc::clone(&accepted.state)));
    }
    Ok(accepted)
}

/// Puts in force what the writer came to know. Versions of others on the way are
/// sent by those who had them accepted.
fn take_in(node: &Rc<Node>, accepted: &AcceptedChange) {
    poll::learn(node, &accepted.head);
    if accepted.deltas.is_empty() {
        let state = State::clone(&accepted.state);
        node.control
            .offer(|replica, now| replica.offer_state(now, state));
    }
    for delta in &accepted.deltas {
        let delta = Arc::new(delta.clone());
        if delta.version == accepted.version {
            push::accepted(node, &delta);
        } else {
            node.control
                .offer(|replica, now| replica.offer_delta(now, delta));
        }
    }
}

async fn snapshot(node: Rc<Node>, state: Arc<State>) {
    // A second one at the same time would only repeat the work of the first.
    if node.control.takes_snapshot.replace(true) {
        return;
    }
    let version = state.version();
    match version_log(&node).snapshot(state).await {
        Ok(_) => slog::info!(node.log, "snapshot taken"; "version" => version),
        Err(err) => slog::warn!(node.log, "snapshot not taken";
            "version" => version, "error" => %err),
    }
    node.control.takes_snapshot.set(false);
}
