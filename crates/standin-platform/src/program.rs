//! The `stoat-platform` program.

use std::io;
use std::net::SocketAddr;
use std::process::ExitCode;

use slog::{Logger, error, info};
use stoatstep_settings::{EarlyExit, Program, Setting, Values};
use stoatstep_telemetry::{Level, logger};

use crate::server::{Options, serve};

const PROGRAM: Program = Program {
    name: "stoat-platform",
    about: "A stand-in for the platform: a transactional table and an object store, in memory.",
    settings: &[
        Setting::new("addr", "IP:PORT", "Where to listen."),
        Setting::new(
            "reads-per-second",
            "N",
            "Rows, and objects, that may be read in a second.",
        )
        .default("2000"),
        Setting::new(
            "writes-per-second",
            "N",
            "Rows, and objects, that may be written in a second.",
        )
        .default("300"),
        Setting::new("log-level", "LEVEL", "Least severe level that is logged.").default("info"),
    ],
    operands: "",
};

/// Runs the program with the arguments and environment of the process.
#[must_use]
pub fn main() -> ExitCode {
    let (options, level) = match PROGRAM.read().and_then(options) {
        Ok(found) => found,
        Err(stop) => return stop.report(),
    };
    let log = logger(PROGRAM.name, level);
    match run(options, log.clone()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            error!(log, "platform failed"; "error" => %failure);
            ExitCode::FAILURE
        }
    }
}

fn options(mut values: Values) -> Result<(Options, Level), EarlyExit> {
    let addr = values.required::<SocketAddr>("addr");
    let reads = limit(&mut values, "reads-per-second");
    let writes = limit(&mut values, "writes-per-second");
    let level = values.required::<Level>("log-level");
    values.finish()?;
    let options = Options {
        addr: addr.unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0))),
        reads_per_second: reads.unwrap_or_default(),
        writes_per_second: writes.unwrap_or_default(),
    };
    Ok((options, level.unwrap_or(Level::Info)))
}

fn limit(values: &mut Values, flag: &str) -> Option<u32> {
    let limit = values.required::<u32>(flag);
    if limit == Some(0) {
        values.reject(flag, "must be at least 1");
    }
    limit
}

fn run(options: Options, log: Logger) -> io::Result<()> {
    ntex::rt::System::new("stoat-platform", ntex::rt::DefaultRuntime).block_on(async move {
        let server = serve(&options)?;
        info!(log, "platform listens"; "addr" => %options.addr);
        let ended = server.ended().await;
        info!(log, "platform stopped");
        ended
    })
}
