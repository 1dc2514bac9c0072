//! Fetches the newest state for a process that holds none.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use smol_str::{SmolStr, ToSmolStr};
use stoatstep_platform::{PlatformError, ReadAnswer, ReadRequest};
use stoatstep_resource::{State, Version};

use crate::backoff::Backoff;
use crate::config::LogConfig;
use crate::error::LogError;
use crate::keys::snapshot_name;
use crate::rows::{Head, SnapshotRef};
use crate::snapshot::decode_snapshot;
use crate::tail::{Tail, apply_all, head_request, read_head, read_tail, tail_request};

/// Input of a step of the [`Recovery`].
#[derive(Clone, Debug)]
pub enum RecoveryInput {
    /// Starts the recovery.
    Start,
    /// The answer to [`RecoveryAction::Read`].
    Read(Result<ReadAnswer, PlatformError>),
    /// The answer to [`RecoveryAction::GetObject`].
    Object(Result<Vec<u8>, PlatformError>),
    /// The delay of [`RecoveryAction::Wait`] has elapsed.
    WaitElapsed,
}

/// What the caller of the [`Recovery`] has to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecoveryAction {
    /// Read these rows.
    Read(ReadRequest),
    /// Fetch this object.
    GetObject(SmolStr),
    /// Wait for this time.
    Wait(Duration),
    /// The recovery has ended with this result.
    Finish(Result<Recovered, RecoveryError>),
}

/// Result of a successful recovery.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Recovered {
    /// The state, at the head's version.
    pub state: Arc<State>,
    /// The head that was read with it.
    pub head: Head,
    /// Snapshots that were missing or damaged, to be logged by the caller.
    pub skipped: Vec<SkippedSnapshot>,
}

/// A snapshot that the head refers to and that could not be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SkippedSnapshot {
    /// The version that it should contain.
    pub version: Version,
    /// What is wrong with it.
    pub reason: SmolStr,
}

/// Why no state could be recovered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecoveryError {
    /// The platform did not carry out the requests before the timeout.
    Unavailable {
        /// Time after which to retry.
        retry_after: Duration,
    },
    /// The platform rejects the request, so that a retry is of no use.
    Refused {
        /// The platform's reason.
        reason: SmolStr,
    },
    /// The log is inconsistent or malformed.
    Log(LogError),
    /// No snapshot can be used, and the log does not reach back to the empty configuration.
    NoSnapshot {
        /// What is wrong with each of them.
        skipped: Vec<SkippedSnapshot>,
    },
}

impl RecoveryError {
    /// Time after which to retry, or `None` if a retry would not help.
    #[must_use]
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::Unavailable { retry_after } => Some(*retry_after),
            Self::Refused { .. } | Self::Log(_) | Self::NoSnapshot { .. } => None,
        }
    }
}

impl fmt::Display for RecoveryError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unavailable { .. } => f.write_str("the platform is not available"),
            Self::Refused { reason } => write!(f, "the platform refuses a read: {reason}"),
            Self::Log(e) => e.fmt(f),
            Self::NoSnapshot { skipped } => {
                f.write_str("no snapshot can be used:")?;
                let mut each = skipped.iter();
                each.try_for_each(|it| write!(f, " version {}: {};", it.version, it.reason))
            }
        }
    }
}

impl std::error::Error for RecoveryError {}

/// Fetches the newest state: the head, its newest usable snapshot, and the log after that snapshot.
#[derive(Clone, Debug)]
pub struct Recovery {
    cfg: LogConfig,
    backoff: Backoff,
    /// Snapshots that have not been tried yet, newest first.
    candidates: Vec<SnapshotRef>,
    skipped: Vec<SkippedSnapshot>,
    state: Option<State>,
    /// Whether the log reaches back to the empty configuration.
    log_is_complete: bool,
}

impl Recovery {
    /// Creates a recovery.
    #[must_use]
    pub fn new(cfg: &LogConfig, seed: u64) -> Self {
        Self {
            cfg: cfg.clone(),
            backoff: Backoff::new(cfg, seed),
            candidates: Vec::new(),
            skipped: Vec::new(),
            state: None,
            log_is_complete: false,
        }
    }

    /// Handles an input at time `now` and returns the next action. The input has to be the answer
    /// to the previous action.
    pub fn step(&mut self, now: Duration, input: RecoveryInput) -> RecoveryAction {
        self.backoff.start(now);
        match input {
            RecoveryInput::Start | RecoveryInput::WaitElapsed => self.next(),
            RecoveryInput::Read(Ok(answer)) => self
                .after_read(&answer)
                .unwrap_or_else(|e| finish(Err(RecoveryError::Log(e)))),
            RecoveryInput::Object(Ok(bytes)) => self.after_object(&bytes),
            RecoveryInput::Object(Err(PlatformError::NotFound)) => {
                self.skip("there is no such object".into());
                self.next()
            }
            RecoveryInput::Read(Err(e)) | RecoveryInput::Object(Err(e)) => {
                self.after_error(now, &e)
            }
        }
    }

    /// Chooses the next request from what has been fetched so far.
    fn next(&mut self) -> RecoveryAction {
        if let Some(state) = &self.state {
            let req = tail_request(state.version(), self.cfg.max_rows_per_read);
            return RecoveryAction::Read(req);
        }
        if let Some(snapshot) = self.candidates.first() {
            return RecoveryAction::GetObject(snapshot_name(snapshot.version));
        }
        if self.log_is_complete {
            self.state = Some(State::default());
            return self.next();
        }
        // All known snapshots are unusable. They may have been replaced since the head was read, so
        // it is read again.
        RecoveryAction::Read(head_request())
    }

    fn after_read(&mut self, answer: &ReadAnswer) -> Result<RecoveryAction, LogError> {
        let Some(state) = self.state.take() else {
            let head = read_head(answer)?.head;
            return self.choose_snapshot(head);
        };
        match read_tail(state.version(), answer)? {
            // The log was trimmed in the meantime, so there is a newer snapshot.
            Tail::Trimmed { head } => self.choose_snapshot(head),
            Tail::Deltas { head, deltas } => {
                let state = apply_all(&state, &deltas)?.unwrap_or(state);
                if state.version() < head.version {
                    self.state = Some(state);
                    return Ok(self.next());
                }
                self.check(state, head)
            }
        }
    }

    /// Takes the snapshots of a head as candidates, except those that were already skipped.
    fn choose_snapshot(&mut self, head: Head) -> Result<RecoveryAction, LogError> {
        self.log_is_complete = head.log_continues_from(0);
        if head.version == 0 {
            return self.check(State::default(), head);
        }
        let skipped = |it: &SnapshotRef| self.skipped.iter().any(|s| s.version == it.version);
        let is_continued = |it: &SnapshotRef| head.log_continues_from(it.version);
        let usable = head.snapshots.iter().copied();
        self.candidates = usable
            .filter(|it| is_continued(it) && !skipped(it))
            .collect();
        if self.candidates.is_empty() && !self.log_is_complete {
            let skipped = std::mem::take(&mut self.skipped);
            return Ok(finish(Err(RecoveryError::NoSnapshot { skipped })));
        }
        Ok(self.next())
    }

    /// Accepts a snapshot only if its version and digest are those in the head row. Its own digest
    /// reveals damage; the head's reveals an object that doesn't belong to this log.
    fn after_object(&mut self, bytes: &[u8]) -> RecoveryAction {
        let Some(expected) = self.candidates.first().copied() else {
            return self.next();
        };
        match decode_snapshot(bytes) {
            Ok(state) if state.version() != expected.version => {
                self.skip("holds another version".into());
            }
            Ok(state) if state.digest() != expected.digest => {
                self.skip("has another digest than the head row says".into());
            }
            Ok(state) => self.state = Some(state),
            Err(e) => self.skip(e.to_smolstr()),
        }
        self.next()
    }

    fn skip(&mut self, reason: SmolStr) {
        if !self.candidates.is_empty() {
            let version = self.candidates.remove(0).version;
            self.skipped.push(SkippedSnapshot { version, reason });
        }
    }

    fn check(&mut self, state: State, head: Head) -> Result<RecoveryAction, LogError> {
        if state.digest() != head.digest {
            return Err(LogError::HeadDigest {
                version: head.version,
            });
        }
        Ok(finish(Ok(Recovered {
            state: Arc::new(state),
            head,
            skipped: std::mem::take(&mut self.skipped),
        })))
    }

    fn after_error(&mut self, now: Duration, error: &PlatformError) -> RecoveryAction {
        if let PlatformError::Refused { reason } = error {
            let reason = reason.clone();
            return finish(Err(RecoveryError::Refused { reason }));
        }
        match self.backoff.after_error(now, error) {
            Some(wait) => RecoveryAction::Wait(wait),
            None => finish(Err(RecoveryError::Unavailable {
                retry_after: self.backoff.retry_after(),
            })),
        }
    }
}

fn finish(result: Result<Recovered, RecoveryError>) -> RecoveryAction {
    RecoveryAction::Finish(result)
}
