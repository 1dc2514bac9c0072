//! Makes attempts until one of them ends the call.

use std::rc::Rc;
use std::time::Duration;

use stoatstep_calls::{Among, Attempts, Outcome, Pick, Reason, Refusal, Wish};
use stoatstep_resource::UpstreamName;
use stoatstep_telemetry::fields;

use super::Tables;
use super::attempt::{self, Ended};
use super::call::Call;
use super::divided::Divided;
use super::probes;
use crate::fleet::TargetLocation;
use crate::identity;
use crate::journal::Times;
use crate::mechanism::Mechanism;
use crate::node::Node;
use crate::quarantine;
use crate::wire::End;

/// Pause asked for where no executor can be reached.
const UNREACHABLE_RETRY: Duration = Duration::from_millis(200);

/// Executors that one call may be refused by before its caller is. Those
/// refusals cost no run, but each costs a way there and back.
const MAX_REFUSALS: usize = 4;

/// The same for refusals by overload. Where two queues are too long, so most
/// likely is the third.
const MAX_OVERLOADED: usize = 3;

/// Least time that another attempt is worth starting for.
const LEAST_TIME: Duration = Duration::from_millis(5);

/// Part of the retries allowed to the fleet that is used, as a divisor. A run
/// that is repeated repeats the calls that it makes, and those count as retries
/// of another service, where they can't be told from first ones.
const BUDGET_SHARE: u32 = 2;

/// A call that was carried to its end.
pub(super) struct Carried {
    pub(super) end: End,
    /// Time in queues and at targets; the total is not known here.
    pub(super) times: Times,
    pub(super) attempts: usize,
    /// The target that was tried last, and whether it is of another zone.
    pub(super) placed: Option<(UpstreamName, bool)>,
}

/// Carries a call to its end.
pub(super) async fn carry(node: &Rc<Node>, call: &Call) -> Carried {
    let mut made = Made::default();
    let mut divided = Divided::of(node, call);
    earn(node, call);
    loop {
        // Word may have come since the last attempt, or because of it.
        let refusal = quarantine::refusal(node, &call.parts);
        if let Some(refusal) = refusal.or_else(|| identity::refusal(node, &call.parts)) {
            made.note(Ended::refused(refusal, false));
            return made.finish();
        }
        let Some((pick, place)) = choose(node, call, &made.tried, &mut divided) else {
            return made.finish();
        };
        probes::ask(node, &call.parts.service, divided.among());
        let ended = attempt::at(node, call, &pick.upstream, place).await;
        divided.note(&ended.end);
        made.tried.push(pick.upstream.clone());
        made.placed = Some((pick.upstream, pick.spilled));
        let is_over = !may_go_on(node, call, &mut made, &ended);
        made.note(ended);
        if is_over {
            return made.finish();
        }
    }
}

/// The attempts of one call so far.
#[derive(Default)]
struct Made {
    tried: Vec<UpstreamName>,
    placed: Option<(UpstreamName, bool)>,
    /// Attempts that their targets got to see.
    arrived: u32,
    overloaded: usize,
    attempts: Attempts,
    times: Times,
    best: Option<End>,
}

impl Carried {
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

impl Made {
    /// Keeps the ending that tells the caller most.
    fn note(&mut self, ended: Ended) {
        self.times.queue += ended.in_queue;
        self.times.target += ended.at_target;
        let end = match ended.end {
            End::Refused(refusal) => End::Refused(self.attempts.refused(refusal)),
            answered @ End::Answered(_) => answered,
        };
        let keeps = matches!(self.best, Some(End::Answered(_))) && matches!(end, End::Refused(_));
        if !keeps {
            self.best = Some(end);
        }
    }

    fn finish(self) -> Carried {
        let nobody = || End::Refused(Refusal::retry(Reason::NoUpstream, UNREACHABLE_RETRY));
        Carried {
            end: self.best.unwrap_or_else(nobody),
            times: self.times,
            attempts: self.tried.len(),
            placed: self.placed,
        }
    }
}

/// The targets that are left, on the side that the call is to go to or, where that side
/// has none, on the other one if that may take it.
fn choose(
    node: &Node,
    call: &Call,
    tried: &[UpstreamName],
    divided: &mut Divided,
) -> Option<(Pick, TargetLocation)> {
    let pick = choose_among(node, call, tried, divided.among());
    if pick.is_some() || !divided.turns_back() {
        return pick;
    }
    choose_among(node, call, tried, divided.among())
}

fn choose_among(
    node: &Node,
    call: &Call,
    tried: &[UpstreamName],
    among: Among<'_>,
) -> Option<(Pick, TargetLocation)> {
    let now = node.clock.now();
    let mut tables = node.entry.tables.borrow_mut();
    let Tables {
        placement,
        answers,
        rng,
        ..
    } = &mut *tables;
    let answers = answers.get(&call.parts.route).copied().unwrap_or_default();
    let wish = Wish {
        objective: call.objective.saturating_sub(now),
        answer_bytes: if node.cfg.is_enabled(Mechanism::AnswerSize) {
            answers.bytes()
        } else {
            0.0
        },
        run: answers
            .run()
            .filter(|_| node.cfg.is_enabled(Mechanism::RouteTime)),
        among,
    };
    let pick = placement.pick(&call.parts.service, tried, wish, now, rng)?;
    let place = node.fleet.target_location(&pick.upstream)?;
    Some((pick, place))
}

/// Whether another attempt may and should follow this one.
fn may_go_on(node: &Node, call: &Call, made: &mut Made, ended: &Ended) -> bool {
    made.arrived += u32::from(ended.arrived);
    let idempotent = call.parts.idempotent;
    let may = match &ended.end {
        End::Answered(answer) => idempotent && answer.is_failure(),
        End::Refused(refusal) => match refusal.outcome() {
            Outcome::NotRun => is_worth_asking_on(node, made, refusal.reason),
            Outcome::Unknown | Outcome::Answered => {
                idempotent && refusal.reason != Reason::TimedOut
            }
        },
    };
    let allowed = call.route.policy.retry.attempts;
    let has_time = call.deadline.left(node.clock.now()) > LEAST_TIME;
    if !may || !has_time || made.arrived >= allowed {
        return false;
    }
    !ended.arrived || take_retry(node, call)
}

fn is_worth_asking_on(node: &Node, made: &mut Made, reason: Reason) -> bool {
    let overloaded = if node.cfg.is_enabled(Mechanism::SecondQueue) {
        MAX_OVERLOADED
    } else {
        1
    };
    if matches!(reason, Reason::Overload | Reason::Deadline) {
        made.overloaded += 1;
    }
    reason.allows_retry() && made.tried.len() < MAX_REFUSALS && made.overloaded < overloaded
}

fn earn(node: &Node, call: &Call) {
    let mut tables = node.entry.tables.borrow_mut();
    let (percent, reserve) = (percent(node), reserve(node));
    let budget = tables.budgets.entry(call.parts.service.clone());
    let budget = budget.or_default();
    budget.set_reserve(reserve);
    budget.earn(percent);
}

/// Retries that each call earns, in hundredths.
fn percent(node: &Node) -> u32 {
    node.cfg.retries.percent / BUDGET_SHARE
}

/// This daemon's part of what the whole fleet may save up.
fn reserve(node: &Node) -> u32 {
    let daemons = u32::try_from(node.fleet.size()).unwrap_or(u32::MAX);
    node.cfg.retries.slack / BUDGET_SHARE / daemons.max(1)
}

fn take_retry(node: &Node, call: &Call) -> bool {
    let mut tables = node.entry.tables.borrow_mut();
    let budget = tables.budgets.entry(call.parts.service.clone());
    let has_left = budget.or_default().take();
    drop(tables);
    if !has_left {
        node.journal.count("retries.refused");
        if let Some(left_out) = node.journal.admits("retry", node.clock.now()) {
            slog::info!(node.log, "retry budget spent";
                fields::REQUEST => %call.parts.request_id, fields::SERVICE => %call.parts.service,
                fields::PERCENT => percent(node), fields::RESERVE => reserve(node),
                fields::LEFT_OUT => left_out);
        }
    }
    has_left
}
