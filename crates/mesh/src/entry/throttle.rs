//! Refuses calls of routes whose targets fail most calls.

use rand::RngExt;
use stoatstep_calls::{Reason, Refusal, Throttle, Time};
use stoatstep_telemetry::fields;

use super::MAX_ROUTES;
use super::call::Call;
use super::forward::CompletedCall;
use crate::mechanism::Mechanism;
use crate::node::Node;
use crate::wire::End;

/// Retry delay as a share of the time left to the latency objective, so that a retry can
/// still be answered in time.
const RETRY_DELAY_SHARE: f64 = 0.25;

/// Whether the throttle admits a call. Calls of routes beyond the limit on tracked routes
/// are always admitted.
pub(super) fn admits(node: &Node, call: &Call) -> bool {
    if !node.cfg.is_enabled(Mechanism::Throttle) {
        return true;
    }
    let mut tables = node.entry.tables.borrow_mut();
    let draw = tables.rng.random();
    let throttles = &mut tables.throttles;
    let route = &call.parts.route;
    if throttles.len() >= MAX_ROUTES && !throttles.contains_key(route) {
        return true;
    }
    let throttle = throttles.entry(route.clone()).or_default();
    let now = node.clock.now();
    let is_admitted = match call.late {
        Some(_) => throttle.admits_waiting(draw, now),
        None => throttle.admits(draw, now),
    };
    let seen = *throttle;
    drop(tables);
    if !is_admitted {
        log_refused(node, call, &seen);
    }
    is_admitted
}

fn log_refused(node: &Node, call: &Call, seen: &Throttle) {
    if let Some(suppressed) = node.journal.admits("throttle", node.clock.now()) {
        slog::info!(node.log, "route throttled";
            fields::REQUEST => %call.parts.request_id, fields::ROUTE => %call.parts.route,
            fields::ASKED => seen.requests(), fields::GOOD => seen.successes(),
            fields::LEFT_OUT => suppressed);
    }
}

/// The end of a call that the throttle refuses.
pub(super) fn refused(node: &Node, call: &Call) -> CompletedCall {
    let left = call.objective.saturating_sub(node.clock.now());
    let delay = left.mul_f64(RETRY_DELAY_SHARE);
    CompletedCall::refused(Refusal::retry(Reason::Throttled, delay))
}

/// Stops counting an admitted call whose caller disconnected before its end.
///
/// A target that makes two calls at once abandons the second if the first is refused. If
/// such calls counted as failures, a throttled route would stay throttled: both calls of a
/// pair are hardly ever admitted, and of the other pairs no call succeeds.
pub(super) fn caller_left(node: &Node, call: &Call) {
    if call.late.is_some() {
        return;
    }
    let mut tables = node.entry.tables.borrow_mut();
    if let Some(throttle) = tables.throttles.get_mut(&call.parts.route) {
        throttle.discard_request();
    }
}

/// Records how an admitted call ended. A refused call says nothing about its target and is
/// not counted.
pub(super) fn record(node: &Node, call: &Call, end: &End) {
    let now = node.clock.now();
    let mut tables = node.entry.tables.borrow_mut();
    let Some(throttle) = tables.throttles.get_mut(&call.parts.route) else {
        return;
    };
    if call.late.is_some() {
        record_end(throttle, end, now);
        return;
    }
    match end {
        End::Answered(answer) if answer.is_failure() => {}
        End::Answered(_) => throttle.record_success(now),
        End::Refused(refusal) if refusal.reason == Reason::TimedOut => {}
        End::Refused(_) => Throttle::discard_request(throttle),
    }
}

/// Records how a call ended that counts only once it has ended.
fn record_end(throttle: &mut Throttle, end: &End, now: Time) {
    match end {
        End::Answered(answer) => throttle.record_end(!answer.is_failure(), now),
        End::Refused(refusal) if refusal.reason == Reason::TimedOut => {
            throttle.record_end(false, now);
        }
        End::Refused(_) => {}
    }
}
