//! To be written.

use std::process::ExitCode;

/// Runs the program with the arguments and environment of the process.
#[must_use]
pub fn main() -> ExitCode {
    ExitCode::SUCCESS
}
