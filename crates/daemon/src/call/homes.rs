//! Homes of idempotency keys. The home of a key is the executor that is responsible for it; when
//! the set of upstreams changes, the new home queries previous ones before it runs a key.

use std::fmt::Display;
use std::rc::Rc;
use std::time::Duration;

use stoatstep_calls::{HomeAnswer, HomeCheck, HomeQuery, IdempotencyKey, Reason, Refusal};

use super::sync;
use super::target::RunEnd;
use super::wire::{Attempt, WireHomeAnswer, WireHomeQuery, WireHomeReply};
use crate::control::warning::warn;
use crate::node::Node;

/// Largest assumed difference between the calendar clocks of two machines.
pub(super) const SKEW: Duration = Duration::from_secs(2);

/// Time for which keys are stored.
pub(super) const RETENTION: Duration = Duration::from_mins(10);

/// Timeout of a query to a previous home.
const QUERY_TIMEOUT: Duration = Duration::from_millis(400);

/// Retry delay sent to callers while a previous home has not answered.
const MOVING_RETRY: Duration = Duration::from_millis(250);

/// Time after the deletion of an upstream in which its instance may still appear. It is longer
/// than a configuration takes to be in force everywhere.
const DELETION_GRACE: Duration = Duration::from_secs(10);

/// Checks whether this executor may run the key now. Otherwise `Err` holds the attempt's end.
pub(super) async fn check(
    node: &Rc<Node>,
    attempt: &Attempt,
    key: &IdempotencyKey,
) -> Result<(), RunEnd> {
    let home = check_home(node, attempt, key);
    let HomeCheck::Ask(home_queries) = home else {
        return home_result(&home);
    };
    for home_query in home_queries {
        query(node, key, &home_query).await?;
    }
    // The answers are valid for the set of upstreams for which the homes were queried. If the set
    // has changed in the meantime, other homes have to be queried.
    let tables = node.calls.executor.borrow();
    let unchanged = tables.homes.current_id(&key.service) == Some(attempt.call.set);
    if unchanged {
        Ok(())
    } else {
        Err(RunEnd::Refused(stale_config()))
    }
}

fn check_home(node: &Rc<Node>, attempt: &Attempt, key: &IdempotencyKey) -> HomeCheck {
    sync::apply_config(node);
    let tables = node.calls.executor.borrow();
    tables.homes.check(key, attempt.call.set)
}

fn home_result(home: &HomeCheck) -> Result<(), RunEnd> {
    match home {
        HomeCheck::Mine => Ok(()),
        HomeCheck::Ask(_) => Err(RunEnd::Refused(home_moving())),
        HomeCheck::Unsettled => Err(RunEnd::refused(Reason::KeyUnsettled)),
        HomeCheck::StaleConfig | HomeCheck::NotMine => Err(RunEnd::Refused(stale_config())),
    }
}

fn stale_config() -> Refusal {
    Refusal::retry(Reason::StaleConfig, MOVING_RETRY)
}

fn home_moving() -> Refusal {
    Refusal::retry(Reason::HomeMoving, MOVING_RETRY)
}

async fn query(
    node: &Rc<Node>,
    key: &IdempotencyKey,
    home_query: &HomeQuery,
) -> Result<(), RunEnd> {
    let Some(member) = node.control.members_serving(&home_query.upstream).pop() else {
        mark_if_deleted(node, key, home_query);
        return Err(not_confirmed(
            node,
            home_query,
            &"no instance of this upstream is known",
        ));
    };
    let message = WireHomeQuery {
        key: key.clone(),
        asker: node.cfg.upstream.clone(),
    };
    let addr = member.peer_addr;
    let answer = node
        .calls
        .peers
        .send_fresh(addr, "/peer/home", &message, QUERY_TIMEOUT);
    let reply: WireHomeReply = match answer.await {
        Ok(reply) => reply,
        Err(err) => return Err(not_confirmed(node, home_query, &err)),
    };
    if reply.version < home_query.version {
        let behind = format_args!("it has applied version {}", reply.version);
        return Err(not_confirmed(node, home_query, &behind));
    }
    let wall = node.calls.clock.wall();
    let mut tables = node.calls.executor.borrow_mut();
    tables
        .homes
        .confirm(&home_query.upstream, reply.version, wall);
    match HomeAnswer::from(reply.answer) {
        HomeAnswer::Never => Ok(()),
        HomeAnswer::Running => Err(not_confirmed(
            node,
            home_query,
            &"the key is still running there",
        )),
        HomeAnswer::Done(answer) => Err(RunEnd::Done(answer)),
        HomeAnswer::Unknown => Err(RunEnd::refused(Reason::KeyUnsettled)),
    }
}

/// Logs why a previous home has not given a usable answer, and returns the attempt's end.
fn not_confirmed(node: &Node, home_query: &HomeQuery, cause: &dyn Display) -> RunEnd {
    let what = format_args!("{}: {cause}", home_query.upstream);
    warn(node, "key waits for a previous home", &what);
    RunEnd::Refused(home_moving())
}

/// Stops querying the previous home if its upstream has been deleted. An upstream that is still
/// configured may be unreachable and run keys, so a missing answer is not enough. By deleting it
/// the operator confirms that its instance runs nothing.
fn mark_if_deleted(node: &Rc<Node>, key: &IdempotencyKey, home_query: &HomeQuery) {
    let wall = node.calls.clock.wall();
    let mut tables = node.calls.executor.borrow_mut();
    if tables.homes.is_member(&key.service, &home_query.upstream) {
        return;
    }
    if tables.homes.applied_at(home_query.version) + DELETION_GRACE < wall {
        tables
            .homes
            .mark_deleted(&home_query.upstream, home_query.version, wall);
    }
}

/// Answers the query of a new home.
pub(super) fn answer(node: &Rc<Node>, message: &WireHomeQuery) -> WireHomeReply {
    // From here on this executor uses the configuration version that it puts into the answer, so
    // it accepts no more attempts for an earlier set of upstreams.
    let version = sync::apply_config(node);
    let tables = node.calls.executor.borrow();
    if !tables.homes.is_home(&message.key, &message.asker) {
        return WireHomeReply {
            version: 0,
            answer: WireHomeAnswer::Running,
        };
    }
    let answer = tables.keys.status_for_new_home(&message.key);
    WireHomeReply {
        version,
        answer: WireHomeAnswer::from(answer),
    }
}
