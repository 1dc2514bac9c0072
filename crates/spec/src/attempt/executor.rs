//! State of one executor: its ledger, its queue, and the attempts that its target runs.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use stoatstep_calls::{
    Answer, Arrival, AttemptId, AttemptStatus, Incarnation, Ledger, LedgerConfig, Ticket,
};

use super::message::{AttemptOutcome, call_of};
use super::{TICKET_LIFE, TIME_TO_DEADLINE, ticks};
use crate::safeguard::{Safeguard, Safeguards};

/// Difference between the first incarnations of two successive executors.
const INCARNATION_STRIDE: Incarnation = 100;

/// What happened to a queued attempt that got a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StartResult {
    /// The target runs it.
    Started {
        /// Whether its deadline had passed.
        late: bool,
    },
    /// It was dropped without running.
    Dropped,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Waiting {
    /// Tick at which the attempt arrived.
    arrived: u8,
    /// Whether the ledger had a record of the attempt before.
    copy: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Executor {
    incarnation: Incarnation,
    records: usize,
    ledger: Ledger,
    waiting: BTreeMap<AttemptId, Waiting>,
    running: BTreeSet<AttemptId>,
}

impl Executor {
    pub(super) fn new(number: u8, records: usize) -> Self {
        Self::with_incarnation(u64::from(number) * INCARNATION_STRIDE, records)
    }

    fn with_incarnation(incarnation: Incarnation, records: usize) -> Self {
        let cfg = LedgerConfig {
            ticket_life: ticks(TICKET_LIFE),
            records,
            ..LedgerConfig::default()
        };
        Self {
            incarnation,
            records,
            ledger: Ledger::new(incarnation, cfg),
            waiting: BTreeMap::new(),
            running: BTreeSet::new(),
        }
    }

    pub(super) fn restart(&mut self) {
        *self = Self::with_incarnation(self.incarnation + 1, self.records);
    }

    pub(super) fn ticket(&self, now: u8) -> Ticket {
        self.ledger.ticket(ticks(now))
    }

    pub(super) fn waiting(&self) -> impl Iterator<Item = AttemptId> {
        self.waiting.keys().copied()
    }

    pub(super) fn running(&self) -> impl Iterator<Item = AttemptId> {
        self.running.iter().copied()
    }

    /// Receives an attempt. Returns how it ended if it is not queued.
    pub(super) fn arrive(
        &mut self,
        id: AttemptId,
        ticket: Ticket,
        now: u8,
        safeguards: Safeguards,
    ) -> Option<AttemptOutcome> {
        let ticket = self.with_checks_disabled(ticket, now, safeguards);
        match self.ledger.arrive(id, ticket, ticks(now)) {
            Arrival::New => self.wait(id, now, false),
            Arrival::Seen(_) if !safeguards.has(Safeguard::DuplicateCheck) => {
                self.wait(id, now, true)
            }
            Arrival::Refused(_) => Some(AttemptOutcome::NotRun),
            Arrival::Seen(AttemptStatus::Done(answer)) => {
                Some(AttemptOutcome::Answered(answer.body.to_bytes()[0]))
            }
            Arrival::Seen(_) => Some(AttemptOutcome::Unknown),
        }
    }

    fn wait(&mut self, id: AttemptId, arrived: u8, copy: bool) -> Option<AttemptOutcome> {
        self.waiting.insert(id, Waiting { arrived, copy });
        None
    }

    /// The ticket altered so that it passes a check of the ledger that is switched off.
    fn with_checks_disabled(&self, mut ticket: Ticket, now: u8, safeguards: Safeguards) -> Ticket {
        if !safeguards.has(Safeguard::TicketExpiry) {
            ticket.stamp = ticks(now);
        }
        if !safeguards.has(Safeguard::IncarnationCheck) {
            ticket.incarnation = self.incarnation;
        }
        ticket
    }

    pub(super) fn revoke(
        &mut self,
        id: AttemptId,
        ticket: Ticket,
        now: u8,
        safeguards: Safeguards,
    ) -> AttemptStatus {
        let ticket = self.with_checks_disabled(ticket, now, safeguards);
        if safeguards.has(Safeguard::RevokeFence) {
            return self.ledger.revoke(id, ticket, ticks(now));
        }
        match self.ledger.peek(id, ticket, ticks(now)) {
            AttemptStatus::NeverSeen | AttemptStatus::Queued => AttemptStatus::NotRun,
            settled => settled,
        }
    }

    pub(super) fn start_queued(
        &mut self,
        id: AttemptId,
        now: u8,
        safeguards: Safeguards,
    ) -> StartResult {
        let Some(Waiting { arrived, copy }) = self.waiting.remove(&id) else {
            return StartResult::Dropped;
        };
        let late = now >= arrived + TIME_TO_DEADLINE;
        if late && safeguards.has(Safeguard::DeadlineCheck) {
            self.ledger.refused(id);
            return StartResult::Dropped;
        }
        let may_start = self.ledger.start(id);
        let checks = safeguards.has(Safeguard::StartCheck);
        if !may_start && checks && !copy {
            return StartResult::Dropped;
        }
        self.running.insert(id);
        StartResult::Started { late }
    }

    pub(super) fn shed(&mut self, id: AttemptId) {
        self.running.remove(&id);
        self.ledger.refused(id);
    }

    pub(super) fn finish(&mut self, id: AttemptId) -> AttemptOutcome {
        self.running.remove(&id);
        let call = call_of(id);
        let answer = Answer {
            status: 201,
            headers: Vec::new(),
            body: vec![call].into(),
        };
        self.ledger.done(id, Arc::new(answer));
        AttemptOutcome::Answered(call)
    }

    pub(super) fn target_lost(&mut self, id: AttemptId) {
        self.running.remove(&id);
        self.ledger.lost(id);
    }

    pub(super) fn clean(&mut self, now: u8, safeguards: Safeguards) {
        let early = if safeguards.has(Safeguard::RecordRetention) {
            0
        } else {
            TICKET_LIFE
        };
        self.ledger.tick(ticks(now + early));
    }
}
