//! Interface to the store in which the platform keeps the state of the fleet.

use std::fmt;
use std::future::Future;
use std::time::Duration;

use smol_str::SmolStr;
use stoatstep_calls::{Fingerprint, QuarantinedRequest};
use stoatstep_membership::Announcement;
use stoatstep_resource::{InstanceId, ServiceName, State};
use stoatstep_rollout::{Order, OrderId, Software, Step, UnixTime};

/// Counts how often the store was restored from an older copy of its data. After a restore it has
/// lost its newest writes, and assigns their versions again to other writes.
pub type Era = u64;

/// Position in the store's history of changes. Versions of two eras are not comparable: a higher
/// one may be older, and an equal one may be another write.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Cursor {
    /// Era in which the version was assigned.
    pub era: Era,
    /// Version of the newest change.
    pub version: u64,
}

/// Answer to a read of the configuration or to a wait for a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigurationUpdate {
    /// Position from which to wait for the next change.
    pub cursor: Cursor,
    /// Reading of the store's monotonic clock when it answered, if it reports one.
    pub store_time: Option<Duration>,
    /// The newest configuration, if one was written since the last answer.
    pub state: Option<State>,
    /// Roll-out orders that were written or withdrawn since the last answer.
    pub rollouts: Vec<OrderChange>,
}

/// Change of an order for a roll-out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderChange {
    /// The order is in effect.
    Ordered {
        /// The order.
        order: Order,
        /// The stored status of the service's last roll-out, if it was read too. It may belong to
        /// an earlier order.
        status: Option<RolloutStatus>,
    },
    /// The order for this service was deleted.
    Withdrawn(ServiceName),
}

/// Status of a roll-out, as the store keeps it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutStatus {
    /// The order that it belongs to.
    pub order: OrderId,
    /// Software version that was ordered.
    pub target: Software,
    /// State of the roll-out.
    pub state: RolloutState,
    /// Deadline of the roll-out.
    pub due: UnixTime,
}

/// State of a roll-out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutState {
    /// The roll-out is in progress.
    Active,
    /// The service runs the ordered version.
    Completed,
    /// The service stays at its previous version.
    RolledBack,
}

impl RolloutState {
    /// Whether the roll-out has ended.
    #[must_use]
    pub fn is_final(self) -> bool {
        self != Self::Active
    }
}

impl From<RolloutState> for Step {
    /// The store does not keep the individual steps of an active roll-out. A daemon that resumes
    /// one starts with the first step.
    fn from(state: RolloutState) -> Self {
        match state {
            RolloutState::Active => Self::Trial,
            RolloutState::Completed => Self::Completed,
            RolloutState::RolledBack => Self::RolledBack,
        }
    }
}

/// Contents of the roster. Both parts are in one list, so that a starting daemon needs one request
/// only.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RosterContents {
    /// Instances that have announced themselves.
    pub members: Vec<Stored<Announcement>>,
    /// Quarantined requests: those that were running when targets ended.
    pub requests: Vec<Stored<QuarantinedRequest>>,
    /// Whether a configuration of this fleet ever had customers.
    pub had_customers: bool,
}

impl RosterContents {
    /// The row of an instance.
    #[must_use]
    pub fn member(&self, instance: &str) -> Option<&Stored<Announcement>> {
        self.members
            .iter()
            .find(|it| it.value.row.instance == instance)
    }

    /// The row of a quarantined request.
    #[must_use]
    pub fn request(&self, request: Fingerprint) -> Option<&Stored<QuarantinedRequest>> {
        self.requests.iter().find(|it| it.value.request == request)
    }
}

/// A row of the roster.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stored<T> {
    /// Its decoded value.
    pub value: T,
    /// Its version, for a conditional write.
    pub version: RowVersion,
}

/// Version of a row at the store; 0 if there is no row.
pub type RowVersion = u64;

/// Stored status of a service's last roll-out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredRollout {
    /// The status; `None` if no daemon of this product has written one.
    pub status: Option<RolloutStatus>,
    /// Version of the row, for a conditional write.
    pub version: RowVersion,
}

/// Reasons why the store gave no usable answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FleetStoreError {
    /// It did not answer, or asked to retry later. A write may have been carried out.
    Unavailable(SmolStr),
    /// The changes after the cursor are no longer kept, or the cursor is of an earlier era.
    /// Everything has to be read again.
    HistoryLost,
    /// The answer cannot be decoded by this build; the text says where.
    Malformed(SmolStr),
    /// Another writer changed the row first; nothing was written.
    Conflict,
}

impl fmt::Display for FleetStoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unavailable(why) => write!(f, "unavailable: {why}"),
            Self::HistoryLost => f.write_str("the history of changes is no longer available"),
            Self::Malformed(why) => write!(f, "malformed answer: {why}"),
            Self::Conflict => f.write_str("another writer changed the row first"),
        }
    }
}

impl std::error::Error for FleetStoreError {}

/// Requests of the daemon to the store. The daemon decides when to send them, and what to do
/// without an answer.
///
/// Every write states the version that its row must still have (`held`; 0 if there must be no row).
/// A write without an answer may be carried out seconds later, when another process may have
/// written the row; the condition makes it have no effect then. See
/// [late writes](../../../docs/design/platform.md#late-writes).
pub trait FleetStore: 'static {
    /// Reads the newest configuration.
    fn configuration(&self) -> impl Future<Output = Result<ConfigurationUpdate, FleetStoreError>>;

    /// Waits for at most `wait` for a configuration written after `cursor`.
    fn wait_for_change(
        &self,
        cursor: Cursor,
        wait: Duration,
    ) -> impl Future<Output = Result<ConfigurationUpdate, FleetStoreError>>;

    /// Reads the roster: the instances by which a starting daemon finds its first peer, and the
    /// requests that it has to refuse.
    fn roster(&self) -> impl Future<Output = Result<RosterContents, FleetStoreError>>;

    /// Stores a request that is refused.
    fn store_request(
        &self,
        request: &QuarantinedRequest,
        held: RowVersion,
    ) -> impl Future<Output = Result<(), FleetStoreError>>;

    /// Deletes a stored request.
    fn delete_request(
        &self,
        request: Fingerprint,
        held: RowVersion,
    ) -> impl Future<Output = Result<(), FleetStoreError>>;

    /// Notes for good that the configuration had customers, if that is not noted yet.
    fn note_customers(&self) -> impl Future<Output = Result<(), FleetStoreError>>;

    /// Adds this instance to the roster.
    fn announce(
        &self,
        own: &Announcement,
        held: RowVersion,
    ) -> impl Future<Output = Result<(), FleetStoreError>>;

    /// Deletes an instance from the roster.
    fn withdraw(
        &self,
        instance: &InstanceId,
        held: RowVersion,
    ) -> impl Future<Output = Result<(), FleetStoreError>>;

    /// Reads the status of a service's last roll-out.
    fn rollout_status(
        &self,
        service: &str,
    ) -> impl Future<Output = Result<StoredRollout, FleetStoreError>>;

    /// Writes the status of a service's roll-out.
    fn write_rollout_status(
        &self,
        service: &str,
        status: &RolloutStatus,
        held: RowVersion,
    ) -> impl Future<Output = Result<(), FleetStoreError>>;
}
