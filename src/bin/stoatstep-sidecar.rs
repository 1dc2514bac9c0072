//! The `stoatstep-sidecar` program; everything it does lives in its crate.

use std::process::ExitCode;

fn main() -> ExitCode {
    stoatstep_on_platform::main()
}
