//! The executor's memory of attempts: what turns "no answer came" into an
//! answer, a true "not run", or an honest "unknown".
//!
//! Every attempt carries a [`Ticket`] that the executor itself issued earlier.
//! Its stamp is a reading of the executor's own steady clock, so the age of an
//! attempt is told without comparing clocks of two machines, and its
//! incarnation names the process whose memory the attempt relies on. The proof
//! that forgetting is sound is in `docs/design/at-most-once.md`.

mod types;

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use crate::answer::Answer;
use crate::ids::{AttemptId, Incarnation, Time};
use crate::refusal::{Reason, Refusal};

pub use types::{Arrival, LedgerConfig, Settled, Ticket};

/// Pause asked for while the ledger is full.
const FULL_RETRY: Duration = Duration::from_secs(1);

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Record {
    state: Settled,
    keep_until: Time,
}

/// Table of attempts by id, bounded by count, bytes and time.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Ledger {
    cfg: LedgerConfig,
    incarnation: Incarnation,
    floor: Time,
    records: BTreeMap<AttemptId, Record>,
    expiry: VecDeque<(Time, AttemptId)>,
    answers: VecDeque<AttemptId>,
    bytes: usize,
}

impl Ledger {
    /// An empty ledger of the process `incarnation`.
    #[must_use]
    pub fn new(incarnation: Incarnation, cfg: LedgerConfig) -> Self {
        Self {
            cfg,
            incarnation,
            floor: Time::ZERO,
            records: BTreeMap::new(),
            expiry: VecDeque::new(),
            answers: VecDeque::new(),
            bytes: 0,
        }
    }

    /// A fresh ticket, to be handed out with every answer.
    #[must_use]
    pub fn ticket(&self, now: Time) -> Ticket {
        Ticket {
            incarnation: self.incarnation,
            stamp: now,
        }
    }

    /// Number of records held.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no record is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Takes in an attempt.
    pub fn arrive(&mut self, attempt: AttemptId, ticket: Ticket, now: Time) -> Arrival {
        if let Some(record) = self.records.get(&attempt) {
            return match &record.state {
                Settled::NotRun => Arrival::Refused(Refusal::permanent(Reason::Revoked)),
                state => Arrival::Seen(state.clone()),
            };
        }
        if !self.is_current(ticket, now) || ticket.stamp < self.floor {
            let stale = Refusal::retry(Reason::StaleTicket, Duration::ZERO);
            return Arrival::Refused(stale);
        }
        if self.is_full() {
            // There is no room to remember this refusal by. A second copy that
            // comes once there is room would run what was called "not run".
            self.refuse_issued_tickets(now);
            return Arrival::Refused(Refusal::retry(Reason::MemoryFull, FULL_RETRY));
        }
        self.insert(attempt, Settled::Queued, now);
        Arrival::New
    }

    /// The attempt gets its slot. `false` where it was revoked meanwhile, and
    /// then it must not run: its entry was told so.
    #[must_use]
    pub fn start(&mut self, attempt: AttemptId) -> bool {
        self.step(attempt, Settled::Running, |state| {
            matches!(state, Settled::Queued)
        })
    }

    /// The attempt was refused before it ran, by the queue or by the target.
    pub fn refused(&mut self, attempt: AttemptId) {
        self.step(attempt, Settled::NotRun, |state| {
            matches!(state, Settled::Queued | Settled::Running)
        });
    }

    /// The attempt ran, and this is its whole answer.
    pub fn done(&mut self, attempt: AttemptId, answer: Arc<Answer>) {
        let weight = answer.weight();
        if !self.step(attempt, Settled::Done(answer), is_running) {
            return;
        }
        self.bytes += weight;
        self.answers.push_back(attempt);
        self.shed_answers();
    }

    /// The attempt ran, and its answer was too large to keep.
    pub fn done_without_answer(&mut self, attempt: AttemptId) {
        self.step(attempt, Settled::DoneWithoutAnswer, is_running);
    }

    /// The target's connection broke while it ran.
    pub fn lost(&mut self, attempt: AttemptId) {
        self.step(attempt, Settled::Unknown, is_running);
    }

    /// What is known about the attempt; changes nothing.
    #[must_use]
    pub fn peek(&self, attempt: AttemptId, ticket: Ticket, now: Time) -> Settled {
        if let Some(record) = self.records.get(&attempt) {
            return record.state.clone();
        }
        if !self.is_current(ticket, now) {
            // It may have run: under an earlier process, or so long ago that its
            // record was dropped by age.
            return Settled::Unknown;
        }
        if ticket.stamp < self.floor {
            return Settled::NotRun;
        }
        Settled::NeverSeen
    }

    /// Settles the attempt. What has not started is fenced: "not run" is true
    /// from here on, even if the original request comes in later. The answer is
    /// never [`Settled::NeverSeen`] or [`Settled::Queued`].
    pub fn revoke(&mut self, attempt: AttemptId, ticket: Ticket, now: Time) -> Settled {
        match self.peek(attempt, ticket, now) {
            Settled::NeverSeen => {
                self.fence(attempt, now);
                Settled::NotRun
            }
            Settled::Queued => {
                self.refused(attempt);
                Settled::NotRun
            }
            settled => settled,
        }
    }

    /// Drops what has outlived every ticket that could refer to it.
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
        if matches!(record.state, Settled::Queued | Settled::Running) {
            record.keep_until = now + self.cfg.ticket_life;
            self.expiry.push_back((record.keep_until, attempt));
            return;
        }
        if let Settled::Done(answer) = &record.state {
            self.bytes -= answer.weight();
        }
        self.records.remove(&attempt);
        self.forget_dropped_answers();
    }

    /// Keeps the order of answers from growing with records that are gone.
    fn forget_dropped_answers(&mut self) {
        let records = &self.records;
        let held = |attempt: &AttemptId| {
            let done = |it: &Record| matches!(it.state, Settled::Done(_));
            records.get(attempt).is_some_and(done)
        };
        while self.answers.front().is_some_and(|it| !held(it)) {
            self.answers.pop_front();
        }
    }

    fn is_current(&self, ticket: Ticket, now: Time) -> bool {
        // A restarted process has no memory of what its predecessor ran, so it
        // must not vouch for, nor run, what was meant for the predecessor.
        let ours = ticket.incarnation == self.incarnation;
        let age = now.checked_sub(ticket.stamp);
        ours && age.is_some_and(|age| age < self.cfg.ticket_life)
    }

    fn is_full(&self) -> bool {
        self.records.len() >= self.cfg.records
    }

    /// Without a fence, a request that was stuck on the way runs after its entry
    /// had called it not run, and a retry elsewhere makes it run twice. When
    /// there is no room for one more fence, all tickets issued so far are
    /// refused instead: the attempt's own ticket is one of them, and the others
    /// cost their entries one more round trip.
    fn fence(&mut self, attempt: AttemptId, now: Time) {
        if self.is_full() {
            self.refuse_issued_tickets(now);
            return;
        }
        self.insert(attempt, Settled::NotRun, now);
    }

    fn refuse_issued_tickets(&mut self, now: Time) {
        self.floor = now + Duration::from_nanos(1);
    }

    fn insert(&mut self, attempt: AttemptId, state: Settled, now: Time) {
        let keep_until = now + self.cfg.ticket_life;
        self.records.insert(attempt, Record { state, keep_until });
        self.expiry.push_back((keep_until, attempt));
    }

    fn step(
        &mut self,
        attempt: AttemptId,
        to: Settled,
        may: impl FnOnce(&Settled) -> bool,
    ) -> bool {
        let Some(record) = self.records.get_mut(&attempt) else {
            return false;
        };
        let allowed = may(&record.state);
        if allowed {
            record.state = to;
        }
        allowed
    }

    fn shed_answers(&mut self) {
        while self.bytes > self.cfg.answer_bytes {
            let Some(oldest) = self.answers.pop_front() else {
                return;
            };
            let Some(record) = self.records.get_mut(&oldest) else {
                continue;
            };
            if let Settled::Done(answer) = &record.state {
                self.bytes -= answer.weight();
                record.state = Settled::DoneWithoutAnswer;
            }
        }
    }
}

fn is_running(state: &Settled) -> bool {
    matches!(state, Settled::Running)
}
