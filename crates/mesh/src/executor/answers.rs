//! What the answers of the target are like, and whether the instance's link has room for
//! another one. What is decided is in [`Uplink`](stoatstep_calls::Uplink).

use std::time::Duration;

use stoatstep_calls::{Answer, AnswerStats, Reason, Refusal};
use stoatstep_resource::RouteName;

use super::Tables;
use crate::node::Node;
use crate::wire::{Attempt, End};

/// Routes of whose answers is known what they are like; a target serves a few.
const MAX_ROUTES: usize = 256;

/// Refuses a call whose answer the instance's link could not deliver in time, before the
/// target works for it.
pub(super) fn fits_link(node: &Node, tables: &Tables, attempt: &Attempt) -> Result<(), End> {
    let answers = tables.answers.get(&attempt.call.route).copied();
    let answers = answers.unwrap_or_default();
    let run = answers.run().unwrap_or_default();
    let within = if attempt.objective.is_zero() {
        attempt.left
    } else {
        attempt.objective
    };
    let taken = node
        .uplink
        .read(|it| it.takes(answers.bytes(), run, within));
    taken.map_err(|after| End::Refused(Refusal::retry(Reason::Overload, after)))
}

/// A run has begun whose answer will leave by the link.
pub(super) fn expect(node: &Node, attempt: &Attempt) {
    let tables = node.executor.tables.borrow();
    let answers = tables.answers.get(&attempt.call.route);
    let bytes = answers.map_or(0.0, AnswerStats::bytes);
    drop(tables);
    node.uplink.expects(attempt.id, bytes);
}

/// What the next answers of the route will be like.
pub(super) fn learn(tables: &mut Tables, route: &RouteName, answer: &Answer, run: Duration) {
    if tables.answers.len() < MAX_ROUTES || tables.answers.contains_key(route) {
        let answers = tables.answers.entry(route.clone()).or_default();
        answers.record(answer.body.len(), run);
    }
}
