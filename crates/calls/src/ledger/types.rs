//! Input and output types of a [`Ledger`](super::Ledger).

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::answer::Answer;
use crate::ids::{Incarnation, Time};
use crate::refusal::Refusal;

/// Permission to send attempts to one executor process for a limited time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Ticket {
    /// The process that issued the ticket.
    pub incarnation: Incarnation,
    /// Time of issue on that process's own clock.
    pub stamp: Time,
}

/// Bounds of a [`Ledger`](super::Ledger).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LedgerConfig {
    /// Validity of a ticket, and minimum retention of a record. The record of a
    /// run that takes longer is kept until the run ends. `records` divided by this
    /// time is the highest sustained rate of attempts.
    pub ticket_life: Duration,
    /// Maximum number of records.
    pub records: usize,
    /// Maximum total size of the kept answers, in bytes.
    pub answer_bytes: usize,
}

impl Default for LedgerConfig {
    fn default() -> Self {
        Self {
            ticket_life: Duration::from_secs(20),
            records: 200_000,
            answer_bytes: 16 << 20,
        }
    }
}

/// The ledger's decision about an attempt that arrived.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Arrival {
    /// The attempt is new and is now recorded as queued.
    New,
    /// The attempt did not run and never will.
    Refused(Refusal),
    /// The attempt arrived before. This copy must not run.
    Seen(AttemptStatus),
}

/// What the ledger knows about an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum AttemptStatus {
    /// The attempt has not arrived. It may still arrive and run unless it is revoked.
    NeverSeen,
    /// The attempt waits for a slot.
    Queued,
    /// The attempt was sent to the target.
    Running,
    /// The attempt did not run and never will.
    NotRun,
    /// The attempt ran, and this is its complete answer.
    Done(Arc<Answer>),
    /// The attempt ran. Its answer was too large to keep or was evicted.
    DoneWithoutAnswer,
    /// The attempt may have run. This executor cannot find out more.
    Unknown,
}
