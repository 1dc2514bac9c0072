//! Inputs, actions and result of the writer.

use std::sync::Arc;
use std::time::Duration;

use stoatstep_platform::{CommitAnswer, CommitRequest, PlatformError, ReadAnswer, ReadRequest};
use stoatstep_resource::{Delta, State, Version};

use super::error::WriteError;
use crate::recovery::RecoveryError;
use crate::rows::Head;

/// Input of a step of the [`Writer`](crate::Writer).
#[derive(Clone, Debug)]
pub enum WriteInput {
    /// Starts the write.
    Start,
    /// The answer to [`WriteAction::Read`].
    Read(Result<ReadAnswer, PlatformError>),
    /// The answer to [`WriteAction::Commit`].
    Commit(Result<CommitAnswer, PlatformError>),
    /// The result of [`WriteAction::Recover`].
    Recovered(Result<Arc<State>, RecoveryError>),
    /// The delay of [`WriteAction::Wait`] has elapsed.
    WaitElapsed,
}

/// What the caller of the [`Writer`](crate::Writer) has to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteAction {
    /// Read these rows.
    Read(ReadRequest),
    /// Commit this transaction.
    Commit(CommitRequest),
    /// Fetch the newest state, since the versions after the held one were trimmed.
    Recover,
    /// Wait for this time.
    Wait(Duration),
    /// The write has ended with this result.
    Finish(Result<AcceptedChange, WriteError>),
}

/// A change that was committed to the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AcceptedChange {
    /// The version that the change produced.
    pub version: Version,
    /// Whether an earlier request with the same operation id had already committed the change.
    pub replayed: bool,
    /// The newest state that the writer holds; at least the state that it was given.
    pub state: Arc<State>,
    /// The deltas from the given state to `state`; those before a recovery from a snapshot are
    /// missing.
    pub deltas: Vec<Delta>,
    /// The head at the time of the last read or write.
    pub head: Head,
}
