//! Heartbeats and deregistration of the target, and what follows for the calls that wait
//! for it.

use std::rc::Rc;

use stoatstep_calls::Reason;
use stoatstep_membership::{Heartbeat, HeartbeatOutcome, LocalTarget, StartMillis};
use stoatstep_telemetry::fields;

use super::disbelief::{self, Disbelief};
use super::{confirm_target, slot};
use crate::node::Node;

/// Processes a heartbeat of the target. If it says that the target drains, no call is sent
/// to the target after this returns, so that the drain may be acknowledged.
pub(crate) fn handle_heartbeat(node: &Rc<Node>, beat: Heartbeat) -> HeartbeatOutcome {
    if !has_known_service(node, &beat) {
        let disbelief = Disbelief::of_service(&beat, &node.service());
        disbelief::report(node, &beat.upstream, &disbelief);
        return HeartbeatOutcome::UnknownService;
    }
    let upstream = beat.upstream.clone();
    let (outcome, disbelief) = update_target(node, |target, now| {
        let contradiction = target.contradiction(&beat, now);
        let disbelief = contradiction.and_then(|it| Disbelief::new(&beat, &it));
        (target.record_heartbeat(beat, now), disbelief)
    });
    if let Some(disbelief) = disbelief {
        disbelief::report(node, &upstream, &disbelief);
    }
    confirm_target(node);
    outcome
}

/// Whether the configuration in force has the service of the heartbeat, or, without a
/// configuration, whether the settings name it as the service of this instance. Without this
/// check, a heartbeat that another process sends under the target's id would take the target
/// out of its service until the target's next heartbeat.
fn has_known_service(node: &Node, beat: &Heartbeat) -> bool {
    let Some(in_force) = node.fleet.in_force() else {
        return beat.service == node.service();
    };
    in_force.service(&beat.service).is_some()
}

/// Deregisters the target that has this id, or the generation of it that started at `born`.
pub(crate) fn deregister_target(node: &Node, id: &str, born: Option<StartMillis>) {
    let generation = node
        .executor
        .tables
        .borrow()
        .local_target
        .departing_generation(id, born);
    mark_leaving(node, &generation);
}

/// Marks a generation of the target as leaving. It deregistered at this process or at the
/// previous one.
pub(crate) fn mark_leaving(node: &Node, upstream: &str) {
    let is_new = update_target(node, |target, _| target.record_departure(upstream));
    if is_new {
        slog::info!(node.log, "target leaves"; fields::UPSTREAM => upstream);
    }
}

/// Applies `change` to the state of the target. Closes idle connections if the target is
/// another one afterwards, and empties the queue if it does not accept calls.
pub(super) fn update_target<T>(
    node: &Node,
    change: impl FnOnce(&mut LocalTarget, stoatstep_calls::Time) -> T,
) -> T {
    let now = node.clock.now();
    let mut tables = node.executor.tables.borrow_mut();
    let before = tables.local_target.accepting_heartbeat(now).cloned();
    let generation = tables.local_target.generation().cloned();
    let result = change(&mut tables.local_target, now);
    let after = tables.local_target.accepting_heartbeat(now).cloned();
    if tables.local_target.generation() != generation.as_ref() {
        tables.queue.limiter_mut().reset();
    }
    if let Some(slots) = tables.local_target.slots() {
        tables.queue.set_slots(slots);
    }
    drop(tables);
    if let Some(change) = changed_target(before, after) {
        // Idle connections belong to the previous generation, if they are open at all.
        node.executor.target.close_idle();
        slog::info!(node.log, "target"; fields::UPSTREAM => %change.upstream,
            fields::SERVICE => %change.service, fields::SLOTS => change.slots,
            fields::SEQUENCE => change.sequence, fields::DRAINING => change.draining);
    }
    flush_if_not_accepting(node);
    result
}

/// The target that accepts calls now if that has changed; if none does, the previous one,
/// marked as draining.
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

/// Refuses the waiting calls if the target accepts no new ones. They are served sooner
/// elsewhere, and must not be sent to the target after its drain was acknowledged.
fn flush_if_not_accepting(node: &Node) {
    let now = node.clock.now();
    let accepts_calls = node
        .executor
        .tables
        .borrow()
        .local_target
        .accepting_heartbeat(now)
        .is_some();
    if !accepts_calls {
        slot::flush(node, Reason::Draining);
    }
}
