//! Runs the pure parts against a platform.

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
use crate::snapshot::{Snapshot, SnapshotAction, SnapshotError, SnapshotInput, Snapshotter};
use crate::tail::{Tail, head_request, read_head, read_tail, tail_request};
use crate::writer::{Accepted, WriteAction, WriteError, WriteInput, Writer};

/// What the version log needs of the process around it.
pub trait Edge {
    /// The platform's client.
    type Platform: Platform;

    /// The platform's client.
    fn platform(&self) -> &Self::Platform;

    /// Time since any fixed moment, by a clock that never goes back.
    fn now(&self) -> Duration;

    /// Waits.
    fn sleep(&self, time: Duration) -> impl Future<Output = ()>;

    /// A seed that no other process has, so that waits differ between them.
    fn seed(&self) -> u64;
}

/// The version log as a process uses it.
#[derive(Debug)]
pub struct VersionLog<E> {
    edge: E,
    cfg: LogConfig,
}

/// Why a poll brought nothing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PollError {
    /// The platform gave no answer.
    Platform(PlatformError),
    /// The log can't be followed.
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

impl<E: Edge> VersionLog<E> {
    /// A log kept as `cfg` says.
    #[must_use]
    pub fn new(edge: E, cfg: LogConfig) -> Self {
        Self { edge, cfg }
    }

    /// What the process gave.
    #[must_use]
    pub fn edge(&self) -> &E {
        &self.edge
    }

    /// How the log is kept.
    #[must_use]
    pub fn config(&self) -> &LogConfig {
        &self.cfg
    }

    /// The head, by one read of one row. It is not tried again on failure:
    /// the caller's own schedule of polls does that.
    ///
    /// # Errors
    ///
    /// Whatever [`PollError`] names.
    pub async fn head(&self) -> Result<Head, PollError> {
        let answer = self.edge.platform().read(head_request()).await?;
        Ok(read_head(&answer)?.head)
    }

    /// The head and the versions after `from`, by one read. Nor is this tried
    /// again.
    ///
    /// # Errors
    ///
    /// Whatever [`PollError`] names.
    pub async fn tail(&self, from: Version) -> Result<Tail, PollError> {
        let req = tail_request(from, self.cfg.rows_at_once);
        let answer = self.edge.platform().read(req).await?;
        Ok(read_tail(from, &answer)?)
    }

    /// The newest state, for a process that holds none.
    ///
    /// # Errors
    ///
    /// Whatever [`RecoveryError`] names.
    pub async fn recover(&self) -> Result<Recovered, RecoveryError> {
        let platform = self.edge.platform();
        let mut recovery = Recovery::new(&self.cfg, self.edge.seed());
        let mut input = RecoveryInput::Start;
        loop {
            input = match recovery.step(self.edge.now(), input) {
                RecoveryAction::Read(req) => RecoveryInput::Read(platform.read(req).await),
                RecoveryAction::GetObject(name) => {
                    RecoveryInput::Object(platform.get_object(&name).await)
                }
                RecoveryAction::Wait(time) => {
                    self.edge.sleep(time).await;
                    RecoveryInput::Woke
                }
                RecoveryAction::Finish(result) => return result,
            };
        }
    }

    /// Writes a change, starting from a state that is held.
    ///
    /// # Errors
    ///
    /// Whatever [`WriteError`] names.
    pub async fn write(
        &self,
        change: Change,
        author: SmolStr,
        state: Arc<State>,
    ) -> Result<Accepted, WriteError> {
        let platform = self.edge.platform();
        let mut writer = Writer::new(change, author, state, &self.cfg, self.edge.seed());
        let mut input = WriteInput::Start;
        loop {
            input = match writer.step(self.edge.now(), input) {
                WriteAction::Read(req) => WriteInput::Read(platform.read(req).await),
                WriteAction::Commit(req) => WriteInput::Commit(platform.commit(req).await),
                WriteAction::Recover => {
                    let recovered = self.recover().await;
                    WriteInput::Recovered(recovered.map(|it| it.state))
                }
                WriteAction::Wait(time) => {
                    self.edge.sleep(time).await;
                    WriteInput::Woke
                }
                WriteAction::Finish(result) => return result,
            };
        }
    }

    /// Whether a snapshot is due at this head.
    #[must_use]
    pub fn snapshot_is_due(&self, head: &Head) -> bool {
        Snapshotter::is_due(head, &self.cfg)
    }

    /// Takes a snapshot of `state` and trims the log.
    ///
    /// # Errors
    ///
    /// Whatever [`SnapshotError`] names.
    pub async fn snapshot(&self, state: Arc<State>) -> Result<Snapshot, SnapshotError> {
        let platform = self.edge.platform();
        let mut snapshotter = Snapshotter::new(state, &self.cfg, self.edge.seed());
        let mut input = SnapshotInput::Start;
        loop {
            input = match snapshotter.step(self.edge.now(), input) {
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
                    self.edge.sleep(time).await;
                    SnapshotInput::Woke
                }
                SnapshotAction::Finish(result) => return result,
            };
        }
    }
}
