//! Serialized forms of the configuration, separate from the domain types, so that either can
//! change without the other.
//!
//! - [`ResourceWire`] and the bodies of the operator API are JSON, which people write and read too,
//!   so durations are text such as `"250ms"`.
//! - [`DeltaWire`], [`DifferenceWire`] and [`SnapshotWire`] are compact `MessagePack`, used between
//!   daemons and in the platform's rows and objects, where every byte counts.
//!
//! Types of input refuse unknown fields, since a misspelt optional field would otherwise be ignored
//! silently. Answers that the operators' tool reads, such as [`StatusAnswer`], allow them, so that
//! an older tool can read the answers of a newer daemon. See `docs/contributing/interfaces.md`.

mod change;
mod checks;
mod delta;
mod duration;
mod packed;
mod resource;
mod status;

pub use change::{
    Change, ChangeAnswer, ChangeRequest, DeleteWire, EventWire, FindingsAnswer, ItemWire,
    ListAnswer, PutWire, WatchAnswer,
};
pub(crate) use resource::default_weight;

pub use delta::{DeltaWire, DifferenceWire, SnapshotWire};
pub use duration::{duration_text, parse_duration};
pub use resource::{
    CustomerWire, PolicyWire, QuotaWire, ResourceWire, RetryWire, RouteWire, ServiceWire,
    ShareWire, TenantLimitWire, UpstreamWire,
};
pub use status::{
    HistogramStatus, InForceStatus, MemberState, MemberStatus, QuarantineStatus, StatusAnswer,
    TrafficStatus,
};
