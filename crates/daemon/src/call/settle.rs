//! Settles an attempt whose answer did not arrive, by querying its executor's ledger over a new
//! connection, and answers such queries of other daemons.

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
use super::wire::{WireAttemptRef, WireAttemptStatus};
use crate::node::Node;

/// Timeout of one query to a ledger.
const QUERY_TIMEOUT: Duration = Duration::from_millis(200);

/// Queries without an answer after which the attempt counts as lost.
const MAX_UNANSWERED: u32 = 3;

/// First delay between two queries; it doubles each time.
const FIRST_DELAY: Duration = Duration::from_millis(10);

/// Longest delay between two queries.
const MAX_DELAY: Duration = Duration::from_millis(250);

/// Retry delay after an attempt was revoked.
const REVOKED_RETRY: Duration = Duration::from_millis(10);

/// An attempt at another daemon.
#[derive(Clone, Copy, Debug)]
pub(super) struct RemoteAttempt {
    pub(super) addr: SocketAddr,
    pub(super) attempt: AttemptId,
    pub(super) ticket: Ticket,
}

impl RemoteAttempt {
    async fn query(&self, node: &Rc<Node>, path: &str) -> Option<AttemptStatus> {
        let message = WireAttemptRef {
            attempt: self.attempt,
            ticket: self.ticket,
        };
        let peers = &node.calls.peers;
        let answer = peers
            .send_fresh(self.addr, path, &message, QUERY_TIMEOUT)
            .await;
        let answer: WireAttemptStatus = answer.ok()?;
        Some(answer.into())
    }

    /// Revokes the attempt and returns how it ended: not run, the whole answer, or unknown. Waits
    /// for the end of a run until the deadline, or until this daemon's drain ends its calls.
    pub(super) async fn settle(&self, node: &Rc<Node>, deadline: Deadline) -> RunEnd {
        let mut delay = FIRST_DELAY;
        let mut unanswered = 0;
        loop {
            match self.query(node, "/peer/revoke").await {
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
                    if node.calls.drain.borrow().ends_calls() {
                        return RunEnd::refused(Reason::LostAnswer);
                    }
                }
                None => {
                    unanswered += 1;
                    if unanswered >= MAX_UNANSWERED {
                        return RunEnd::refused(Reason::LostAnswer);
                    }
                }
            }
            sleep(delay).await;
            delay = (delay * 2).min(MAX_DELAY);
        }
    }

    /// Waits until the attempt's connection has to be abandoned. Returns `true` if the executor
    /// still answers queries over new connections, so that the attempt can be settled there, and
    /// `false` if it does not answer these either.
    pub(super) async fn detect_silence(&self, node: &Rc<Node>, idempotent: bool) -> bool {
        let mut cfg = SilenceConfig::default();
        if idempotent {
            // Another executor may run the call as well, so there is no reason to wait.
            cfg.unanswered = 1;
        }
        let sent = node.calls.clock.now();
        node.calls.timers.until(sent + cfg.first_ask).await;
        let mut silence = SilenceDetector::new(cfg);
        silence.sent(self.attempt, sent);
        loop {
            let now = node.calls.clock.now();
            for action in silence.tick(now) {
                match self.handle_action(node, &mut silence, action).await {
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

    async fn handle_action(
        &self,
        node: &Rc<Node>,
        silence: &mut SilenceDetector,
        action: SilenceAction,
    ) -> Option<SilenceAction> {
        let SilenceAction::Ask(attempt) = action else {
            return Some(action);
        };
        let settled = self.query(node, "/peer/peek").await?;
        silence.ledger_answered(attempt, &settled, node.calls.clock.now())
    }
}

/// Answers `/peer/peek`: returns what the ledger knows of the attempt.
pub(super) fn peek(node: &Rc<Node>, message: WireAttemptRef) -> WireAttemptStatus {
    let now = node.calls.clock.now();
    let tables = node.calls.executor.borrow();
    tables
        .ledger
        .peek(message.attempt, message.ticket, now)
        .into()
}

/// Answers `/peer/revoke`: prevents the attempt from running if it has not started.
pub(super) fn revoke(node: &Rc<Node>, message: WireAttemptRef) -> WireAttemptStatus {
    let now = node.calls.clock.now();
    let mut tables = node.calls.executor.borrow_mut();
    let settled = tables.ledger.revoke(message.attempt, message.ticket, now);
    drop(tables);
    if settled == AttemptStatus::NotRun {
        // The attempt may still be in the queue, where it would only take up a place.
        run::cancel(node, message.attempt);
    }
    settled.into()
}

/// Answers `/peer/cancel`, which an entry sends when its caller has disconnected.
pub(super) fn cancel(node: &Rc<Node>, message: WireAttemptRef) -> WireAttemptStatus {
    let settled = revoke(node, message);
    if matches!(settled, WireAttemptStatus::Running) {
        run::cancel_unkeyed(node, message.attempt);
    }
    settled
}
