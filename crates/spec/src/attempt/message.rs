//! What entry and executors send each other about attempts.

use stoatstep_calls::{AttemptId, Ticket};

/// Attempts of one call have ids from ten times its number.
const IDS_OF_A_CALL: u128 = 10;

/// How an attempt ended, as its executor says.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum End {
    /// The whole answer to this call.
    Answered(u8),
    /// It did not run and will not.
    NotRun,
    /// It may have run.
    Unknown,
}

/// Something on its way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Message {
    /// From the entry to an executor.
    Attempt {
        /// The attempt.
        id: AttemptId,
        /// The executor.
        to: u8,
        /// Process that issued the ticket.
        incarnation: u64,
        /// Tick at which it did.
        stamp: u8,
        /// Whether it is a second copy. The reply to a copy reaches nobody: the
        /// entry waits on the connection of the first one.
        copy: bool,
    },
    /// From an executor to the entry.
    Reply {
        /// The attempt.
        id: AttemptId,
        /// How it ended.
        end: End,
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

    /// What stays on its way of a message that arrived twice.
    pub(super) fn doubled(self) -> Self {
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

pub(super) fn id(call: u8, attempt: u8) -> AttemptId {
    u128::from(call) * IDS_OF_A_CALL + u128::from(attempt)
}

pub(super) fn call_of(id: AttemptId) -> u8 {
    u8::try_from(id / IDS_OF_A_CALL).unwrap_or(u8::MAX)
}
