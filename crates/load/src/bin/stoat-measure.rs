//! The `stoat-measure` program; everything it does lives in its crate.

use std::process::ExitCode;

fn main() -> ExitCode {
    stoatstep_load::measure_main()
}
