//! Confirms by a health request that a generation of the target accepts calls, before the
//! first call is sent to it by this process.
//!
//! Heartbeats alone are not enough: one that was sent before the target deregistered may
//! arrive after it, at a daemon that has just started and knows of neither.

use std::rc::Rc;
use std::time::Duration;

use smol_str::SmolStr;
use stoatstep_membership::{Heartbeat, target_id_of};
use stoatstep_resource::{HEALTH_PATH, Service};
use stoatstep_telemetry::fields;
use tokio::time::timeout;

use super::target::Health;
use super::{statements, update_target};
use crate::fleet::gossip;
use crate::node::Node;

/// Time limit for the health request. The target may queue it behind runs that the previous
/// process of this daemon started; if those last longer, the request is repeated.
const HEALTH_TIMEOUT: Duration = Duration::from_secs(1);

/// Sends a health request if a generation of the target is unconfirmed. Called at each
/// heartbeat and at each tick, so that a request without an answer is repeated.
pub(crate) fn confirm_target(node: &Rc<Node>) {
    if node.executor.is_confirming.get() {
        return;
    }
    let now = node.clock.now();
    let tables = node.executor.tables.borrow();
    let Some(beat) = tables.local_target.unconfirmed(now).cloned() else {
        return;
    };
    drop(tables);
    // Without a configuration the path is unknown, and no call comes here either.
    let Some(path) = health_path(node, &beat.service) else {
        return;
    };
    node.executor.is_confirming.set(true);
    let mut tables = node.executor.tables.borrow_mut();
    tables.queue.limiter_mut().record_sent(now);
    drop(tables);
    let node = Rc::clone(node);
    ntex::rt::spawn(async move {
        let health = timeout(HEALTH_TIMEOUT, node.executor.target.health(&path)).await;
        node.executor.is_confirming.set(false);
        apply_health(&node, &beat, health.ok().flatten());
        gossip::target_changed(&node);
    });
}

/// The health path of the service in the configuration in force, or the default one. `None`
/// without a configuration.
fn health_path(node: &Node, service: &SmolStr) -> Option<SmolStr> {
    let in_force = node.fleet.in_force()?;
    let path = in_force.service(service).map(Service::health_path);
    Some(path.unwrap_or(HEALTH_PATH).into())
}

/// Confirms the generation if it answered the health request itself and with a success.
fn apply_health(node: &Rc<Node>, beat: &Heartbeat, health: Option<Health>) {
    let asked = &beat.upstream;
    let actual = health.as_ref().and_then(|it| it.upstream.clone());
    let status = health.as_ref().map(|it| it.status.as_u16());
    if let Some(actual) = &actual {
        update_target(node, |target, _| target.record_answer(asked, actual));
    }
    if let Some(health) = &health
        && actual.as_deref() == Some(target_id_of(asked))
        && !health.statement.is_empty()
    {
        statements::record(node, asked, health.statement);
    }
    let is_healthy = health.is_some_and(|it| it.status.is_success());
    if is_healthy && actual.as_deref() == Some(target_id_of(asked)) {
        update_target(node, |target, _| target.confirm(asked));
        return;
    }
    let Some(suppressed) = node
        .journal
        .admits("target not confirmed", node.clock.now())
    else {
        return;
    };
    slog::warn!(node.log, "target not confirmed"; fields::UPSTREAM => %asked,
        fields::SEQUENCE => beat.sequence, fields::STATUS => status,
        fields::ANSWERED_AS => actual.as_deref(), fields::LEFT_OUT => suppressed);
}
