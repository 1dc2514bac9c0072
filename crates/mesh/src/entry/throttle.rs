//! Refuses calls of routes whose targets mostly fail.

use rand::RngExt;
use stoatstep_calls::{Reason, Refusal, Throttle};
use stoatstep_telemetry::fields;

use super::MAX_ROUTES;
use super::call::Call;
use super::carry::Carried;
use crate::mechanism::Mechanism;
use crate::node::Node;
use crate::wire::End;

/// Pause asked for, as a part of the time to the latency objective: whoever comes back
/// after it can still be answered in time.
const PAUSE_SHARE: f64 = 0.25;

/// Whether a call is let through. Where too many routes are watched, the others are let
/// through unwatched.
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
    let is_let_through = throttle.admits(draw, node.clock.now());
    let seen = *throttle;
    drop(tables);
    if !is_let_through {
        note_refused(node, call, &seen);
    }
    is_let_through
}

fn note_refused(node: &Node, call: &Call, seen: &Throttle) {
    if let Some(left_out) = node.journal.admits("throttle", node.clock.now()) {
        slog::info!(node.log, "route throttled";
            fields::REQUEST => %call.parts.request_id, fields::ROUTE => %call.parts.route,
            fields::ASKED => seen.asked(), fields::GOOD => seen.ended_well(),
            fields::LEFT_OUT => left_out);
    }
}

/// What a call that is not let through ends with.
pub(super) fn refused(node: &Node, call: &Call) -> Carried {
    let left = call.objective.saturating_sub(node.clock.now());
    let pause = left.mul_f64(PAUSE_SHARE);
    Carried::refused(Refusal::retry(Reason::Throttled, pause))
}

/// The caller of a call that was let through left before its end.
///
/// A target that makes two calls at once gives up the second where the first is
/// refused. Were such calls to count like failures, a route that is shut would stay
/// so: hardly a pair is let through whole, and of the others nothing ends well.
pub(super) fn left(node: &Node, call: &Call) {
    let mut tables = node.entry.tables.borrow_mut();
    if let Some(throttle) = tables.throttles.get_mut(&call.parts.route) {
        throttle.unknown();
    }
}

/// Learns from how a call ended. A call that was refused says nothing about what
/// its target would have done.
pub(super) fn note(node: &Node, call: &Call, end: &End) {
    let now = node.clock.now();
    let mut tables = node.entry.tables.borrow_mut();
    let Some(throttle) = tables.throttles.get_mut(&call.parts.route) else {
        return;
    };
    match end {
        End::Answered(answer) if answer.is_failure() => {}
        End::Answered(_) => throttle.good(now),
        End::Refused(refusal) if refusal.reason == Reason::TimedOut => {}
        End::Refused(_) => Throttle::unknown(throttle),
    }
}
