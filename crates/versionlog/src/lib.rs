//! The log of configuration versions, stored in the platform's table.
//!
//! One `head` row holds the newest version and its digest. Each version has a `log/` row with its
//! delta, and each operation an `operation/` row with the version that it produced. A change is one
//! transaction over all three rows, conditioned on the head, so the versions form a single sequence
//! even when several writers compete or answers are lost. Snapshots in the object store allow old
//! rows of the log to be deleted.
//!
//! [`Writer`], [`Snapshotter`] and [`Recovery`] are state machines without I/O: their input is an
//! answer of the platform and the current time, their output the next request. The same code runs
//! in the daemon through [`VersionLog`], in tests that inject faults, and under a model checker.
//! See `docs/design/version-log.md`.

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
pub use driver::{Environment, PollError, VersionLog};
pub use error::{LogError, RowError};
pub use keys::{HEAD, LOG_PREFIX, OPERATION_PREFIX, SNAPSHOT_PREFIX};
pub use keys::{log_key, operation_key, snapshot_name, snapshot_version};
pub use recovery::{
    Recovered, Recovery, RecoveryAction, RecoveryError, RecoveryInput, SkippedSnapshot,
};
pub use rows::{Head, HeadRow, LogEntry, OperationEntry, SnapshotRef};
pub use snapshot::{
    SnapshotAction, SnapshotError, SnapshotInput, SnapshotOutcome, Snapshotter, decode_snapshot,
    encode_snapshot,
};
pub use tail::{Tail, head_request, read_head, read_tail, tail_request};
pub use writer::{
    AcceptedChange, RevisionConflict, WriteAction, WriteError, WriteInput, WriteProgress, Writer,
};
