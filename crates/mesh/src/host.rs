//! The edge towards whatever runs the fleet.

use std::fmt;
use std::future::Future;
use std::time::Duration;

use smol_str::SmolStr;
use stoatstep_calls::{Fingerprint, QuarantinedRequest};
use stoatstep_membership::Announcement;
use stoatstep_resource::{InstanceId, ServiceName, State};
use stoatstep_rollout::{Order, OrderId, Software, Step, UnixTime};

/// Counts how often the host came back from an older copy of what it held. It then has
/// lost the newest writes, and gives their versions out again for others.
pub type Era = u64;

/// Position in the host's history of changes. Versions of two eras say nothing about each
/// other: one that is higher may come before, and one that is the same be another write.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Cursor {
    /// Era in which the version was given out.
    pub era: Era,
    /// Version of the newest change.
    pub version: u64,
}

/// What a look at the host's configuration brought.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Update {
    /// From where to wait for the next change.
    pub cursor: Cursor,
    /// What the host's steady clock showed when it answered, where it tells.
    pub host_time: Option<Duration>,
    /// The newest configuration; absent where none was written since.
    pub state: Option<State>,
    /// Orders for roll-outs that were written or withdrawn since.
    pub rollouts: Vec<RolloutNews>,
}

/// What the host says of an order for a roll-out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RolloutNews {
    /// It stands.
    Ordered {
        /// What was ordered.
        order: Order,
        /// What was settled for the service last, where that was read too. It may be of
        /// an earlier order.
        status: Option<RolloutStatus>,
    },
    /// The order for this service was deleted.
    Withdrawn(ServiceName),
}

/// How a roll-out stands, as the host keeps it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutStatus {
    /// The order that it is about.
    pub order: OrderId,
    /// The version ordered.
    pub target: Software,
    /// Where it stands.
    pub state: RolloutState,
    /// When it has to be over.
    pub due: UnixTime,
}

/// Where a roll-out stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutState {
    /// It goes on.
    Active,
    /// The service has moved.
    Completed,
    /// The service stays where it was.
    RolledBack,
}

impl RolloutState {
    /// Whether this is the end.
    #[must_use]
    pub fn is_final(self) -> bool {
        self != Self::Active
    }
}

impl From<RolloutState> for Step {
    /// The host does not keep the steps of one that goes on: whoever takes it up again
    /// begins with the first one.
    fn from(state: RolloutState) -> Self {
        match state {
            RolloutState::Active => Self::Trial,
            RolloutState::Completed => Self::Completed,
            RolloutState::RolledBack => Self::RolledBack,
        }
    }
}

/// What the host's list holds. Both parts stand in one list, so that a daemon that starts
/// asks once.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Listed {
    /// The instances that announced themselves.
    pub members: Vec<Announcement>,
    /// Requests under which targets ended.
    pub requests: Vec<QuarantinedRequest>,
}

/// Version of a row at the host; 0 where there is no row.
pub type RowVersion = u64;

/// What the host holds of a service's last roll-out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldRollout {
    /// What was settled; absent where nothing was that a daemon of ours wrote.
    pub status: Option<RolloutStatus>,
    /// The row's version, on which a write depends.
    pub version: RowVersion,
}

/// Why the host gave no answer that is of use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HostError {
    /// No answer, or one that says to come back. A write may have been done.
    Unavailable(SmolStr),
    /// The changes after the cursor are no longer kept, or the cursor is of an earlier era:
    /// read everything anew.
    HistoryLost,
    /// The answer is none that this build understands; the text says where.
    Malformed(SmolStr),
    /// Somebody else wrote first: nothing was done.
    Conflict,
}

impl fmt::Display for HostError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unavailable(why) => write!(f, "unavailable: {why}"),
            Self::HistoryLost => f.write_str("the history of changes is gone"),
            Self::Malformed(why) => write!(f, "malformed answer: {why}"),
            Self::Conflict => f.write_str("somebody else wrote first"),
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
    /// finds its first peer, and the requests that it has to refuse.
    fn roster(&self) -> impl Future<Output = Result<Listed, HostError>>;

    /// Keeps a request that is refused.
    fn keep(&self, request: &QuarantinedRequest) -> impl Future<Output = Result<(), HostError>>;

    /// Keeps a request no longer.
    fn drop_kept(&self, request: Fingerprint) -> impl Future<Output = Result<(), HostError>>;

    /// Adds this instance to the roster.
    fn announce(&self, own: &Announcement) -> impl Future<Output = Result<(), HostError>>;

    /// Takes an instance out of the roster.
    fn withdraw(&self, instance: &InstanceId) -> impl Future<Output = Result<(), HostError>>;

    /// How a service's last roll-out stands.
    fn rollout(&self, service: &str) -> impl Future<Output = Result<HeldRollout, HostError>>;

    /// Settles how a service's roll-out stands, if nobody wrote since `held`.
    fn settle_rollout(
        &self,
        service: &str,
        status: &RolloutStatus,
        held: RowVersion,
    ) -> impl Future<Output = Result<(), HostError>>;
}
