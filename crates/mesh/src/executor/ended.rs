//! Noticing that the target's process ended, and what it ran at that moment.

use std::rc::Rc;

use stoatstep_calls::Fingerprint;
use stoatstep_telemetry::fields;

use crate::node::Node;

/// Fingerprints that a line names at most; more than most targets have slots.
const MAX_NAMED: usize = 32;

/// Called when the answer of a run at this life is lost. Runs whose answers are lost by
/// themselves and runs under which the process ended look the same at first; where nobody
/// listens any more, it was the latter.
pub(super) async fn look(node: &Rc<Node>, upstream: &str) {
    if is_known(node, upstream) || node.executor.target.listens().await {
        return;
    }
    // Another run of the same moment may have been first.
    if is_known(node, upstream) {
        return;
    }
    let contents = running(node, upstream);
    node.executor.tables.borrow_mut().ended = Some(upstream.into());
    report(node, upstream, &contents);
}

fn is_known(node: &Node, upstream: &str) -> bool {
    let tables = node.executor.tables.borrow();
    tables.ended.as_ref().is_some_and(|it| it == upstream)
}

/// What this life ran; those whose answers were just lost are still among the runs.
fn running(node: &Node, upstream: &str) -> Vec<Fingerprint> {
    let tables = node.executor.tables.borrow();
    let runs = tables.runs.values();
    let here = runs.filter(|it| it.at.as_ref().is_some_and(|at| at == upstream));
    here.map(|it| it.call.fingerprint()).collect()
}

fn report(node: &Node, upstream: &str, contents: &[Fingerprint]) {
    node.journal.count("targets.ended");
    let Some(left_out) = node.journal.admits("target ended", node.clock.now()) else {
        return;
    };
    let named = contents.iter().take(MAX_NAMED);
    let named: Vec<_> = named.map(ToString::to_string).collect();
    slog::warn!(node.log, "target ended"; fields::UPSTREAM => upstream,
        fields::RUNS => contents.len(), fields::CONTENTS => named.join(" "),
        fields::LEFT_OUT => left_out);
}
