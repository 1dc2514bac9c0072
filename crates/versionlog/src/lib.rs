//! The order of configuration versions, kept in the platform's table.
//!
//! One `head` row names the newest version and its digest; each version has a
//! `log/` row with its delta, and each operation an `operation/` row with the
//! version that it became. A change is one transaction over all three,
//! conditioned on the head, so that versions form one line whoever writes and
//! whichever answer gets lost. Snapshots in the object store let the log be
//! trimmed.
//!
//! [`Writer`], [`Snapshotter`] and [`Recovery`] are pure: they are told what
//! the platform answered and at what time, and name the next request. The same
//! code runs in the daemon through [`VersionLog`], in tests against faults,
//! and under a model checker. See `docs/design/version-log.md`.

mod backoff;
mod config;
mod driver;
mod error;
mod keys;
mod recovery;
mod rows;
mod snapshot;
mod tail;
mod writer;

pub use config::{LogConfig, LogConfigBuilder};
pub use driver::{Edge, PollError, VersionLog};
pub use error::{LogError, RowError};
pub use keys::{HEAD, LOG_PREFIX, OPERATION_PREFIX, SNAPSHOT_PREFIX};
pub use keys::{log_key, operation_key, snapshot_name, snapshot_version};
pub use recovery::{
    Recovered, Recovery, RecoveryAction, RecoveryError, RecoveryInput, SkippedSnapshot,
};
pub use rows::{Head, HeadRow, LogEntry, OperationEntry, SnapshotRef};
pub use snapshot::{
    Snapshot, SnapshotAction, SnapshotError, SnapshotInput, Snapshotter, decode_snapshot,
    encode_snapshot,
};
pub use tail::{Tail, head_request, read_head, read_tail, tail_request};
pub use writer::{Accepted, Progress, Race, WriteAction, WriteError, WriteInput, Writer};
