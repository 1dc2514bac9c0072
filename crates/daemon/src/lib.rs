//! The daemon that runs beside every target: it takes calls from callers,
//! runs them on targets, holds the configuration and answers operators.
//!
//! The decisions live in the pure crates (`membership`, `distribution`,
//! `calls`, `versionlog`). This crate is the edge of the process: sockets,
//! clocks and the platform's service. It runs on one thread, so that state
//! needs no locks and a call meets no queue but the target's own.
//! See `docs/contributing/interfaces.md` for what the ports speak.

mod call;
mod config;
mod control;
mod http;
mod in_force;
mod node;
mod operator;
mod server;

use std::process::ExitCode;

use config::Config;

/// Runs the daemon with the arguments and environment of the process until it
/// is told to stop.
#[must_use]
pub fn main() -> ExitCode {
    match Config::read() {
        Ok(cfg) => server::run(cfg),
        Err(stop) => stop.report(),
    }
}
