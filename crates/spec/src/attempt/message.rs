//! Messages between the entry and the executors about attempts.

use stoatstep_calls::{AttemptId, Ticket};

/// Factor between a call's index and the ids of its attempts.
const ATTEMPT_IDS_PER_CALL: u128 = 10;

/// How an attempt ended, as its executor reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum AttemptOutcome {
    /// The target answered, with the answer to the call with this index.
    Answered(u8),
    /// The attempt did not run and will not.
    NotRun,
    /// The attempt may have run.
    Unknown,
}

/// A message in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Message {
    /// An attempt on its way from the entry to an executor.
    Attempt {
        /// Id of the attempt.
        id: AttemptId,
        /// Index of the executor.
        to: u8,
        /// Incarnation of the process that issued the ticket.
        incarnation: u64,
        /// Tick at which the ticket was issued.
        stamp: u8,
        /// Whether this is a duplicate. The reply to a duplicate is dropped, since the entry waits
        /// on the connection of the first one.
        copy: bool,
    },
    /// A reply on its way from an executor to the entry.
    Reply {
        /// Id of the attempt.
        id: AttemptId,
        /// How the attempt ended.
        end: AttemptOutcome,
    },
}

impl Message {
    pub(super) fn attempt(id: AttemptId, to: u8, ticket: Ticket) -> Self {
        let stamp = u8::try_from(ticket.stamp.as_secs()).unwrap_or(u8::MAX);
        Self::Attempt {
            id,
            to,
            incarnation: ticket.incarnation,
            stamp,
            copy: false,
        }
    }

    /// The duplicate that stays in flight when the message arrives.
    pub(super) fn duplicate(self) -> Self {
        match self {
            Self::Attempt {
                id,
                to,
                incarnation,
                stamp,
                ..
            } => Self::Attempt {
                id,
                to,
                incarnation,
                stamp,
                copy: true,
            },
            Self::Reply { .. } => self,
        }
    }
}

pub(super) fn attempt_id(call: u8, attempt: u8) -> AttemptId {
    u128::from(call) * ATTEMPT_IDS_PER_CALL + u128::from(attempt)
}

pub(super) fn call_of(id: AttemptId) -> u8 {
    u8::try_from(id / ATTEMPT_IDS_PER_CALL).unwrap_or(u8::MAX)
}
