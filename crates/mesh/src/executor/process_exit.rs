//! Detects that the target's process ended, and which requests it ran at that moment.

use std::rc::Rc;
use std::time::Duration;

use stoatstep_calls::Fingerprint;
use stoatstep_resource::UpstreamName;
use stoatstep_telemetry::fields;
use tokio::time::{sleep, timeout};

use crate::node::Node;
use crate::quarantine;

/// Limit on the fingerprints in a log line: more than most targets have slots.
const MAX_LOGGED: usize = 32;

/// Time limit for the first check, which delays the response to the caller. On the same
/// instance a connection is refused in well under a millisecond; one that hangs says nothing.
const FIRST_CHECK_TIMEOUT: Duration = Duration::from_millis(10);

/// Delays of further checks, if the target still accepted a connection at the first one. A
/// process that ends closes its sockets one after the other, in any order.
const RECHECK_DELAYS: [Duration; 2] = [Duration::from_millis(5), Duration::from_millis(50)];

/// Checks whether the target's process ended. Called when the answer of a run at this
/// generation was lost, before the entry is told. A single lost answer and the end of the
/// process look the same at first; if nothing listens at the target's address any more, the
/// process ended.
pub(super) async fn check(node: &Rc<Node>, upstream: &UpstreamName) {
    if is_recorded(node, upstream) {
        return;
    }
    let fingerprints = running_requests(node, upstream);
    let listens = timeout(FIRST_CHECK_TIMEOUT, node.executor.target.listens()).await;
    if listens == Ok(false) {
        record(node, upstream, &fingerprints);
        return;
    }
    let (node, upstream) = (Rc::clone(node), upstream.clone());
    ntex::rt::spawn(async move {
        for delay in RECHECK_DELAYS {
            sleep(delay).await;
            if !node.executor.target.still_listens().await {
                record(&node, &upstream, &fingerprints);
                return;
            }
        }
    });
}

/// Records that the generation ended while it ran requests with these fingerprints. Every
/// run that lost its answer gets here; the first one saw all the others.
fn record(node: &Rc<Node>, upstream: &UpstreamName, fingerprints: &[Fingerprint]) {
    if is_recorded(node, upstream) {
        return;
    }
    node.executor.tables.borrow_mut().ended = Some(upstream.clone());
    log_end(node, upstream, fingerprints);
    quarantine::target_ended(node, upstream, &unanswered(node, fingerprints));
}

fn is_recorded(node: &Node, upstream: &str) -> bool {
    let tables = node.executor.tables.borrow();
    tables.ended.as_ref().is_some_and(|it| it == upstream)
}

/// Fingerprints of the requests that this generation runs, including those whose answers
/// were just lost.
pub(super) fn running_requests(node: &Node, upstream: &str) -> Vec<Fingerprint> {
    let tables = node.executor.tables.borrow();
    let runs = tables.runs.values();
    let here = runs.filter(|it| it.upstream.as_ref().is_some_and(|name| name == upstream));
    here.map(|it| it.call.fingerprint()).collect()
}

/// Those of the fingerprints that the target has not answered recently.
fn unanswered(node: &Node, fingerprints: &[Fingerprint]) -> Vec<Fingerprint> {
    let now = node.clock.now();
    let tables = node.executor.tables.borrow();
    let unanswered = fingerprints
        .iter()
        .filter(|it| !tables.recent.contains(**it, now));
    unanswered.copied().collect()
}

fn log_end(node: &Node, upstream: &str, fingerprints: &[Fingerprint]) {
    node.journal.count("targets.ended");
    let Some(suppressed) = node.journal.admits("target ended", node.clock.now()) else {
        return;
    };
    let logged = fingerprints.iter().take(MAX_LOGGED);
    let logged: Vec<_> = logged.map(ToString::to_string).collect();
    slog::warn!(node.log, "target ended"; fields::UPSTREAM => upstream,
        fields::RUNS => fingerprints.len(), fields::CONTENTS => logged.join(" "),
        fields::LEFT_OUT => suppressed);
}
