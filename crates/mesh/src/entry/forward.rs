//! Forwards a call: makes attempts until one of them ends it.

use std::rc::Rc;
use std::time::Duration;

use stoatstep_calls::{Outcome, Reason, Refusal, RefusedAttempts};
use stoatstep_resource::UpstreamName;
use stoatstep_telemetry::fields;

use super::attempt::{self, AttemptOutcome};
use super::call::Call;
use super::choice::{Aim, choose_target, draw_leave};
use super::late;
use super::probes;
use super::traffic_split::TrafficSplit;
use crate::identity;
use crate::journal::Times;
use crate::mechanism::Mechanism;
use crate::node::Node;
use crate::quarantine;
use crate::wire::End;

/// Retry delay given to callers if no target is available.
const UNREACHABLE_RETRY: Duration = Duration::from_millis(200);

/// Attempts of one call that may be refused before its caller is. A refusal costs no run,
/// but it costs a round trip.
const MAX_REFUSED: usize = 4;

/// Attempts of one call that may be refused for overload before its caller is. If the
/// queues of so many targets are too long, the next one most likely is as well.
const MAX_OVERLOADED: usize = 3;

/// Least time left to the deadline for which another attempt is made.
const MIN_TIME_LEFT: Duration = Duration::from_millis(5);

/// Divisor of the configured retry budget. A run that is repeated also repeats the calls
/// that it makes, which are retries of another service but cannot be told from first calls
/// there, so only a part of the budget is spent directly.
const BUDGET_DIVISOR: u32 = 2;

/// How a call ended, after all of its attempts.
pub(super) struct CompletedCall {
    pub(super) end: End,
    /// Time in queues and at targets. The total is added when the call is recorded.
    pub(super) times: Times,
    pub(super) attempts: usize,
    /// The target of the last attempt, and whether it is in another zone.
    pub(super) placed: Option<(UpstreamName, bool)>,
}

/// Makes attempts until the call has an answer or must not be tried again.
pub(super) async fn forward(node: &Rc<Node>, call: &Call) -> CompletedCall {
    let mut history = AttemptHistory::default();
    let mut split = TrafficSplit::draw(node, call);
    let leave = draw_leave(node, call);
    earn_retries(node, call);
    loop {
        // The request may have been quarantined, or its key revoked, since the last
        // attempt or because of it.
        let refusal = quarantine::refusal(node, &call.parts);
        if let Some(refusal) = refusal.or_else(|| identity::refusal(node, &call.parts)) {
            history.record(AttemptOutcome::refused(refusal, false));
            return history.finish();
        }
        let late_wait = late::late_wait(node, call, history.is_last_attempt(node));
        let is_late = late_wait.is_allowed();
        let aim = Aim {
            tried: if is_late { &[] } else { &history.tried },
            leave: &leave,
            is_late,
        };
        let Some((pick, place)) = choose_target(node, call, aim, &mut split) else {
            return history.finish();
        };
        probes::send(node, &call.parts.service, split.allowed_targets());
        let outcome = attempt::make_attempt(node, call, &pick.upstream, place, late_wait).await;
        split.update(&outcome.end);
        history.tried.push(pick.upstream.clone());
        history.placed = Some((pick.upstream, pick.spilled));
        let is_over = !should_retry(node, call, &mut history, &outcome);
        history.record(outcome);
        if is_over {
            return history.finish();
        }
    }
}

/// The attempts of one call so far.
#[derive(Default)]
struct AttemptHistory {
    tried: Vec<UpstreamName>,
    placed: Option<(UpstreamName, bool)>,
    /// Attempts that reached their targets, or may have.
    arrived: u32,
    /// Attempts that were refused for overload.
    overloaded: usize,
    attempts: RefusedAttempts,
    times: Times,
    best: Option<End>,
}

impl CompletedCall {
    /// A call that was refused before any attempt.
    pub(super) fn refused(refusal: Refusal) -> Self {
        Self {
            end: End::Refused(refusal),
            times: Times::default(),
            attempts: 0,
            placed: None,
        }
    }
}

impl AttemptHistory {
    /// Whether its caller is refused if the next attempt is refused for overload.
    fn is_last_attempt(&self, node: &Node) -> bool {
        self.overloaded + 1 >= max_overloaded(node) || self.tried.len() + 1 >= MAX_REFUSED
    }

    /// Records an attempt, and keeps the end that tells the caller most: an answer is never
    /// replaced by a refusal.
    fn record(&mut self, outcome: AttemptOutcome) {
        self.times.queue += outcome.in_queue;
        self.times.target += outcome.at_target;
        let end = match outcome.end {
            End::Refused(refusal) => End::Refused(self.attempts.refused(refusal)),
            answered @ End::Answered(_) => answered,
        };
        let keeps = matches!(self.best, Some(End::Answered(_))) && matches!(end, End::Refused(_));
        if !keeps {
            self.best = Some(end);
        }
    }

    fn finish(self) -> CompletedCall {
        let no_target = || End::Refused(Refusal::retry(Reason::NoUpstream, UNREACHABLE_RETRY));
        CompletedCall {
            end: self.best.unwrap_or_else(no_target),
            times: self.times,
            attempts: self.tried.len(),
            placed: self.placed,
        }
    }
}

/// Whether another attempt may and should follow this one.
fn should_retry(
    node: &Node,
    call: &Call,
    history: &mut AttemptHistory,
    outcome: &AttemptOutcome,
) -> bool {
    history.arrived += u32::from(outcome.arrived);
    let idempotent = call.parts.idempotent;
    let may = match &outcome.end {
        End::Answered(answer) => idempotent && answer.is_failure(),
        End::Refused(refusal) => match refusal.outcome() {
            Outcome::NotRun => may_try_other_target(node, history, refusal.reason),
            Outcome::Unknown | Outcome::Answered => {
                idempotent && refusal.reason != Reason::TimedOut
            }
        },
    };
    let allowed = call.route.policy.retry.attempts;
    let has_time = call.time_left(node) > MIN_TIME_LEFT;
    if !may || !has_time || history.arrived >= allowed {
        return false;
    }
    !outcome.arrived || take_retry(node, call)
}

fn max_overloaded(node: &Node) -> usize {
    if node.cfg.is_enabled(Mechanism::SecondQueue) {
        MAX_OVERLOADED
    } else {
        1
    }
}

fn may_try_other_target(node: &Node, history: &mut AttemptHistory, reason: Reason) -> bool {
    if matches!(reason, Reason::Overload | Reason::Deadline) {
        history.overloaded += 1;
    }
    reason.allows_retry()
        && history.tried.len() < MAX_REFUSED
        && history.overloaded < max_overloaded(node)
}

/// Credits the retry budget of the call's service.
fn earn_retries(node: &Node, call: &Call) {
    let mut tables = node.entry.tables.borrow_mut();
    let (percent, reserve) = (earned_percent(node), max_saved_retries(node));
    let budget = tables.budgets.entry(call.parts.service.clone());
    let budget = budget.or_default();
    budget.set_reserve(reserve);
    budget.earn(percent);
}

/// Retries that each call adds to the budget, in hundredths.
fn earned_percent(node: &Node) -> u32 {
    node.cfg.retries.percent / BUDGET_DIVISOR
}

/// This daemon's share of the retries that the whole fleet may accumulate.
fn max_saved_retries(node: &Node) -> u32 {
    let daemons = u32::try_from(node.fleet.size()).unwrap_or(u32::MAX);
    node.cfg.retries.slack / BUDGET_DIVISOR / daemons.max(1)
}

/// Takes a retry from the budget of the call's service; `false` if none is left.
fn take_retry(node: &Node, call: &Call) -> bool {
    let mut tables = node.entry.tables.borrow_mut();
    let budget = tables.budgets.entry(call.parts.service.clone());
    let has_left = budget.or_default().take();
    drop(tables);
    if !has_left {
        node.journal.count("retries.refused");
        if let Some(suppressed) = node.journal.admits("retry", node.clock.now()) {
            slog::info!(node.log, "retry budget spent";
                fields::REQUEST => %call.parts.request_id, fields::SERVICE => %call.parts.service,
                fields::PERCENT => earned_percent(node), fields::RESERVE => max_saved_retries(node),
                fields::LEFT_OUT => suppressed);
        }
    }
    has_left
}
