//! Noticing that the target's process ended, and what it ran at that moment.

use std::rc::Rc;
use std::time::Duration;

use stoatstep_calls::Fingerprint;
use stoatstep_resource::UpstreamName;
use stoatstep_telemetry::fields;
use tokio::time::{sleep, timeout};

use crate::node::Node;
use crate::quarantine;

/// Fingerprints that a line names at most; more than most targets have slots.
const MAX_NAMED: usize = 32;

/// Time for the first look, for which the caller's answer waits. On its own instance a
/// refused connection takes well under a millisecond; one that hangs says nothing.
const FIRST_LOOK: Duration = Duration::from_millis(10);

/// Pauses after which it is looked again whether a target that still took a connection
/// does so. A process that ends closes its sockets one after the other, in any order.
const LOOKS_AGAIN: [Duration; 2] = [Duration::from_millis(5), Duration::from_millis(50)];

/// Called when the answer of a run at this life is lost, before its entry is told. Runs
/// whose answers are lost by themselves and runs under which the process ended look the
/// same at first; where nobody listens any more, it was the latter.
pub(super) async fn look(node: &Rc<Node>, upstream: &UpstreamName) {
    if is_known(node, upstream) {
        return;
    }
    let contents = running(node, upstream);
    let listens = timeout(FIRST_LOOK, node.executor.target.listens()).await;
    if listens == Ok(false) {
        note(node, upstream, &contents);
        return;
    }
    let (node, upstream) = (Rc::clone(node), upstream.clone());
    ntex::rt::spawn(async move {
        for pause in LOOKS_AGAIN {
            sleep(pause).await;
            if !node.executor.target.still_listens().await {
                note(&node, &upstream, &contents);
                return;
            }
        }
    });
}

/// The life ended while it ran requests with these contents. Every run that lost its
/// answer comes here; the first one knew of all the others.
fn note(node: &Rc<Node>, upstream: &UpstreamName, contents: &[Fingerprint]) {
    if is_known(node, upstream) {
        return;
    }
    node.executor.tables.borrow_mut().ended = Some(upstream.clone());
    report(node, upstream, contents);
    quarantine::target_ended(node, upstream, &unanswered(node, contents));
}

fn is_known(node: &Node, upstream: &str) -> bool {
    let tables = node.executor.tables.borrow();
    tables.ended.as_ref().is_some_and(|it| it == upstream)
}

/// What this life ran; those whose answers were just lost are still among the runs.
pub(super) fn running(node: &Node, upstream: &str) -> Vec<Fingerprint> {
    let tables = node.executor.tables.borrow();
    let runs = tables.runs.values();
    let here = runs.filter(|it| it.at.as_ref().is_some_and(|at| at == upstream));
    here.map(|it| it.call.fingerprint()).collect()
}

/// Those of them that the target has not answered lately.
fn unanswered(node: &Node, contents: &[Fingerprint]) -> Vec<Fingerprint> {
    let now = node.clock.now();
    let tables = node.executor.tables.borrow();
    let unanswered = contents
        .iter()
        .filter(|it| !tables.recent.contains(**it, now));
    unanswered.copied().collect()
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
