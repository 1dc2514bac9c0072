//! Homes of idempotency keys: asking previous homes, and answering new ones.

use std::fmt::Display;
use std::rc::Rc;
use std::time::Duration;

use stoatstep_calls::{HomeAnswer, HomeCheck, HomeQuery, IdempotencyKey, Reason, Refusal};

use super::sync;
use super::target::RunEnd;
use super::wire::{Attempt, WireHome, WireHomeAnswer, WireHomeReply};
use crate::control::warning::warn;
use crate::node::Node;

/// Most that the calendar clocks of two machines differ.
pub(super) const SKEW: Duration = Duration::from_secs(2);

/// How long keys are remembered.
pub(super) const RETENTION: Duration = Duration::from_mins(10);

/// Time for a previous home to answer.
const ASK_BOUND: Duration = Duration::from_millis(400);

/// Pause asked for while a previous home has not answered.
const MOVING_RETRY: Duration = Duration::from_millis(250);

/// Time after a deletion in which the upstream's instance may still show up.
/// Longer than a configuration takes to be in force everywhere.
const UNKNOWN_AFTER: Duration = Duration::from_secs(10);

/// Whether this executor may run the key now; `Err` has the end otherwise.
pub(super) async fn check(
    node: &Rc<Node>,
    attempt: &Attempt,
    key: &IdempotencyKey,
) -> Result<(), RunEnd> {
    let home = checked(node, attempt, key);
    let HomeCheck::Ask(questions) = home else {
        return decide(&home);
    };
    for question in questions {
        ask(node, key, &question).await?;
    }
    // The answers hold for the set under which they were asked. A change that
    // came in meanwhile asks other homes.
    let tables = node.calls.executor.borrow();
    let unchanged = tables.homes.current_id(&key.service) == Some(attempt.call.set);
    if unchanged {
        Ok(())
    } else {
        Err(RunEnd::Refused(stale()))
    }
}

fn checked(node: &Rc<Node>, attempt: &Attempt, key: &IdempotencyKey) -> HomeCheck {
    sync::config(node);
    let tables = node.calls.executor.borrow();
    tables.homes.check(key, attempt.call.set)
}

fn decide(home: &HomeCheck) -> Result<(), RunEnd> {
    match home {
        HomeCheck::Mine => Ok(()),
        HomeCheck::Ask(_) => Err(RunEnd::Refused(moving())),
        HomeCheck::Unsettled => Err(RunEnd::refused(Reason::KeyUnsettled)),
        HomeCheck::StaleConfig | HomeCheck::NotMine => Err(RunEnd::Refused(stale())),
    }
}

fn stale() -> Refusal {
    Refusal::retry(Reason::StaleConfig, MOVING_RETRY)
}

fn moving() -> Refusal {
    Refusal::retry(Reason::HomeMoving, MOVING_RETRY)
}

async fn ask(node: &Rc<Node>, key: &IdempotencyKey, question: &HomeQuery) -> Result<(), RunEnd> {
    let Some(member) = node.control.members_serving(&question.upstream).pop() else {
        settle_deleted(node, key, question);
        return Err(unsettled(node, question, &"no instance of it is known"));
    };
    let message = WireHome {
        key: key.clone(),
        asker: node.cfg.upstream.clone(),
    };
    let addr = member.peer_addr;
    let answer = node
        .calls
        .peers
        .send_fresh(addr, "/peer/home", &message, ASK_BOUND);
    let reply: WireHomeReply = match answer.await {
        Ok(reply) => reply,
        Err(err) => return Err(unsettled(node, question, &err)),
    };
    if reply.version < question.version {
        let behind = format_args!("it has applied version {}", reply.version);
        return Err(unsettled(node, question, &behind));
    }
    let wall = node.calls.clock.wall();
    let mut tables = node.calls.executor.borrow_mut();
    tables
        .homes
        .confirm(&question.upstream, reply.version, wall);
    match HomeAnswer::from(reply.answer) {
        HomeAnswer::Never => Ok(()),
        HomeAnswer::Running => Err(unsettled(node, question, &"the key runs there")),
        HomeAnswer::Done(answer) => Err(RunEnd::Done(answer)),
        HomeAnswer::Unknown => Err(RunEnd::refused(Reason::KeyUnsettled)),
    }
}

/// The end of an attempt whose key a previous home has not spoken for.
fn unsettled(node: &Node, question: &HomeQuery, cause: &dyn Display) -> RunEnd {
    let what = format_args!("{}: {cause}", question.upstream);
    warn(node, "key waits for a previous home", &what);
    RunEnd::Refused(moving())
}

/// An upstream that is still configured may be cut off and running keys, so
/// silence alone never settles it. Its deletion is the operator's word that its
/// instance runs nothing.
fn settle_deleted(node: &Rc<Node>, key: &IdempotencyKey, question: &HomeQuery) {
    let wall = node.calls.clock.wall();
    let mut tables = node.calls.executor.borrow_mut();
    if tables.homes.is_member(&key.service, &question.upstream) {
        return;
    }
    if tables.homes.applied_at(question.version) + UNKNOWN_AFTER < wall {
        tables
            .homes
            .mark_deleted(&question.upstream, question.version, wall);
    }
}

/// Answers a new home.
pub(super) fn answer(node: &Rc<Node>, message: &WireHome) -> WireHomeReply {
    // From here on this executor judges by the configuration that it names in
    // the answer, and so takes no more attempts under an earlier set.
    let version = sync::config(node);
    let tables = node.calls.executor.borrow();
    if !tables.homes.is_home(&message.key, &message.asker) {
        return WireHomeReply {
            version: 0,
            answer: WireHomeAnswer::Running,
        };
    }
    let answer = tables.intents.status_for_new_home(&message.key);
    WireHomeReply {
        version,
        answer: WireHomeAnswer::from(answer),
    }
}
