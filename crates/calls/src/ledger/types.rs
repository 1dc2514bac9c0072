//! What goes into a [`Ledger`](super::Ledger) and what comes out.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::answer::Answer;
use crate::ids::{Incarnation, Time};
use crate::refusal::Refusal;

/// Leave to send attempts to one process for a while.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Ticket {
    /// The process that issued it.
    pub incarnation: Incarnation,
    /// When, on that process's own clock.
    pub stamp: Time,
}

/// Bounds of a [`Ledger`](super::Ledger).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LedgerConfig {
    /// How long a ticket is good for, and how long a record is kept; a run that
    /// outlives it keeps its record. The bound on records over this time is the
    /// rate of attempts that the ledger carries.
    pub ticket_life: Duration,
    /// Records kept at a time.
    pub records: usize,
    /// Bytes of answers kept at a time.
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

/// What the ledger makes of an attempt that came in.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Arrival {
    /// First time seen: recorded as queued.
    New,
    /// It did not run and will not.
    Refused(Refusal),
    /// Seen before; this copy must not run.
    Seen(Settled),
}

/// What is known about an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Settled {
    /// It has not come in. It still may; only a revoke fences it.
    NeverSeen,
    /// It waits for a slot.
    Queued,
    /// The target has it.
    Running,
    /// It did not run and never will.
    NotRun,
    /// It ran; this is the whole answer.
    Done(Arc<Answer>),
    /// It ran; the answer was too large to keep or has made room for others.
    DoneWithoutAnswer,
    /// It may have run; nothing more can be learnt here.
    Unknown,
}
