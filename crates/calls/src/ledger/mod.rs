//! The executor's record of attempts. An entry that received no answer asks it
//! whether the attempt ran: the ledger replies with the answer, with "not run" if
//! that is certain, or else with "unknown".
//!
//! Every attempt carries a [`Ticket`] that the executor itself issued earlier.
//! Its stamp is a reading of the executor's own steady clock, so the age of an
//! attempt is computed without comparing the clocks of two machines. Its
//! incarnation identifies the process whose records the attempt relies on. The
//! proof that records can be dropped safely is in `docs/design/at-most-once.md`.

mod types;

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use crate::answer::Answer;
use crate::ids::{AttemptId, Incarnation, Time};
use crate::refusal::{Reason, Refusal};

pub use types::{Arrival, AttemptStatus, LedgerConfig, Ticket};

/// Time after which a caller may retry when the ledger is full.
const FULL_RETRY_AFTER: Duration = Duration::from_secs(1);

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Record {
    state: AttemptStatus,
    keep_until: Time,
}

/// Attempts by id, bounded in number, total answer size and age.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Ledger {
    cfg: LedgerConfig,
    incarnation: Incarnation,
    /// Tickets with an earlier stamp are refused.
    min_stamp: Time,
    records: BTreeMap<AttemptId, Record>,
    expiry: VecDeque<(Time, AttemptId)>,
    /// Attempts whose answers are kept, oldest first.
    answer_order: VecDeque<AttemptId>,
    kept_bytes: usize,
}

impl Ledger {
    /// Creates an empty ledger for the process `incarnation`.
    #[must_use]
    pub fn new(incarnation: Incarnation, cfg: LedgerConfig) -> Self {
        Self {
            cfg,
            incarnation,
            min_stamp: Time::ZERO,
            records: BTreeMap::new(),
            expiry: VecDeque::new(),
            answer_order: VecDeque::new(),
            kept_bytes: 0,
        }
    }

    /// Issues a new ticket, which is sent along with every answer.
    #[must_use]
    pub fn ticket(&self, now: Time) -> Ticket {
        Ticket {
            incarnation: self.incarnation,
            stamp: now,
        }
    }

    /// Returns the number of records.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether the ledger has no records.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Decides whether an attempt that arrived may run, and records it if so.
    pub fn arrive(&mut self, attempt: AttemptId, ticket: Ticket, now: Time) -> Arrival {
        if let Some(record) = self.records.get(&attempt) {
            return match &record.state {
                AttemptStatus::NotRun => Arrival::Refused(Refusal::permanent(Reason::Revoked)),
                state => Arrival::Seen(state.clone()),
            };
        }
        if !self.is_current(ticket, now) || ticket.stamp < self.min_stamp {
            let stale = Refusal::retry(Reason::StaleTicket, Duration::ZERO);
            return Arrival::Refused(stale);
        }
        if self.is_full() {
            // There is no room to record this refusal. A second copy of the request
            // that arrives once there is room would run although the entry was told
            // "not run".
            self.invalidate_issued_tickets(now);
            return Arrival::Refused(Refusal::retry(Reason::MemoryFull, FULL_RETRY_AFTER));
        }
        self.insert(attempt, AttemptStatus::Queued, now);
        Arrival::New
    }

    /// Marks a queued attempt as running. Returns `false` if it was revoked while
    /// it waited. It must not run then, because its entry was told "not run".
    #[must_use]
    pub fn start(&mut self, attempt: AttemptId) -> bool {
        self.transition(attempt, AttemptStatus::Running, |state| {
            matches!(state, AttemptStatus::Queued)
        })
    }

    /// Records that the queue or the target refused the attempt before it ran.
    pub fn refused(&mut self, attempt: AttemptId) {
        self.transition(attempt, AttemptStatus::NotRun, |state| {
            matches!(state, AttemptStatus::Queued | AttemptStatus::Running)
        });
    }

    /// Records that the attempt ran, with its complete answer.
    pub fn done(&mut self, attempt: AttemptId, answer: Arc<Answer>) {
        let size = answer.memory_size();
        if !self.transition(attempt, AttemptStatus::Done(answer), is_running) {
            return;
        }
        self.kept_bytes += size;
        self.answer_order.push_back(attempt);
        self.evict_answers();
    }

    /// Records that the attempt ran and that its answer was too large to keep.
    pub fn done_without_answer(&mut self, attempt: AttemptId) {
        self.transition(attempt, AttemptStatus::DoneWithoutAnswer, is_running);
    }

    /// Records that the connection to the target broke while the attempt ran.
    pub fn lost(&mut self, attempt: AttemptId) {
        self.transition(attempt, AttemptStatus::Unknown, is_running);
    }

    /// Returns what is known about the attempt without changing anything.
    #[must_use]
    pub fn peek(&self, attempt: AttemptId, ticket: Ticket, now: Time) -> AttemptStatus {
        if let Some(record) = self.records.get(&attempt) {
            return record.state.clone();
        }
        if !self.is_current(ticket, now) {
            // It may have run under an earlier process, or so long ago that its
            // record has expired.
            return AttemptStatus::Unknown;
        }
        if ticket.stamp < self.min_stamp {
            return AttemptStatus::NotRun;
        }
        AttemptStatus::NeverSeen
    }

    /// Prevents the attempt from running if it has not started, and returns its
    /// status. An attempt that has not started is fenced: it does not run even if
    /// the original request arrives later, so "not run" stays true. The result is
    /// never [`AttemptStatus::NeverSeen`] or [`AttemptStatus::Queued`].
    pub fn revoke(&mut self, attempt: AttemptId, ticket: Ticket, now: Time) -> AttemptStatus {
        match self.peek(attempt, ticket, now) {
            AttemptStatus::NeverSeen => {
                self.fence(attempt, now);
                AttemptStatus::NotRun
            }
            AttemptStatus::Queued => {
                self.refused(attempt);
                AttemptStatus::NotRun
            }
            settled => settled,
        }
    }

    /// Drops records that no valid ticket can refer to any more.
    pub fn tick(&mut self, now: Time) {
        while let Some(&(keep_until, attempt)) = self.expiry.front() {
            if keep_until > now {
                break;
            }
            self.expiry.pop_front();
            self.expire(attempt, now);
        }
    }

    fn expire(&mut self, attempt: AttemptId, now: Time) {
        let Some(record) = self.records.get_mut(&attempt) else {
            return;
        };
        if matches!(record.state, AttemptStatus::Queued | AttemptStatus::Running) {
            record.keep_until = now + self.cfg.ticket_life;
            self.expiry.push_back((record.keep_until, attempt));
            return;
        }
        if let AttemptStatus::Done(answer) = &record.state {
            self.kept_bytes -= answer.memory_size();
        }
        self.records.remove(&attempt);
        self.prune_answer_order();
    }

    /// Removes attempts without a kept answer from the front of the eviction order,
    /// which would otherwise keep growing.
    fn prune_answer_order(&mut self) {
        let records = &self.records;
        let has_answer = |attempt: &AttemptId| {
            let done = |it: &Record| matches!(it.state, AttemptStatus::Done(_));
            records.get(attempt).is_some_and(done)
        };
        while self.answer_order.front().is_some_and(|it| !has_answer(it)) {
            self.answer_order.pop_front();
        }
    }

    fn is_current(&self, ticket: Ticket, now: Time) -> bool {
        // A restarted process does not know what its predecessor ran. It must neither
        // run attempts that were meant for the predecessor nor say whether they ran.
        let issued_here = ticket.incarnation == self.incarnation;
        let age = now.checked_sub(ticket.stamp);
        issued_here && age.is_some_and(|age| age < self.cfg.ticket_life)
    }

    fn is_full(&self) -> bool {
        self.records.len() >= self.cfg.records
    }

    /// Makes sure that an attempt that has not arrived does not run if it arrives
    /// later.
    ///
    /// Without the fence, a delayed request could run after its entry had reported
    /// "not run", and a retry elsewhere would make it run twice. If there is no room
    /// for another record, all tickets issued so far are refused instead. The
    /// attempt's own ticket is one of them; entries that hold the others need one
    /// more round trip.
    fn fence(&mut self, attempt: AttemptId, now: Time) {
        if self.is_full() {
            self.invalidate_issued_tickets(now);
            return;
        }
        self.insert(attempt, AttemptStatus::NotRun, now);
    }

    fn invalidate_issued_tickets(&mut self, now: Time) {
        self.min_stamp = now + Duration::from_nanos(1);
    }

    fn insert(&mut self, attempt: AttemptId, state: AttemptStatus, now: Time) {
        let keep_until = now + self.cfg.ticket_life;
        self.records.insert(attempt, Record { state, keep_until });
        self.expiry.push_back((keep_until, attempt));
    }

    /// Moves the attempt to the state `to` if `is_allowed_from` accepts its current
    /// state. Returns whether it did.
    fn transition(
        &mut self,
        attempt: AttemptId,
        to: AttemptStatus,
        is_allowed_from: impl FnOnce(&AttemptStatus) -> bool,
    ) -> bool {
        let Some(record) = self.records.get_mut(&attempt) else {
            return false;
        };
        let allowed = is_allowed_from(&record.state);
        if allowed {
            record.state = to;
        }
        allowed
    }

    fn evict_answers(&mut self) {
        while self.kept_bytes > self.cfg.answer_bytes {
            let Some(oldest) = self.answer_order.pop_front() else {
                return;
            };
            let Some(record) = self.records.get_mut(&oldest) else {
                continue;
            };
            if let AttemptStatus::Done(answer) = &record.state {
                self.kept_bytes -= answer.memory_size();
                record.state = AttemptStatus::DoneWithoutAnswer;
            }
        }
    }
}

fn is_running(state: &AttemptStatus) -> bool {
    matches!(state, AttemptStatus::Running)
}
