//! What the target states about itself in its answers. See `docs/design/target-limits.md`.

use std::rc::Rc;

use ntex::time::{Millis, timeout};
use stoatstep_calls::{KnownLimit, TargetStatement};

use super::slot;
use super::target::ForeignAnswer;
use crate::control::warning;
use crate::node::Node;

/// Time limit for the health request to a target that leaves.
const HEALTH_TIMEOUT: Millis = Millis(500);

/// Applies what an answer of the target states.
pub(super) fn record(node: &Rc<Node>, statement: TargetStatement) {
    let now = node.calls.clock.now();
    let mut tables = node.calls.executor.borrow_mut();
    let limiter = tables.admission.limiter_mut();
    let before = limiter.known();
    limiter.record(statement.limit, now);
    let known = limiter.known();
    drop(tables);
    if before != known {
        log_limit(node, before, known);
        slot::dispatch_waiting(node);
    }
    if statement.is_leaving && !node.calls.target_leaves.replace(true) {
        slog::info!(node.log, "target leaves");
    }
}

/// Counts and logs an answer that is not believed, as it belongs to another request.
pub(super) fn record_foreign(node: &Node, foreign: &ForeignAnswer) {
    node.metrics.count("answers.not_believed", 1);
    warning::warn(node, "answer not believed", foreign);
}

/// Logs that a limit begins or ends. Changes of its value are left out, since each answer may
/// state another one.
fn log_limit(node: &Node, before: KnownLimit, known: KnownLimit) {
    match (before, known) {
        (KnownLimit::Limited(_), KnownLimit::Limited(_)) => {}
        (_, KnownLimit::Limited(limit)) => {
            slog::info!(node.log, "target states a limit"; "per_second" => limit.per_second());
        }
        (KnownLimit::Limited(_), _) => {
            slog::info!(node.log, "target states no limit any more");
        }
        _ => {}
    }
}

/// Asks a target that leaves for its health. Calls may go to the process that follows it, which
/// does not state that it leaves.
pub(super) fn check_departure(node: &Rc<Node>) {
    if !node.calls.target_leaves.get() || node.calls.is_checking_target.replace(true) {
        return;
    }
    let node = Rc::clone(node);
    ntex::rt::spawn(async move {
        let target = node.calls.target.borrow().clone();
        let on_foreign = |foreign: &_| record_foreign(&node, foreign);
        let health = timeout(HEALTH_TIMEOUT, target.health(on_foreign)).await;
        node.calls.is_checking_target.set(false);
        if let Ok(Some(statement)) = health
            && !statement.is_leaving
        {
            node.calls.target_leaves.set(false);
            node.calls
                .executor
                .borrow_mut()
                .admission
                .limiter_mut()
                .reset();
            slog::info!(node.log, "target accepts calls again");
        }
    });
}
