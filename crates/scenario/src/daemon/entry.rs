//! Entry: takes a call and makes attempts until one settles it.

use std::collections::BTreeSet;
use std::rc::Rc;

use smol_str::SmolStr;
use stoatstep_calls::{
    AttemptId, Backoff, Class, Deadline, IdempotencyKey, KeyText, Load, Outcome, RateLimit, Reason,
    Refusal, RefusedAttempts, Report, Ticket, UnansweredOutcome, UpstreamSetId, home_of, may_retry,
    upstream_set_id,
};
use stoatstep_membership::Time;
use stoatstep_resource::{CustomerName, Kind, Resource, ServiceName, State, UpstreamName};

use super::calls::{End, InFlight, candidates, index_serving, set_of};
use super::{Node, attempt};
use crate::world::Index;

const UNREACHABLE_RETRY: Time = Time::from_millis(250);
const DRAINING_RETRY: Time = Time::from_millis(100);
const NOT_READY_RETRY: Time = Time::from_millis(500);
const LEAST_ATTEMPT: Time = Time::from_millis(1);
const TICKETS: u32 = 3;
const ATTEMPTS: u32 = 3;
const BUDGET_PERCENT: u32 = 20;

/// One request of a caller.
#[derive(Clone)]
pub(crate) struct Call {
    /// Unique, also among a caller's own retries.
    pub(crate) id: u64,
    /// Its name in the scenario.
    pub(crate) name: SmolStr,
    pub(crate) path: SmolStr,
    /// What it asks for; the answer has to repeat it.
    pub(crate) body: SmolStr,
    pub(crate) key: Option<KeyText>,
    pub(crate) idempotent: bool,
    pub(crate) tenant: CustomerName,
    pub(crate) class: Class,
    pub(crate) left: Time,
}

/// What every attempt of one call has in common.
pub(super) struct Carried {
    pub(super) call: Call,
    pub(super) service: ServiceName,
    pub(super) key: Option<IdempotencyKey>,
    pub(super) set: UpstreamSetId,
    names: BTreeSet<UpstreamName>,
    pub(super) deadline: Deadline,
}

/// An attempt on its way to an executor.
#[derive(Clone)]
pub(super) struct Attempt {
    pub(super) id: AttemptId,
    pub(super) ticket: Ticket,
    pub(super) left: Time,
    /// Limit that the target stated to the entry.
    pub(super) limit: Option<RateLimit>,
    pub(super) carried: Rc<Carried>,
}

/// An executor's answer to an attempt.
pub(super) struct Reply {
    pub(super) ticket: Ticket,
    pub(super) load: Load,
    pub(super) end: End,
}

/// Answers one caller.
pub(crate) async fn handle(node: Rc<Node>, call: Call) -> End {
    if node.is_draining() {
        return Err(Refusal::retry(Reason::Draining, DRAINING_RETRY));
    }
    let _in_flight = InFlight::enter(&node);
    if !node.control.borrow().serves {
        return Err(Refusal::retry(Reason::NotReady, NOT_READY_RETRY));
    }
    let state = node.in_force();
    let Some(service) = service_for(&state, &call.path) else {
        return Err(Refusal::permanent(Reason::NoRoute));
    };
    let names = set_of(&state, &service);
    let carried = Rc::new(Carried {
        deadline: Deadline::after(call.left, node.now()),
        key: call.key.clone().map(|key| IdempotencyKey {
            service: service.clone(),
            tenant: call.tenant.clone(),
            key,
        }),
        set: upstream_set_id(&names),
        names,
        service,
        call,
    });
    carry(&node, &carried).await
}

fn service_for(state: &State, path: &str) -> Option<ServiceName> {
    let routes = state.of_kind(Kind::Route);
    let matching = routes.filter_map(|held| match held.resource.as_ref() {
        Resource::Route(it) if path.starts_with(it.prefix.as_str()) => Some(it.clone()),
        _ => None,
    });
    let longest = matching.max_by_key(|it| it.prefix.len());
    longest.map(|it| it.service)
}

/// Makes attempts until one settles the call.
async fn carry(node: &Rc<Node>, carried: &Rc<Carried>) -> End {
    let mut tried = Vec::new();
    let mut made = 0;
    let mut attempts = RefusedAttempts::default();
    earn(node, &carried.service);
    loop {
        made += 1;
        let end = match choose(node, carried, &tried) {
            Some((upstream, to)) => {
                let end = attempt_at(node, carried, &upstream, to).await;
                tried.push(upstream);
                end
            }
            None => Err(Refusal::retry(unreachable(carried), UNREACHABLE_RETRY)),
        };
        let Err(refusal) = end else {
            return end;
        };
        let ends_so = attempts.refused(refusal);
        let fresh = carried.key.is_none() && tried.len() < carried.names.len();
        let Some(pause) = next_pause(node, carried, &refusal, made, fresh) else {
            return Err(ends_so);
        };
        if !fresh {
            tried.clear();
        }
        node.sleep(pause).await;
    }
}

fn unreachable(carried: &Carried) -> Reason {
    match carried.key {
        Some(_) => Reason::HomeUnreachable,
        None => Reason::NoUpstream,
    }
}

fn earn(node: &Node, service: &ServiceName) {
    let calls = &mut *node.calls.borrow_mut();
    let budget = calls.budgets.entry(service.clone()).or_default();
    budget.earn(BUDGET_PERCENT);
}

fn choose(node: &Node, carried: &Carried, tried: &[UpstreamName]) -> Option<(UpstreamName, Index)> {
    let upstream = if let Some(key) = &carried.key {
        home_of(&carried.names, key)?.clone()
    } else {
        pick(node, carried, tried).or_else(|| {
            candidates(node);
            pick(node, carried, tried)
        })?
    };
    let to = index_serving(node, &upstream)?;
    Some((upstream, to))
}

fn pick(node: &Node, carried: &Carried, tried: &[UpstreamName]) -> Option<UpstreamName> {
    let now = node.now();
    let calls = &mut *node.calls.borrow_mut();
    let service = &carried.service;
    let pick = calls.router.pick(service, tried, now, &mut calls.rng)?;
    Some(pick.upstream)
}

fn next_pause(
    node: &Node,
    carried: &Carried,
    refusal: &Refusal,
    made: u32,
    fresh: bool,
) -> Option<Time> {
    let settlement = match refusal.outcome() {
        Outcome::NotRun => UnansweredOutcome::NotRun,
        Outcome::Unknown | Outcome::Answered => UnansweredOutcome::Unknown,
    };
    let may = may_retry(settlement, carried.call.idempotent, 0, made, ATTEMPTS);
    if !may || !refusal.reason.allows_retry() {
        return None;
    }
    let left = carried.deadline.left(node.now());
    let calls = &mut *node.calls.borrow_mut();
    let pause = if fresh && settlement == UnansweredOutcome::NotRun {
        (LEAST_ATTEMPT < left).then_some(Time::ZERO)?
    } else {
        let floor = floor(carried, refusal);
        Backoff::default().pause(made, floor, LEAST_ATTEMPT, left, &mut calls.rng)?
    };
    let budget = calls.budgets.entry(carried.service.clone()).or_default();
    budget.take().then_some(pause)
}

fn floor(carried: &Carried, refusal: &Refusal) -> Time {
    match carried.key {
        Some(_) => refusal.retry_after.unwrap_or_default(),
        None => Time::ZERO,
    }
}

async fn attempt_at(
    node: &Rc<Node>,
    carried: &Rc<Carried>,
    upstream: &UpstreamName,
    to: Index,
) -> End {
    let service = &carried.service;
    node.calls.borrow_mut().router.started(service, upstream);
    let mut last = (Err(Refusal::permanent(Reason::StaleTicket)), Report::Failed);
    for _ in 0..TICKETS {
        last = attempt::once(node, carried, to).await;
        let is_stale = matches!(&last.0, Err(it) if it.reason == Reason::StaleTicket);
        if !is_stale {
            break;
        }
    }
    let (end, report) = last;
    let now = node.now();
    let router = &mut node.calls.borrow_mut().router;
    router.finished(service, upstream, report, now);
    end
}
