//! Statistics of the target's answers, and whether the instance's uplink can carry another
//! one. The decision itself is made by [`Uplink`](stoatstep_calls::Uplink).

use std::time::Duration;

use stoatstep_calls::{Answer, AnswerStats, Band, Reason, Refusal, Time};
use stoatstep_resource::RouteName;

use super::{Origin, Tables};
use crate::node::Node;
use crate::wire::{Attempt, End};

/// Limit on the routes for which statistics are kept. A target serves a few.
const MAX_ROUTES: usize = 256;

/// Refuses an attempt whose answer the instance's uplink could not deliver in time, before
/// the target spends work on it.
pub(super) fn check_uplink(
    node: &Node,
    tables: &Tables,
    attempt: &Attempt,
    origin: Origin,
    answer_by: Time,
) -> Result<(), End> {
    let now = node.clock.now();
    let left = answer_by.saturating_sub(now);
    let within = match band_of(attempt) {
        Band::Late => attempt.late_wait.longest(left),
        Band::InTime if attempt.objective.is_zero() => left,
        Band::InTime => attempt.objective.min(left),
    };
    let answers = tables.answers.get(&attempt.call.route).copied();
    let answers = answers.unwrap_or_default();
    let run = answers.run().unwrap_or_default();
    let band = band_of(attempt);
    if let Some(due) = origin.answers_due(node) {
        check_exit(node, answers, due.saturating_sub(now))?;
    }
    let taken = node
        .uplink
        .read(|it| it.check_capacity(answers.bytes(), run, within, band, now));
    taken.map_err(|after| End::Refused(Refusal::retry(Reason::Overload, after)))
}

/// Refuses an attempt whose answer comes after its entry or this daemon has exited even if the
/// uplink is idle. A late answer to a caller that waits on is better than none; this one would
/// reach nobody.
fn check_exit(node: &Node, answers: AnswerStats, left: Duration) -> Result<(), End> {
    let sending = node.uplink.read(|it| it.sending_time(answers.bytes()));
    let needed = answers.run().unwrap_or_default() + sending;
    if needed <= left {
        return Ok(());
    }
    let refusal = Refusal::retry(Reason::Overload, needed.saturating_sub(left));
    Err(End::Refused(refusal))
}

/// Refuses an attempt that has waited for its slot, and whose answer the uplink can no longer
/// deliver by `answer_by`.
pub(super) fn check_before_start(
    node: &Node,
    attempt: &Attempt,
    answer_by: Time,
) -> Result<(), Refusal> {
    let tables = node.executor.tables.borrow();
    let run = tables.answers.get(&attempt.call.route);
    let run = run.and_then(AnswerStats::run).unwrap_or_default();
    let left = answer_by.saturating_sub(node.clock.now());
    let can_deliver = node.uplink.check_expected(attempt.id, run, left);
    can_deliver.map_err(|after| Refusal::retry(Reason::Overload, after))
}

/// The band of an attempt's answer on the uplink. Answers of routes that are not served late have
/// no band of their own, also if they are late.
pub(crate) fn band_of(attempt: &Attempt) -> Band {
    if attempt.late_wait.is_allowed() {
        Band::Late
    } else {
        Band::InTime
    }
}

/// Counts the answer of an accepted attempt as future load of the uplink.
pub(super) fn expect_answer(node: &Node, attempt: &Attempt) {
    let tables = node.executor.tables.borrow();
    let answers = tables.answers.get(&attempt.call.route);
    let bytes = answers.map_or(0.0, AnswerStats::bytes);
    drop(tables);
    let band = band_of(attempt);
    node.uplink.expect_answer(attempt.id, bytes, band);
}

/// Updates the statistics of a route with an answer.
pub(super) fn record(tables: &mut Tables, route: &RouteName, answer: &Answer, run: Duration) {
    if tables.answers.len() < MAX_ROUTES || tables.answers.contains_key(route) {
        let answers = tables.answers.entry(route.clone()).or_default();
        answers.record(answer.body.len(), run);
    }
}
