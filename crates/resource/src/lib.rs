//! The configuration that stoatstep distributes: resources, the state that they make up, and the
//! deltas that lead from one version to the next.
//!
//! This crate holds only data and pure functions, so that the daemon, the operators' tool, the
//! scripted scenarios and the model checker share one definition of a valid configuration. See
//! `docs/concepts/configuration.md`.

mod delta;
mod difference;
mod digest;
mod files;
mod finding;
mod ids;
mod key;
mod key_digest;
mod state;
mod types;
mod validate;
pub mod wire;

pub use delta::{ApplyError, Delta};
pub use difference::Difference;
pub use digest::Digest;
pub use files::{FileSet, SourceFile};
pub use finding::{Finding, Place};
pub use ids::{
    CustomerName, InstanceId, OperationId, PolicyName, Revision, RouteName, ServiceName,
    UpstreamName, Version, ZoneName,
};
pub use key::{Key, KeyError, Kind, UnknownKind};
pub use key_digest::{InvalidKeyDigest, KeyDigest, KeyId};
pub use state::{SnapshotError, State, VersionedResource};
pub use types::{
    Customer, HEALTH_PATH, Policy, Quota, Resource, Retry, Route, Service, Share, TenantLimit,
    Upstream,
};
pub use validate::{
    MAX_ATTEMPTS, MAX_BUDGET_PERCENT, MAX_CONNECTIONS, MAX_KEYS, MAX_NAME_LEN, MAX_PREFIX_LEN,
    MAX_PRIORITY, MAX_RESOURCES, MAX_SLOTS, MAX_TENANT_LIMITS, MAX_TIMEOUT, MAX_WEIGHT,
    MIN_TIMEOUT, check_name, validate,
};
