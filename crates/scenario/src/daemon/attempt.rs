//! One attempt at one executor, and settling it where its answer went missing.

use std::rc::Rc;

use rand::RngExt;
use stoatstep_calls::{
    AttemptId, AttemptStatus, Deadline, Reason, Refusal, Report, SilenceAction, SilenceConfig,
    SilenceDetector, Ticket,
};
use stoatstep_membership::Time;

use super::calls::End;
use super::entry::{Attempt, Carried, Reply};
use super::{Node, executor};
use crate::script::Safeguard;
use crate::world::Index;
use crate::world::exec::first;
use crate::world::net::{Lost, Way, ask};

const UNREACHABLE_RETRY: Time = Time::from_millis(100);
const LAST_WORD: Time = Time::from_millis(20);
const ASK_BOUND: Time = Time::from_millis(300);
const ASK_TRIES: u32 = 3;
const FIRST_PAUSE: Time = Time::from_millis(10);
const LONGEST_PAUSE: Time = Time::from_millis(250);
/// Longer than any deadline: the wait for an answer has bounds of its own.
const UNBOUNDED: Time = Time::from_mins(5);

pub(super) async fn once(node: &Rc<Node>, carried: &Rc<Carried>, to: Index) -> (End, Report) {
    let now = node.now();
    let Some(left) = carried.deadline.for_next_hop(now) else {
        let late = Refusal::permanent(Reason::Deadline);
        return (Err(late), Report::Cancelled);
    };
    let id = node.calls.borrow_mut().rng.random();
    let attempt = Attempt {
        id,
        ticket: ticket(node, to),
        left,
        limit: node.calls.borrow().limits.get(&to),
        carried: Rc::clone(carried),
    };
    if to == node.index {
        return of_reply(executor::execute(Rc::clone(node), attempt).await);
    }
    exchange(node, carried, to, attempt).await
}

fn ticket(node: &Node, to: Index) -> Ticket {
    let unknown = Ticket {
        incarnation: 0,
        stamp: Time::ZERO,
    };
    let calls = node.calls.borrow();
    if to == node.index {
        return calls.ledger.ticket(node.now());
    }
    calls.tickets.get(&to).copied().unwrap_or(unknown)
}

async fn exchange(
    node: &Rc<Node>,
    carried: &Carried,
    to: Index,
    attempt: Attempt,
) -> (End, Report) {
    let remote = Remote {
        to,
        attempt: attempt.id,
        ticket: attempt.ticket,
    };
    let patience = carried.deadline.left(node.now()) + LAST_WORD;
    let execute = async move |peer: Rc<Node>| executor::execute(peer, attempt).await;
    let sent = ask(node, to, Way::Shared, UNBOUNDED, execute);
    let watch = first(remote.silent(node), node.world.exec.sleep(patience));
    match first(sent, watch).await {
        Ok(Ok(reply)) => {
            node.calls.borrow_mut().tickets.insert(to, reply.ticket);
            let limits = &mut node.calls.borrow_mut().limits;
            limits.record(to, reply.load.limit.known);
            of_reply(reply)
        }
        Ok(Err(Lost::NotSent)) => {
            let refusal = Refusal::retry(Reason::NoUpstream, UNREACHABLE_RETRY);
            (Err(refusal), Report::Failed)
        }
        Ok(Err(Lost::NoAnswer)) | Err(Ok(true)) => {
            (remote.settle(node, carried.deadline).await, Report::Failed)
        }
        Err(Ok(false)) => {
            let refusal = Refusal::permanent(Reason::LostAnswer);
            (Err(refusal), Report::Failed)
        }
        Err(Err(())) => {
            let end = remote.settle(node, carried.deadline).await;
            (end, Report::Cancelled)
        }
    }
}

fn of_reply(reply: Reply) -> (End, Report) {
    let load = Some(reply.load);
    let report = match &reply.end {
        Ok(_) => Report::Answered(load),
        Err(refusal) => match refusal.reason {
            Reason::Draining => Report::Leaving,
            Reason::NoUpstream | Reason::LostAnswer => Report::Failed,
            Reason::Overload | Reason::Limited | Reason::Shed | Reason::Woke => {
                Report::Refused(load, refusal.retry_after.unwrap_or_default())
            }
            _ => Report::Cancelled,
        },
    };
    (reply.end, report)
}

/// An attempt at another instance.
#[derive(Clone, Copy)]
struct Remote {
    to: Index,
    attempt: AttemptId,
    ticket: Ticket,
}

impl Remote {
    async fn ask(&self, node: &Rc<Node>, revoke: bool) -> Option<AttemptStatus> {
        let Self {
            attempt, ticket, ..
        } = *self;
        let settle = async move |peer: Rc<Node>| executor::settle(&peer, attempt, ticket, revoke);
        let answer = ask(node, self.to, Way::Fresh, ASK_BOUND, settle).await;
        answer.ok()
    }

    /// Revokes the attempt and gives its end: not run, the whole answer, or an
    /// honest "unknown".
    async fn settle(&self, node: &Rc<Node>, deadline: Deadline) -> End {
        if node.world.is_without(Safeguard::Revoke) {
            return Err(Refusal::retry(Reason::Revoked, FIRST_PAUSE));
        }
        let mut pause = FIRST_PAUSE;
        let mut unanswered = 0;
        loop {
            match self.ask(node, true).await {
                Some(AttemptStatus::NotRun) => {
                    return Err(Refusal::retry(Reason::Revoked, FIRST_PAUSE));
                }
                Some(AttemptStatus::Done(answer)) => return Ok(answer),
                Some(AttemptStatus::DoneWithoutAnswer) => {
                    return Err(Refusal::permanent(Reason::AnswerTooLarge));
                }
                Some(AttemptStatus::Unknown) => return Err(Refusal::permanent(Reason::LostAnswer)),
                Some(AttemptStatus::NeverSeen | AttemptStatus::Queued | AttemptStatus::Running) => {
                    if deadline.passed(node.now()) {
                        return Err(Refusal::permanent(Reason::TimedOut));
                    }
                }
                None => {
                    unanswered += 1;
                    if unanswered >= ASK_TRIES {
                        return Err(Refusal::permanent(Reason::LostAnswer));
                    }
                }
            }
            node.sleep(pause).await;
            pause = (pause * 2).min(LONGEST_PAUSE);
        }
    }

    /// Ends when the attempt's connection has to be given up; `false` where no
    /// fresh connection gets an answer either.
    async fn silent(&self, node: &Rc<Node>) -> bool {
        let cfg = SilenceConfig::default();
        let sent = node.now();
        node.sleep(cfg.first_ask).await;
        let mut silence = SilenceDetector::new(cfg);
        silence.sent(self.attempt, sent);
        loop {
            let now = node.now();
            for action in silence.tick(now) {
                let action = match action {
                    SilenceAction::Ask(attempt) => match self.ask(node, false).await {
                        Some(settled) => silence.ledger_answered(attempt, &settled, node.now()),
                        None => None,
                    },
                    other => Some(other),
                };
                match action {
                    Some(SilenceAction::Retire(_)) => return true,
                    Some(SilenceAction::GiveUp(_)) => return false,
                    Some(SilenceAction::Ask(_)) | None => {}
                }
            }
            let due = silence.due(self.attempt).unwrap_or(now);
            let wait = due.saturating_sub(node.now());
            node.sleep(wait + Time::from_millis(1)).await;
        }
    }
}
