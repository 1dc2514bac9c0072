//! What the target states about itself in its answers.

use std::rc::Rc;

use stoatstep_calls::{LimitStatement, TargetStatement};
use stoatstep_resource::UpstreamName;
use stoatstep_telemetry::fields;

use super::{heartbeat, slot};
use crate::fleet::gossip;
use crate::node::Node;

/// Records what an answer of this generation of the target states, and logs it if the answer
/// before stated something else.
pub(super) fn record(node: &Rc<Node>, upstream: &UpstreamName, statement: TargetStatement) {
    let now = node.clock.now();
    let mut tables = node.executor.tables.borrow_mut();
    if tables.local_target.generation() != Some(upstream) {
        return;
    }
    let was_known = tables.queue.limiter().known();
    tables.queue.limiter_mut().record(statement.limit, now);
    let is_changed = tables.queue.limiter().known() != was_known;
    let before = tables.stated.replace((upstream.clone(), statement));
    drop(tables);
    let before = before.filter(|(generation, _)| generation == upstream);
    let before = before.map_or_else(TargetStatement::default, |(_, it)| it);
    if before != statement {
        log_change(node, upstream, before, statement);
    }
    if is_changed {
        slot::dispatch_waiting(node);
    }
    if statement.is_leaving {
        heartbeat::mark_leaving(node, upstream);
        gossip::target_changed(node);
    }
}

fn log_change(node: &Node, upstream: &str, before: TargetStatement, statement: TargetStatement) {
    let now = node.clock.now();
    let Some(suppressed) = node.journal.admits("target states", now) else {
        return;
    };
    slog::info!(node.log, "target states";
        fields::UPSTREAM => upstream, fields::LIMIT => describe(statement.limit),
        fields::BEFORE_LIMIT => describe(before.limit), fields::LEAVING => statement.is_leaving,
        fields::LEFT_OUT => suppressed);
}

/// The stated limit as text: empty if there is none.
fn describe(limit: LimitStatement) -> String {
    match limit {
        LimitStatement::Absent => String::new(),
        LimitStatement::Invalid => "invalid".to_owned(),
        LimitStatement::Limit(limit) => format!("{:.3}", limit.per_second()),
    }
}
