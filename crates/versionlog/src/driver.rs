//! Runs the state machines of this crate against a platform.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use smol_str::SmolStr;
use stoatstep_platform::{Platform, PlatformError};
use stoatstep_resource::wire::Change;
use stoatstep_resource::{State, Version};

use crate::config::LogConfig;
use crate::error::LogError;
use crate::recovery::{Recovered, Recovery, RecoveryAction, RecoveryError, RecoveryInput};
use crate::rows::Head;
use crate::snapshot::{SnapshotAction, SnapshotError, SnapshotInput, SnapshotOutcome, Snapshotter};
use crate::tail::{Tail, head_request, read_head, read_tail, tail_request};
use crate::writer::{AcceptedChange, WriteAction, WriteError, WriteInput, Writer};

/// The services that the version log needs from the process that it runs in.
pub trait Environment {
    /// Type of the platform's client.
    type Platform: Platform;

    /// The platform's client.
    fn platform(&self) -> &Self::Platform;

    /// Time since an arbitrary fixed moment, by a monotonic clock.
    fn now(&self) -> Duration;

    /// Waits for `time`.
    fn sleep(&self, time: Duration) -> impl Future<Output = ()>;

    /// A random seed that differs between processes, so that their delays do too.
    fn seed(&self) -> u64;
}

/// Asynchronous operations on the version log, for use in a process.
#[derive(Debug)]
pub struct VersionLog<E> {
    environment: E,
    cfg: LogConfig,
}

/// Why a read of the log failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PollError {
    /// The platform gave no answer.
    Platform(PlatformError),
    /// The log is inconsistent or malformed.
    Log(LogError),
}

impl std::fmt::Display for PollError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Platform(e) => e.fmt(f),
            Self::Log(e) => e.fmt(f),
        }
    }
}

impl std::error::Error for PollError {}

impl From<PlatformError> for PollError {
    fn from(e: PlatformError) -> Self {
        Self::Platform(e)
    }
}

impl From<LogError> for PollError {
    fn from(e: LogError) -> Self {
        Self::Log(e)
    }
}

impl<E: Environment> VersionLog<E> {
    /// Creates a log with these settings.
    #[must_use]
    pub fn new(environment: E, cfg: LogConfig) -> Self {
        Self { environment, cfg }
    }

    /// The environment that was passed to [`VersionLog::new`].
    #[must_use]
    pub fn environment(&self) -> &E {
        &self.environment
    }

    /// The settings of the log.
    #[must_use]
    pub fn config(&self) -> &LogConfig {
        &self.cfg
    }

    /// Reads the head, which is a single row. A failed read is not retried here, since the caller
    /// polls on its own schedule.
    ///
    /// # Errors
    ///
    /// The platform did not answer, or the head row is malformed.
    pub async fn head(&self) -> Result<Head, PollError> {
        let answer = self.environment.platform().read(head_request()).await?;
        Ok(read_head(&answer)?.head)
    }

    /// Reads the head and the versions after `from` in one request. A failed read is not retried
    /// here, since the caller polls on its own schedule.
    ///
    /// # Errors
    ///
    /// The platform did not answer, or the log is inconsistent or malformed.
    pub async fn tail(&self, from: Version) -> Result<Tail, PollError> {
        let req = tail_request(from, self.cfg.max_rows_per_read);
        let answer = self.environment.platform().read(req).await?;
        Ok(read_tail(from, &answer)?)
    }

    /// Fetches the newest state, for a process that holds none.
    ///
    /// # Errors
    ///
    /// [`RecoveryError`] lists the reasons.
    pub async fn recover(&self) -> Result<Recovered, RecoveryError> {
        let platform = self.environment.platform();
        let mut recovery = Recovery::new(&self.cfg, self.environment.seed());
        let mut input = RecoveryInput::Start;
        loop {
            input = match recovery.step(self.environment.now(), input) {
                RecoveryAction::Read(req) => RecoveryInput::Read(platform.read(req).await),
                RecoveryAction::GetObject(name) => {
                    RecoveryInput::Object(platform.get_object(&name).await)
                }
                RecoveryAction::Wait(time) => {
                    self.environment.sleep(time).await;
                    RecoveryInput::WaitElapsed
                }
                RecoveryAction::Finish(result) => return result,
            };
        }
    }

    /// Writes a change to the log, starting from a state that the caller holds.
    ///
    /// # Errors
    ///
    /// [`WriteError`] lists the reasons.
    pub async fn write(
        &self,
        change: Change,
        author: SmolStr,
        state: Arc<State>,
    ) -> Result<AcceptedChange, WriteError> {
        let platform = self.environment.platform();
        let mut writer = Writer::new(change, author, state, &self.cfg, self.environment.seed());
        let mut input = WriteInput::Start;
        loop {
            input = match writer.step(self.environment.now(), input) {
                WriteAction::Read(req) => WriteInput::Read(platform.read(req).await),
                WriteAction::Commit(req) => WriteInput::Commit(platform.commit(req).await),
                WriteAction::Recover => {
                    let recovered = self.recover().await;
                    WriteInput::Recovered(recovered.map(|it| it.state))
                }
                WriteAction::Wait(time) => {
                    self.environment.sleep(time).await;
                    WriteInput::WaitElapsed
                }
                WriteAction::Finish(result) => return result,
            };
        }
    }

    /// Whether a new snapshot should be taken at this head.
    #[must_use]
    pub fn snapshot_is_due(&self, head: &Head) -> bool {
        Snapshotter::is_due(head, &self.cfg)
    }

    /// Takes a snapshot of `state` and trims the log.
    ///
    /// # Errors
    ///
    /// [`SnapshotError`] lists the reasons.
    pub async fn snapshot(&self, state: Arc<State>) -> Result<SnapshotOutcome, SnapshotError> {
        let platform = self.environment.platform();
        let mut snapshotter = Snapshotter::new(state, &self.cfg, self.environment.seed());
        let mut input = SnapshotInput::Start;
        loop {
            input = match snapshotter.step(self.environment.now(), input) {
                SnapshotAction::PutObject(name, bytes) => {
                    SnapshotInput::Put(platform.put_object(&name, bytes).await)
                }
                SnapshotAction::Read(req) => SnapshotInput::Read(platform.read(req).await),
                SnapshotAction::Commit(req) => SnapshotInput::Commit(platform.commit(req).await),
                SnapshotAction::ListObjects(prefix) => {
                    SnapshotInput::Listed(platform.list_objects(&prefix).await)
                }
                SnapshotAction::DeleteObject(name) => {
                    SnapshotInput::Deleted(platform.delete_object(&name).await)
                }
                SnapshotAction::Wait(time) => {
                    self.environment.sleep(time).await;
                    SnapshotInput::WaitElapsed
                }
                SnapshotAction::Finish(result) => return result,
            };
        }
    }
}
