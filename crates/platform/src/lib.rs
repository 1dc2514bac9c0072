//! Interface to the platform that stoatstep runs on: a transactional table and an object store,
//! both of which can be temporarily unavailable.
//!
//! The [`Platform`] trait does the I/O; decision code elsewhere only builds a [`ReadRequest`] or a
//! [`CommitRequest`] and receives the answer. [`HttpPlatform`] implements the trait with a service
//! over HTTP, and [`MemoryPlatform`] with data in this process, for tests. [`MemoryPlatform`] and
//! the stand-in program of the platform both use [`Table`], so that conflicts are the same in a
//! test in memory and in a run of real processes.
//!
//! [`PlatformError`] distinguishes requests that certainly had no effect from those that may have
//! had one: to retry the former is safe, to retry the latter may do the same thing twice. See
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
pub use fault::{Fault, FaultEffect, FaultKind, Faults, Service};
pub use http::{HttpPlatform, HttpPlatformBuilder};
pub use limit::RateLimit;
pub use memory::{MemoryPlatform, Operation, ScriptedOutcome};
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
