//! Asking the target itself whether it takes calls, before the first one goes to
//! a life of it that is new to this process.
//!
//! Heartbeats alone cannot tell: one that was sent before a good-bye may arrive
//! after it, at a process that has just started and knows of neither.

use std::rc::Rc;
use std::time::Duration;

use smol_str::SmolStr;
use stoatstep_membership::{Heartbeat, target_id_of};
use stoatstep_resource::{HEALTH_PATH, Service};
use stoatstep_telemetry::fields;
use tokio::time::timeout;

use super::learn;
use super::target::Health;
use crate::fleet::gossip;
use crate::node::Node;

/// Time for the target to answer. It queues the question behind the runs of the
/// process before this one; those that last longer are asked for again.
const ANSWER_BOUND: Duration = Duration::from_secs(1);

/// Asks, where a life of the target waits for it. Called at each heartbeat and at
/// each tick, so that a question without an answer is put again.
pub(crate) fn ask_target(node: &Rc<Node>) {
    if node.executor.is_asking.get() {
        return;
    }
    let now = node.clock.now();
    let tables = node.executor.tables.borrow();
    let Some(beat) = tables.upstream.unconfirmed(now).cloned() else {
        return;
    };
    drop(tables);
    // Without a configuration no call comes here either.
    let Some(path) = health_path(node, &beat.service) else {
        return;
    };
    node.executor.is_asking.set(true);
    let node = Rc::clone(node);
    ntex::rt::spawn(async move {
        let health = timeout(ANSWER_BOUND, node.executor.target.health(&path)).await;
        node.executor.is_asking.set(false);
        take_in(&node, &beat, health.ok().flatten());
        gossip::target_changed(&node);
    });
}

/// The path that the configuration in force names for the service.
fn health_path(node: &Node, service: &SmolStr) -> Option<SmolStr> {
    let in_force = node.fleet.in_force()?;
    let path = in_force.service(service).map(Service::health_path);
    Some(path.unwrap_or(HEALTH_PATH).into())
}

fn take_in(node: &Node, beat: &Heartbeat, health: Option<Health>) {
    let asked = &beat.upstream;
    let actual = health.as_ref().and_then(|it| it.upstream.clone());
    let status = health.as_ref().map(|it| it.status.as_u16());
    if let Some(actual) = &actual {
        learn(node, |target, _| target.record_answer(asked, actual));
    }
    let is_well = health.is_some_and(|it| it.status.is_success());
    if is_well && actual.as_deref() == Some(target_id_of(asked)) {
        learn(node, |target, _| target.confirm(asked));
        return;
    }
    let Some(left_out) = node
        .journal
        .admits("target not confirmed", node.clock.now())
    else {
        return;
    };
    slog::warn!(node.log, "target not confirmed"; fields::UPSTREAM => %asked,
        fields::SEQUENCE => beat.sequence, fields::STATUS => status,
        fields::ANSWERED_AS => actual.as_deref(), fields::LEFT_OUT => left_out);
}
