//! The edge towards whatever runs the fleet.

use std::fmt;
use std::future::Future;
use std::time::Duration;

use smol_str::SmolStr;
use stoatstep_membership::Announcement;
use stoatstep_resource::{InstanceId, State};

/// Position in the host's history of changes.
pub type Cursor = u64;

/// What a look at the host's configuration brought.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Update {
    /// From where to wait for the next change.
    pub cursor: Cursor,
    /// The newest configuration; absent where none was written since.
    pub state: Option<State>,
}

/// Why the host gave no answer that is of use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HostError {
    /// No answer, or one that says to come back. A write may have been done.
    Unavailable(SmolStr),
    /// The changes after the cursor are no longer kept: read everything anew.
    HistoryLost,
    /// The answer is none that this build understands; the text says where.
    Malformed(SmolStr),
}

impl fmt::Display for HostError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unavailable(why) => write!(f, "unavailable: {why}"),
            Self::HistoryLost => f.write_str("the history of changes is gone"),
            Self::Malformed(why) => write!(f, "malformed answer: {why}"),
        }
    }
}

impl std::error::Error for HostError {}

/// What the daemon asks of its host. When to ask, and what to do without an
/// answer, is decided by the daemon.
pub trait Host: 'static {
    /// The newest configuration.
    fn configuration(&self) -> impl Future<Output = Result<Update, HostError>>;

    /// Waits for at most `wait` for a configuration written after `cursor`.
    fn changed(
        &self,
        cursor: Cursor,
        wait: Duration,
    ) -> impl Future<Output = Result<Update, HostError>>;

    /// The instances that announced themselves, by which a daemon that starts
    /// finds its first peer.
    fn roster(&self) -> impl Future<Output = Result<Vec<Announcement>, HostError>>;

    /// Adds this instance to the roster.
    fn announce(&self, own: &Announcement) -> impl Future<Output = Result<(), HostError>>;

    /// Takes an instance out of the roster.
    fn withdraw(&self, instance: &InstanceId) -> impl Future<Output = Result<(), HostError>>;
}
