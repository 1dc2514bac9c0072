//! Tests of the programs as they run: separate processes over TCP on loopback
//! addresses. See `docs/contributing/testing.md`.

mod bad_input;
mod calls;
mod decoders;
mod docs;
mod draining;
mod endless_answers;
mod explain;
mod fleet;
mod handover;
mod http;
mod invalid_statuses;
mod late_copies;
mod lifecycle;
mod log_calls;
mod operators;
mod process;
mod process_rules;
mod programs;
mod sidecar;
mod spreading;
#[path = "../support/mod.rs"]
#[allow(dead_code)]
mod support;
