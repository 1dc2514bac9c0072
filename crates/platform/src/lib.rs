//! What stoatstep asks of the platform: a transactional table and an object
//! store, both of which go away at times.
//!
//! [`Platform`] is the process's edge: decision code elsewhere only builds a
//! [`ReadRequest`] or a [`CommitRequest`] and is told the answer. Two things
//! implement it. [`HttpPlatform`] speaks to the service over HTTP, and
//! [`MemoryPlatform`] keeps everything in this process for tests. Both share
//! [`Table`], which the stand-in program serves too, so that a test in memory
//! and a run of real processes mean the same by "conflict".
//!
//! The errors tell "certainly not done" from "may have been done", since that
//! is the difference between a retry and a duplicate. See
//! `docs/operators/platform.md`.

mod api;
mod error;
mod fault;
mod http;
mod limit;
mod memory;
mod objects;
mod request;
mod table;
mod usage;
mod wire;

pub use api::Platform;
pub use error::PlatformError;
pub use fault::{Fault, FaultKind, Faults, Service, Verdict};
pub use http::{HttpPlatform, HttpPlatformBuilder};
pub use limit::RateLimit;
pub use memory::{MemoryPlatform, Operation, Outcome};
pub use objects::Objects;
pub use request::{
    CommitAnswer, CommitRequest, Condition, RangeRead, ReadAnswer, ReadRequest, Row, RowKey,
    TableRevision, Write,
};
pub use table::Table;
pub use usage::{Usage, UsageCounters};
pub use wire::{
    MAX_BODY, MAX_COMMIT_ITEMS, MAX_KEY, MAX_OBJECT, MAX_READ_ITEMS, WireError, header,
};
pub use wire::{
    decode_commit, decode_commit_answer, decode_names, decode_read, decode_read_answer,
    encode_commit, encode_commit_answer, encode_names, encode_read, encode_read_answer,
};
