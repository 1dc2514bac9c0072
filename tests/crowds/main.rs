//! Crowds of callers that don't behave, at the programs as processes: each stays within its memory
//! and its descriptors, and an ordinary caller is still served. See `docs/contributing/testing.md`.
//!
//! One test runs at a time, since each fills the memory that its settings allow.

mod crowd;
mod crowds_at_entry;
mod crowds_at_sidecar;
mod crowds_at_stoatstepd;
#[path = "../all/fleet.rs"]
#[allow(dead_code)]
mod fleet;
#[path = "../all/http.rs"]
#[allow(dead_code)]
mod http;
mod limits;
#[path = "../all/process.rs"]
#[allow(dead_code)]
mod process;
#[path = "../support/mod.rs"]
#[allow(dead_code)]
mod support;
