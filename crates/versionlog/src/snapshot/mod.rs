//! Takes snapshots of the state into the object store and trims the log below them.

mod error;
mod format;
mod trim;

use std::sync::Arc;
use std::time::Duration;

use smol_str::SmolStr;
use stoatstep_platform::{CommitAnswer, CommitRequest, PlatformError, ReadAnswer, ReadRequest};
use stoatstep_resource::State;

use crate::backoff::Backoff;
use crate::config::LogConfig;
use crate::error::LogError;
use crate::keys::{SNAPSHOT_PREFIX, log_range, snapshot_name, snapshot_version};
use crate::rows::{Head, SnapshotRef};
use crate::tail::{head_request, read_head};

pub use error::SnapshotError;
pub use format::{decode_snapshot, encode_snapshot};

/// Input of a step of the [`Snapshotter`].
#[derive(Clone, Debug)]
pub enum SnapshotInput {
    /// Starts the snapshot.
    Start,
    /// The answer to [`SnapshotAction::PutObject`].
    Put(Result<(), PlatformError>),
    /// The answer to [`SnapshotAction::Read`].
    Read(Result<ReadAnswer, PlatformError>),
    /// The answer to [`SnapshotAction::Commit`].
    Commit(Result<CommitAnswer, PlatformError>),
    /// The answer to [`SnapshotAction::ListObjects`].
    Listed(Result<Vec<SmolStr>, PlatformError>),
    /// The answer to [`SnapshotAction::DeleteObject`].
    Deleted(Result<(), PlatformError>),
    /// The delay of [`SnapshotAction::Wait`] has elapsed.
    WaitElapsed,
}

/// What the caller of the [`Snapshotter`] has to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SnapshotAction {
    /// Store this object.
    PutObject(SmolStr, Vec<u8>),
    /// Read these rows.
    Read(ReadRequest),
    /// Commit this transaction.
    Commit(CommitRequest),
    /// List the objects whose names have this prefix.
    ListObjects(SmolStr),
    /// Delete this object.
    DeleteObject(SmolStr),
    /// Wait for this time.
    Wait(Duration),
    /// The snapshot has ended with this result.
    Finish(Result<SnapshotOutcome, SnapshotError>),
}

/// Result of a successful snapshot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SnapshotOutcome {
    /// The head after the snapshot.
    pub head: Head,
    /// Number of unreferenced objects that were deleted.
    pub deleted: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Put,
    UpdateHead,
    List,
    Delete,
}

/// Takes a snapshot of one state.
///
/// The order of the requests makes a crash at any point harmless. The object is written before the
/// head refers to it, so no reader follows a reference to a missing object. Log rows and older
/// objects are deleted only once the head no longer refers to them. A crash can leave an
/// unreferenced object behind, which the next snapshot deletes. Two processes that take the same
/// snapshot write the same bytes under the same name, and only one of them updates the head.
#[derive(Clone, Debug)]
pub struct Snapshotter {
    cfg: LogConfig,
    backoff: Backoff,
    state: Arc<State>,
    stage: Stage,
    head: Option<Head>,
    unreferenced: Vec<SmolStr>,
    deleted: usize,
}

impl Snapshotter {
    /// Whether a new snapshot should be taken at this head.
    #[must_use]
    pub fn is_due(head: &Head, cfg: &LogConfig) -> bool {
        head.version - head.snapshot_version() >= cfg.snapshot_every
    }

    /// Prepares a snapshot of `state`, which has to be a version of the log.
    #[must_use]
    pub fn new(state: Arc<State>, cfg: &LogConfig, seed: u64) -> Self {
        Self {
            cfg: cfg.clone(),
            backoff: Backoff::new(cfg, seed),
            state,
            stage: Stage::Put,
            head: None,
            unreferenced: Vec::new(),
            deleted: 0,
        }
    }

    /// Handles an input at time `now` and returns the next action. The input has to be the answer
    /// to the previous action.
    pub fn step(&mut self, now: Duration, input: SnapshotInput) -> SnapshotAction {
        self.backoff.start(now);
        match input {
            SnapshotInput::Start | SnapshotInput::WaitElapsed => self.next(),
            SnapshotInput::Put(Ok(())) => self.enter(Stage::UpdateHead),
            SnapshotInput::Read(Ok(answer)) => self
                .after_read(&answer)
                .unwrap_or_else(|e| finish(Err(SnapshotError::Log(e)))),
            SnapshotInput::Commit(Ok(CommitAnswer::Committed { .. })) => self.enter(Stage::List),
            SnapshotInput::Commit(Ok(CommitAnswer::Conflict { .. })) => self.wait(now),
            SnapshotInput::Listed(Ok(names)) => self.after_list(names),
            SnapshotInput::Deleted(Ok(())) => {
                self.deleted += 1;
                self.unreferenced.pop();
                self.next()
            }
            SnapshotInput::Put(Err(e))
            | SnapshotInput::Read(Err(e))
            | SnapshotInput::Commit(Err(e))
            | SnapshotInput::Listed(Err(e))
            | SnapshotInput::Deleted(Err(e)) => self.after_error(now, &e),
        }
    }

    fn enter(&mut self, stage: Stage) -> SnapshotAction {
        self.stage = stage;
        self.next()
    }

    /// The request of the current stage. All requests are idempotent, so a stage whose answer was
    /// lost is repeated.
    fn next(&mut self) -> SnapshotAction {
        match self.stage {
            Stage::Put => {
                let name = snapshot_name(self.state.version());
                SnapshotAction::PutObject(name, encode_snapshot(&self.state))
            }
            Stage::UpdateHead => {
                let oldest_rows = log_range(0, self.cfg.max_rows_per_read);
                SnapshotAction::Read(ReadRequest {
                    ranges: vec![oldest_rows],
                    ..head_request()
                })
            }
            Stage::List => SnapshotAction::ListObjects(SmolStr::new_static(SNAPSHOT_PREFIX)),
            Stage::Delete => match self.unreferenced.last() {
                Some(name) => SnapshotAction::DeleteObject(name.clone()),
                None => self.done(),
            },
        }
    }

    fn after_read(&mut self, answer: &ReadAnswer) -> Result<SnapshotAction, LogError> {
        let row = read_head(answer)?;
        let oldest_rows = answer.ranges.first().ok_or(LogError::IncompleteAnswer)?;
        let version = self.state.version();
        if row.head.version < version {
            return Err(LogError::Regressed {
                held: version,
                head: row.head.version,
            });
        }
        // Another process took this snapshot or a newer one, or this process committed it and the
        // answer was lost.
        if row.head.snapshot_version() >= version {
            self.head = Some(row.head);
            return Ok(self.enter(Stage::List));
        }
        let snapshot = SnapshotRef {
            version,
            digest: self.state.digest(),
        };
        let (head, req) = trim::trim(&row, snapshot, oldest_rows, &self.cfg)?;
        self.head = Some(head);
        Ok(SnapshotAction::Commit(req))
    }

    /// Selects the unreferenced objects below this snapshot's version. An object above it may have
    /// just been written by another process that has not updated the head yet; deleting it would
    /// leave the head with a reference to a missing object.
    fn after_list(&mut self, names: Vec<SmolStr>) -> SnapshotAction {
        let referenced: Vec<SnapshotRef> = match &self.head {
            Some(head) => head.snapshots.clone(),
            None => return self.enter(Stage::UpdateHead),
        };
        let below = self.state.version();
        let is_unreferenced = |name: &SmolStr| {
            snapshot_version(name).is_some_and(|it| {
                it < below && referenced.iter().all(|snapshot| snapshot.version != it)
            })
        };
        self.unreferenced = names.into_iter().filter(is_unreferenced).collect();
        self.enter(Stage::Delete)
    }

    fn done(&mut self) -> SnapshotAction {
        match self.head.take() {
            Some(head) => finish(Ok(SnapshotOutcome {
                head,
                deleted: self.deleted,
            })),
            None => self.enter(Stage::UpdateHead),
        }
    }

    fn wait(&mut self, now: Duration) -> SnapshotAction {
        match self.backoff.next(now, None) {
            Some(wait) => SnapshotAction::Wait(wait),
            None => self.timed_out(),
        }
    }

    fn after_error(&mut self, now: Duration, error: &PlatformError) -> SnapshotAction {
        if let PlatformError::Refused { reason } = error {
            let reason = reason.clone();
            return finish(Err(SnapshotError::Refused { reason }));
        }
        match self.backoff.after_error(now, error) {
            Some(wait) => SnapshotAction::Wait(wait),
            None => self.timed_out(),
        }
    }

    fn timed_out(&mut self) -> SnapshotAction {
        finish(Err(SnapshotError::Unavailable {
            retry_after: self.backoff.retry_after(),
        }))
    }
}

fn finish(result: Result<SnapshotOutcome, SnapshotError>) -> SnapshotAction {
    SnapshotAction::Finish(result)
}
