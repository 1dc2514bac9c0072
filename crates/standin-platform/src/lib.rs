//! A stand-in for the platform: a server with a transactional table and an object store in memory,
//! into which faults can be injected while it runs.
//!
//! The table and the object store are those of `stoatstep_platform`, which tests in memory use too.
//! This crate adds an HTTP server, limits per second, counts by availability zone, and faults that
//! look to callers like those of the real service. See `docs/operators/platform.md`.

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
