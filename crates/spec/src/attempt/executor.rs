//! State of one executor: its ledger, its queue, and the attempts that its target runs.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use stoatstep_calls::{
    Answer, Arrival, AttemptId, AttemptStatus, Incarnation, Ledger, LedgerConfig, Ticket,
};

use super::message::{End, call_of};
use super::{LEFT, TICKET_LIFE, ticks};
use crate::safeguard::{Safeguard, Safeguards};

/// Difference between the first incarnations of two successive executors.
const INCARNATIONS: Incarnation = 100;

/// What happened to a queued attempt that got a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Turn {
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
        Self::of(u64::from(number) * INCARNATIONS, records)
    }

    fn of(incarnation: Incarnation, records: usize) -> Self {
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
        *self = Self::of(self.incarnation + 1, self.records);
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
    ) -> Option<End> {
        let ticket = self.judged(ticket, now, safeguards);
        match self.ledger.arrive(id, ticket, ticks(now)) {
            Arrival::New => self.wait(id, now, false),
            Arrival::Seen(_) if !safeguards.has(Safeguard::DuplicateCheck) => {
                self.wait(id, now, true)
            }
            Arrival::Refused(_) => Some(End::NotRun),
            Arrival::Seen(AttemptStatus::Done(answer)) => Some(End::Answered(answer.body[0])),
            Arrival::Seen(_) => Some(End::Unknown),
        }
    }

    fn wait(&mut self, id: AttemptId, arrived: u8, copy: bool) -> Option<End> {
        self.waiting.insert(id, Waiting { arrived, copy });
        None
    }

    /// The ticket altered so that it passes a check of the ledger that is switched off.
    fn judged(&self, mut ticket: Ticket, now: u8, safeguards: Safeguards) -> Ticket {
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
        let ticket = self.judged(ticket, now, safeguards);
        if safeguards.has(Safeguard::RevokeFence) {
            return self.ledger.revoke(id, ticket, ticks(now));
        }
        match self.ledger.peek(id, ticket, ticks(now)) {
            AttemptStatus::NeverSeen | AttemptStatus::Queued => AttemptStatus::NotRun,
            settled => settled,
        }
    }

    pub(super) fn take_turn(&mut self, id: AttemptId, now: u8, safeguards: Safeguards) -> Turn {
        let Some(Waiting { arrived, copy }) = self.waiting.remove(&id) else {
            return Turn::Dropped;
        };
        let late = now >= arrived + LEFT;
        if late && safeguards.has(Safeguard::DeadlineCheck) {
            self.ledger.refused(id);
            return Turn::Dropped;
        }
        let may_start = self.ledger.start(id);
        let checks = safeguards.has(Safeguard::StartCheck);
        if !may_start && checks && !copy {
            return Turn::Dropped;
        }
        self.running.insert(id);
        Turn::Started { late }
    }

    pub(super) fn shed(&mut self, id: AttemptId) {
        self.running.remove(&id);
        self.ledger.refused(id);
    }

    pub(super) fn finish(&mut self, id: AttemptId) -> End {
        self.running.remove(&id);
        let call = call_of(id);
        let answer = Answer {
            status: 201,
            headers: Vec::new(),
            body: vec![call],
        };
        self.ledger.done(id, Arc::new(answer));
        End::Answered(call)
    }

    pub(super) fn lose(&mut self, id: AttemptId) {
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
