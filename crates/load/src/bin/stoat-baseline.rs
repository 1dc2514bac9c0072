//! The `stoat-baseline` program; everything it does lives in its crate.

use std::process::ExitCode;

fn main() -> ExitCode {
    stoatstep_load::baseline_main()
}
