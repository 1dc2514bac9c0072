//! The `stoat-target` program.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use slog::{Logger, error, info, o};
use smol_str::{SmolStr, ToSmolStr};
use stoatstep_settings::{EarlyExit, HumanDuration, Program, Setting, Values};
use stoatstep_telemetry::{Level, logger};

use crate::behaviour::Behaviour;
use crate::server::{Options, serve};

const PROGRAM: Program = Program {
    name: "stoat-target",
    about: "A stand-in for a target: runs calls in slots and writes down what ran.",
    settings: &[
        Setting::new("addr", "IP:PORT", "Where to listen."),
        Setting::new("name", "NAME", "Name in answers; the address where absent."),
        Setting::new("slots", "N", "Calls that run at a time; more are shed.").default("13"),
        Setting::new("service-time", "TIME", "Mean time of a run.").default("5ms"),
        Setting::new("service-spread", "TIME", "Runs take the mean +- this.").default("0ms"),
        Setting::new(
            "cold-start",
            "TIME",
            "Time after the start in which runs are slower.",
        )
        .default("0ms"),
        Setting::new(
            "ledger",
            "FILE",
            "File that keeps the ledger over restarts; in memory alone where absent.",
        ),
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
    let log = logger(PROGRAM.name, level).new(o!("target" => options.name.to_string()));
    match run(options, &log) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            error!(log, "target failed"; "error" => %failure);
            ExitCode::FAILURE
        }
    }
}

fn options(mut values: Values) -> Result<(Options, Level), EarlyExit> {
    let addr = values.required::<SocketAddr>("addr");
    let name = values.optional::<SmolStr>("name");
    let slots = values.required::<u32>("slots");
    let service_time = values.required::<HumanDuration>("service-time");
    let service_spread = values.required::<HumanDuration>("service-spread");
    let cold_start = values.required::<HumanDuration>("cold-start");
    let ledger = values.optional::<PathBuf>("ledger");
    let level = values.required::<Level>("log-level");
    values.finish()?;
    let addr = addr.unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0)));
    let span = |span: Option<HumanDuration>| span.map(|it| it.0).unwrap_or_default();
    let behaviour = Behaviour {
        slots: slots.unwrap_or_default(),
        service_time: span(service_time),
        service_spread: span(service_spread),
        cold_start: span(cold_start),
        ..Behaviour::default()
    };
    let options = Options {
        addr,
        name: name.unwrap_or_else(|| addr.to_smolstr()),
        behaviour,
        ledger,
    };
    Ok((options, level.unwrap_or(Level::Info)))
}

fn run(options: Options, log: &Logger) -> io::Result<()> {
    let log = log.clone();
    let addr = options.addr;
    ntex::rt::System::new("stoat-target", ntex::rt::DefaultRuntime).block_on(async move {
        let server = serve(options)?;
        info!(log, "target listens"; "addr" => %addr);
        server.await
    })
}
