//! What the writer is told, and what it wants done.

use std::sync::Arc;
use std::time::Duration;

use stoatstep_platform::{CommitAnswer, CommitRequest, PlatformError, ReadAnswer, ReadRequest};
use stoatstep_resource::{Delta, State, Version};

use super::error::WriteError;
use crate::recovery::RecoveryError;
use crate::rows::Head;

/// What the writer is told.
#[derive(Clone, Debug)]
pub enum WriteInput {
    /// Begin.
    Start,
    /// The answer to [`WriteAction::Read`].
    Read(Result<ReadAnswer, PlatformError>),
    /// The answer to [`WriteAction::Commit`].
    Commit(Result<CommitAnswer, PlatformError>),
    /// How [`WriteAction::Recover`] ended.
    Recovered(Result<Arc<State>, RecoveryError>),
    /// The time of [`WriteAction::Wait`] is over.
    Woke,
}

/// What the writer wants done next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteAction {
    /// Read these rows.
    Read(ReadRequest),
    /// Try this transaction.
    Commit(CommitRequest),
    /// The log no longer leads on from the held state: fetch the newest one.
    Recover,
    /// Come back after this time.
    Wait(Duration),
    /// The end.
    Finish(Result<Accepted, WriteError>),
}

/// A change that is in the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Accepted {
    /// The version that the change became.
    pub version: Version,
    /// Whether it had taken effect before this writer began, by an earlier
    /// request with the same operation id.
    pub replayed: bool,
    /// The newest state that the writer came to know; at least the state it
    /// was given.
    pub state: Arc<State>,
    /// The deltas from the given state to `state`; empty where the writer had
    /// to recover from a snapshot.
    pub deltas: Vec<Delta>,
    /// The head at the time of the last read or write.
    pub head: Head,
}
