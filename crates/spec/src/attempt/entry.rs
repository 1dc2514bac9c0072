//! State of one call at its entry.

use std::collections::BTreeSet;

use stoatstep_calls::{AttemptId, AttemptStatus, Ticket, UnansweredOutcome, may_retry};

use super::message::{AttemptOutcome, attempt_id};
use crate::safeguard::{Safeguard, Safeguards};

/// The outcome that was reported to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CallOutcome {
    /// The answer to the call with this index.
    Answered(u8),
    /// The call did not run and is safe to send again.
    NotRun,
    /// The call may have run.
    Unknown,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
enum Phase {
    #[default]
    Ready,
    Waiting,
    Settling,
    Ended(CallOutcome),
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Call {
    attempts_made: u8,
    phase: Phase,
    ticket: Option<Ticket>,
    /// Attempts that were reported to the entry as not run.
    not_run: BTreeSet<AttemptId>,
}

impl Call {
    pub(super) fn outcome(&self) -> Option<CallOutcome> {
        match self.phase {
            Phase::Ended(outcome) => Some(outcome),
            Phase::Ready | Phase::Waiting | Phase::Settling => None,
        }
    }

    pub(super) fn not_run(&self) -> &BTreeSet<AttemptId> {
        &self.not_run
    }

    pub(super) fn is_ready(&self) -> bool {
        self.phase == Phase::Ready
    }

    pub(super) fn is_waiting(&self) -> bool {
        self.phase == Phase::Waiting
    }

    pub(super) fn is_settling(&self) -> bool {
        self.phase == Phase::Settling
    }

    /// Number of attempts made, including the current one.
    pub(super) fn attempts_made(&self) -> u8 {
        self.attempts_made
    }

    pub(super) fn send(&mut self) {
        self.attempts_made += 1;
        self.phase = Phase::Waiting;
    }

    pub(super) fn set_ticket(&mut self, ticket: Ticket) {
        self.ticket = Some(ticket);
    }

    /// The ticket of the current attempt.
    pub(super) fn ticket(&self) -> Ticket {
        self.ticket.expect("an attempt was sent")
    }

    pub(super) fn is_current(&self, number: u8, attempt: AttemptId) -> bool {
        attempt_id(number, self.attempts_made) == attempt
    }

    pub(super) fn abandon_connection(&mut self) {
        self.phase = Phase::Settling;
    }

    pub(super) fn abandon(&mut self) {
        self.phase = Phase::Ended(CallOutcome::Unknown);
    }

    /// Handles a reply that arrived on the attempt's connection.
    pub(super) fn handle_reply(
        &mut self,
        number: u8,
        end: AttemptOutcome,
        allowed: u8,
        safeguards: Safeguards,
    ) {
        match end {
            AttemptOutcome::Answered(whose) => {
                self.phase = Phase::Ended(CallOutcome::Answered(whose));
            }
            AttemptOutcome::NotRun => {
                self.not_run.insert(attempt_id(number, self.attempts_made));
                self.end_attempt(UnansweredOutcome::NotRun, allowed, safeguards);
            }
            AttemptOutcome::Unknown => {
                self.end_attempt(UnansweredOutcome::Unknown, allowed, safeguards);
            }
        }
    }

    /// Handles the ledger's answer to a revoke.
    pub(super) fn settle(
        &mut self,
        number: u8,
        settled: &AttemptStatus,
        allowed: u8,
        safeguards: Safeguards,
    ) {
        let end = match settled {
            AttemptStatus::NotRun => AttemptOutcome::NotRun,
            AttemptStatus::Done(answer) => AttemptOutcome::Answered(answer.body.to_bytes()[0]),
            AttemptStatus::DoneWithoutAnswer | AttemptStatus::Unknown => AttemptOutcome::Unknown,
            // The entry asks again until the deadline.
            AttemptStatus::NeverSeen | AttemptStatus::Queued | AttemptStatus::Running => return,
        };
        self.handle_reply(number, end, allowed, safeguards);
    }

    fn end_attempt(&mut self, settlement: UnansweredOutcome, allowed: u8, safeguards: Safeguards) {
        let idempotent = !safeguards.has(Safeguard::RetryRule);
        let (made, allowed) = (u32::from(self.attempts_made), u32::from(allowed));
        self.phase = if may_retry(settlement, idempotent, 0, made, allowed) {
            Phase::Ready
        } else {
            Phase::Ended(match settlement {
                UnansweredOutcome::NotRun => CallOutcome::NotRun,
                UnansweredOutcome::Unknown => CallOutcome::Unknown,
            })
        };
    }
}
