//! The `stoatctl` program: operators write configuration, read it, and see
//! where it is in force and where it is not.
//!
//! Every command ends with an exit code of its own meaning, so that scripts can
//! tell a lost race from a daemon that cannot be reached. See
//! `docs/operators/stoatctl.md`.

mod client;
mod commands;
mod console;
mod exit;
mod failure;
mod file_set;
mod in_force;
mod miss;
mod settings;
mod table;
mod watch_cursor;

use std::ffi::OsString;
use std::io::{self, Write};
use std::process::ExitCode;

pub use exit::Exit;

/// Runs the program with the arguments and environment of the process.
#[must_use]
pub fn main() -> ExitCode {
    let args = std::env::args_os().skip(1).collect();
    let env = |name: &str| {
        let text = std::env::var_os(name)?;
        Some(text.to_string_lossy().into_owned())
    };
    run(args, &env, Box::new(io::stdout()), Box::new(io::stderr())).into()
}

/// Runs the program with the given arguments, its own name not among them, and
/// the given environment and outputs.
pub fn run(
    args: Vec<OsString>,
    env: &dyn Fn(&str) -> Option<String>,
    out: Box<dyn Write>,
    err: Box<dyn Write>,
) -> Exit {
    commands::run(args, env, out, err)
}
