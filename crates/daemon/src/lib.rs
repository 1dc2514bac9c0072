//! The daemon that runs next to every target. It accepts calls from callers, runs them on targets,
//! holds the configuration and serves operators.
//!
//! The decisions are made in crates without I/O (`membership`, `distribution`, `calls`,
//! `versionlog`). This crate adds sockets, clocks and the platform's service. It runs on one
//! thread, so that state needs no locks and a call waits in no queue but the target's own.
//! See `docs/contributing/interfaces.md` for the protocols of the ports.

mod call;
mod config;
mod connections;
mod control;
mod http;
mod in_force;
mod node;
mod operator;
mod server;

use std::process::ExitCode;

use config::Config;

/// Runs the daemon with the arguments and environment of the process until it is told to stop.
#[must_use]
pub fn main() -> ExitCode {
    match Config::read() {
        Ok(cfg) => server::run(cfg),
        Err(stop) => stop.report(),
    }
}
