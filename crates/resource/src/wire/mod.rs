//! Forms in which configuration travels, apart from the domain types, so that
//! either can change without the other.
//!
//! - [`ResourceWire`] and the operator API's bodies: JSON, written and read by
//!   people too, so durations are text such as `"250ms"`.
//! - [`DeltaWire`] and [`SnapshotWire`]: `rmp` between daemons and in the
//!   platform's rows and objects, where every byte counts.
//!
//! What comes in from elsewhere refuses unknown fields, since a misspelt
//! optional field would otherwise be silently without effect. Answers that the
//! operators' tool reads ([`StatusAnswer`] above all) let them pass, so that an
//! older tool still reads a newer daemon. See
//! `docs/contributing/interfaces.md`.

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
    HistogramStatus, MemberState, MemberStatus, QuarantineStatus, StatusAnswer, TrafficStatus,
    VersionHold,
};
