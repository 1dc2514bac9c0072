//! A stand-in for the platform: the transactional table and the object store,
//! in memory, over HTTP, with faults that can be switched on while it runs.
//!
//! The rows, their transactions and the object store are those of
//! `stoatstep_platform`, which tests in memory use too. This crate adds what
//! only a process has: limits a second, counts by availability zone, and
//! faults that callers see as the real service's. See
//! `docs/operators/platform.md`.

mod admin;
mod counts;
mod objects;
mod program;
mod request;
mod server;
mod standin;
mod table;

pub use admin::{FaultWire, ObjectWire, RowWire};
pub use counts::{CountsReport, ZoneCounts};
pub use program::main;
pub use server::{Options, Running, serve};
