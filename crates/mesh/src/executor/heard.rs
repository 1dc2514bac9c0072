//! What the target says of itself, and what follows for the calls that wait for it.

use std::rc::Rc;

use stoatstep_calls::Reason;
use stoatstep_membership::{Heartbeat, HeartbeatOutcome, LocalTarget, StartMillis};
use stoatstep_telemetry::fields;

use super::{ask_target, slot};
use crate::node::Node;

/// Takes in a heartbeat of the target. Once it returns, no call is sent to a
/// target that drains, so that its drain may be acked.
pub(crate) fn hear(node: &Rc<Node>, beat: Heartbeat) -> HeartbeatOutcome {
    if !names_known_service(node, &beat) {
        return HeartbeatOutcome::UnknownService;
    }
    let slots = beat.slots;
    let heard = learn(node, |target, now| target.record_heartbeat(beat, now));
    if heard == HeartbeatOutcome::Accepted {
        node.executor.tables.borrow_mut().queue.set_slots(slots);
    }
    ask_target(node);
    heard
}

/// Whether the configuration has the service. Before there is one every service may
/// be; without the check, one heartbeat of another writer under the target's id would
/// take the target out of its service until the next of its own.
fn names_known_service(node: &Node, beat: &Heartbeat) -> bool {
    let Some(in_force) = node.fleet.in_force() else {
        return true;
    };
    in_force.service(&beat.service).is_some()
}

/// The target said good-bye under this id.
pub(crate) fn target_left(node: &Node, id: &str, born: Option<StartMillis>) {
    let life = node
        .executor
        .tables
        .borrow()
        .upstream
        .departing_generation(id, born);
    leave(node, &life);
}

/// A life of the target said good-bye, here or to the process before this one.
pub(crate) fn leave(node: &Node, upstream: &str) {
    let is_news = learn(node, |target, _| target.record_departure(upstream));
    if is_news {
        slog::info!(node.log, "target leaves"; fields::UPSTREAM => upstream);
    }
}

/// Has `change` act on what is known of the target, and on the queue what follows
/// from it.
pub(super) fn learn<T>(
    node: &Node,
    change: impl FnOnce(&mut LocalTarget, stoatstep_calls::Time) -> T,
) -> T {
    let now = node.clock.now();
    let mut tables = node.executor.tables.borrow_mut();
    let before = tables.upstream.accepting_heartbeat(now).cloned();
    let learned = change(&mut tables.upstream, now);
    let after = tables.upstream.accepting_heartbeat(now).cloned();
    drop(tables);
    if let Some(change) = changed_target(before, after) {
        // Idle connections led to the life before, if they lead anywhere.
        node.executor.target.forget_connections();
        slog::info!(node.log, "target"; fields::UPSTREAM => %change.upstream,
            fields::SERVICE => %change.service, fields::SLOTS => change.slots,
            fields::SEQUENCE => change.sequence, fields::DRAINING => change.draining);
    }
    flush_if_closed(node);
    learned
}

/// The target that is announced now, where another one or none was before.
fn changed_target(before: Option<Heartbeat>, after: Option<Heartbeat>) -> Option<Heartbeat> {
    let id = |beat: &Option<Heartbeat>| beat.as_ref().map(|it| it.upstream.clone());
    if id(&before) == id(&after) {
        return None;
    }
    after.or(before.map(|it| Heartbeat {
        draining: true,
        ..it
    }))
}

/// What waits for a target that takes no new calls is better off elsewhere, and
/// must not be sent to it after its drain was acked.
fn flush_if_closed(node: &Node) {
    let now = node.clock.now();
    let is_open = node
        .executor
        .tables
        .borrow()
        .upstream
        .accepting_heartbeat(now)
        .is_some();
    if !is_open {
        slot::flush(node, Reason::Draining);
    }
}
