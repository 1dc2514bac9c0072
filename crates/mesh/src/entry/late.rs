//! Calls that are served after their latency objective as well: which of them come back after a
//! refusal, and when the refused ones are to come back. The decisions are made by
//! [`ReturningCalls`](stoatstep_calls::ReturningCalls) and [`Return`].

use std::rc::Rc;
use std::time::Duration;

use rand::RngExt;
use stoatstep_calls::{
    AnswerStats, Fingerprint, LateWait, Outcome, Refusal, RefusedCall, ResolvedRoute, Return, Time,
};
use stoatstep_telemetry::fields;

use super::call::Call;
use super::forward::CompletedCall;
use crate::mechanism::Mechanism;
use crate::node::Node;
use crate::wire::{CallParts, End};

/// A call of a route that is served late.
#[derive(Clone, Copy, Debug)]
pub(super) struct LateCall {
    content: Fingerprint,
    /// When its caller sent it for the first time.
    pub(super) first_sent: Time,
    /// When its caller stops waiting, which may be later than the call's deadline.
    expires: Time,
    /// Whether it was refused before.
    has_returned: bool,
}

impl LateCall {
    fn wait(&self) -> LateWait {
        if self.has_returned {
            LateWait::Returned
        } else {
            LateWait::FirstTry
        }
    }

    /// Recognises whether a call was refused before; `None` if its route is not served late.
    pub(super) fn recognise(
        node: &Node,
        route: &ResolvedRoute,
        parts: &CallParts,
        stated: Duration,
    ) -> Option<Self> {
        if !route.policy.serves_late() || !node.cfg.is_enabled(Mechanism::LateCalls) {
            return None;
        }
        let now = node.clock.now();
        let content = parts.fingerprint();
        let mut tables = node.entry.tables.borrow_mut();
        let known = tables.returning.arrive(content, now);
        let first_sent = if let Some(known) = known {
            known.first_sent
        } else {
            now.saturating_sub(tables.time_spent(&parts.route, stated))
        };
        drop(tables);
        if known.is_some() {
            node.journal.count("calls.returned");
        }
        Some(Self {
            content,
            first_sent,
            expires: now + stated,
            has_returned: known.is_some(),
        })
    }
}

/// Whether the next attempt of a call may wait past its objective. Room elsewhere that is still in
/// time is looked for first.
pub(super) fn late_wait(node: &Node, call: &Call, is_last_attempt: bool) -> LateWait {
    let is_late = node.clock.now() >= call.objective;
    match call.late {
        Some(late) if is_late || is_last_attempt => late.wait(),
        Some(_) | None => LateWait::No,
    }
}

/// Tells the caller of a refused call when to come back, and remembers the call.
pub(super) fn refused(node: &Rc<Node>, call: &Call, completed: &mut CompletedCall) {
    let (Some(late), End::Refused(refusal)) = (call.late, &mut completed.end) else {
        return;
    };
    if refusal.outcome() != Outcome::NotRun || !refusal.reason.depends_on_load() {
        return;
    }
    let now = node.clock.now();
    let mut tables = node.entry.tables.borrow_mut();
    let answers = tables.answers.get(&call.parts.route);
    let run = answers.and_then(AnswerStats::run).unwrap_or_default();
    let asked = Return {
        left: late.expires.saturating_sub(now),
        objective: call.objective.saturating_sub(now),
        run,
        room_after: refusal.retry_after.unwrap_or_default(),
    };
    let draw = tables.rng.random();
    let delay = asked.delay(draw);
    if delay.is_some() {
        let known = RefusedCall {
            first_sent: late.first_sent,
            expires: late.expires,
        };
        tables.returning.refused(late.content, known, now);
    }
    drop(tables);
    *refusal = Refusal {
        retry_after: delay,
        ..*refusal
    };
    if late.has_returned {
        node.journal.count("calls.refused_again");
    }
    log_refused(node, call, late, asked, delay);
}

fn log_refused(node: &Node, call: &Call, late: LateCall, asked: Return, delay: Option<Duration>) {
    if let Some(left_out) = node.journal.admits("return", node.clock.now()) {
        slog::info!(node.log, "caller told when to come back";
            fields::REQUEST => %call.parts.request_id, fields::ROUTE => %call.parts.route,
            fields::RETURNED => late.has_returned, fields::ROOM_AFTER_MS => asked.room_after.as_millis(),
            fields::RETRY_AFTER_MS => delay.map(|it| it.as_millis()), fields::LEFT_OUT => left_out);
    }
}
