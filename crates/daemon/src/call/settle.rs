//! Settling an attempt whose answer did not come: asking its executor's ledger
//! over a fresh connection.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ntex::time::{Millis, sleep};
use stoatstep_calls::{
    AttemptId, AttemptStatus, Deadline, Reason, Refusal, SilenceAction, SilenceConfig,
    SilenceDetector, Ticket,
};

use super::run;
use super::target::RunEnd;
use super::wire::{WireSettle, WireSettled};
use crate::node::Node;

/// Time for one question to a ledger.
const ASK_BOUND: Duration = Duration::from_millis(200);

/// Questions that may stay without an answer.
const TRIES: u32 = 3;

/// First pause between two questions; each further one doubles it.
const FIRST_PAUSE: Duration = Duration::from_millis(10);

/// Longest pause between two questions.
const LONGEST_PAUSE: Duration = Duration::from_millis(250);

/// Pause before a revoked call is worth sending again.
const REVOKED_RETRY: Duration = Duration::from_millis(10);

/// An attempt at another daemon.
#[derive(Clone, Copy, Debug)]
pub(super) struct Remote {
    pub(super) addr: SocketAddr,
    pub(super) attempt: AttemptId,
    pub(super) ticket: Ticket,
}

impl Remote {
    async fn ask(&self, node: &Rc<Node>, path: &str) -> Option<AttemptStatus> {
        let message = WireSettle {
            attempt: self.attempt,
            ticket: self.ticket,
        };
        let peers = &node.calls.peers;
        let answer = peers.send_fresh(self.addr, path, &message, ASK_BOUND).await;
        let answer: WireSettled = answer.ok()?;
        Some(answer.into())
    }

    /// Revokes the attempt and gives its end: not run, the whole answer, or an
    /// honest "unknown".
    pub(super) async fn settle(&self, node: &Rc<Node>, deadline: Deadline) -> RunEnd {
        let mut pause = FIRST_PAUSE;
        let mut unanswered = 0;
        loop {
            match self.ask(node, "/peer/revoke").await {
                Some(AttemptStatus::NotRun) => {
                    return RunEnd::Refused(Refusal::retry(Reason::Revoked, REVOKED_RETRY));
                }
                Some(AttemptStatus::Done(answer)) => return RunEnd::Done(answer),
                Some(AttemptStatus::DoneWithoutAnswer) => {
                    return RunEnd::refused(Reason::AnswerTooLarge);
                }
                Some(AttemptStatus::Unknown) => return RunEnd::refused(Reason::LostAnswer),
                Some(AttemptStatus::NeverSeen | AttemptStatus::Queued | AttemptStatus::Running) => {
                    if deadline.passed(node.calls.clock.now()) {
                        return RunEnd::refused(Reason::TimedOut);
                    }
                }
                None => {
                    unanswered += 1;
                    if unanswered >= TRIES {
                        return RunEnd::refused(Reason::LostAnswer);
                    }
                }
            }
            sleep(pause).await;
            pause = (pause * 2).min(LONGEST_PAUSE);
        }
    }

    /// Ends when the attempt's connection has to be given up. `false` where no
    /// fresh connection gets an answer either.
    pub(super) async fn silent(&self, node: &Rc<Node>, idempotent: bool) -> bool {
        let mut cfg = SilenceConfig::default();
        if idempotent {
            // Another executor may run it too, so there is no use in waiting.
            cfg.unanswered = 1;
        }
        let sent = node.calls.clock.now();
        node.calls.alarms.until(sent + cfg.first_ask).await;
        let mut silence = SilenceDetector::new(cfg);
        silence.sent(self.attempt, sent);
        loop {
            let now = node.calls.clock.now();
            for action in silence.tick(now) {
                match self.act(node, &mut silence, action).await {
                    Some(SilenceAction::Retire(_)) => return true,
                    Some(SilenceAction::GiveUp(_)) => return false,
                    Some(SilenceAction::Ask(_)) | None => {}
                }
            }
            let due = silence.due(self.attempt).unwrap_or(now);
            let wait = due.saturating_sub(node.calls.clock.now());
            sleep(Millis::from(wait) + Millis(1)).await;
        }
    }

    async fn act(
        &self,
        node: &Rc<Node>,
        silence: &mut SilenceDetector,
        action: SilenceAction,
    ) -> Option<SilenceAction> {
        let SilenceAction::Ask(attempt) = action else {
            return Some(action);
        };
        let settled = self.ask(node, "/peer/peek").await?;
        silence.ledger_answered(attempt, &settled, node.calls.clock.now())
    }
}

/// Answers `/peer/peek`.
pub(super) fn peek(node: &Rc<Node>, message: WireSettle) -> WireSettled {
    let now = node.calls.clock.now();
    let tables = node.calls.executor.borrow();
    tables
        .ledger
        .peek(message.attempt, message.ticket, now)
        .into()
}

/// Answers `/peer/revoke`.
pub(super) fn revoke(node: &Rc<Node>, message: WireSettle) -> WireSettled {
    let now = node.calls.clock.now();
    let mut tables = node.calls.executor.borrow_mut();
    let settled = tables.ledger.revoke(message.attempt, message.ticket, now);
    drop(tables);
    if settled == AttemptStatus::NotRun {
        // It may wait in the queue, where it would only take a place.
        run::cancel(node, message.attempt);
    }
    settled.into()
}

/// Answers `/peer/cancel`: the caller has gone.
pub(super) fn cancel(node: &Rc<Node>, message: WireSettle) -> WireSettled {
    let settled = revoke(node, message);
    if matches!(settled, WireSettled::Running) {
        run::cancel_unkeyed(node, message.attempt);
    }
    settled
}
