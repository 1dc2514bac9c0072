//! The `stoat-baseline` program.

use std::fmt;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::str::FromStr;

use stoatstep_settings::{EarlyExit, Program, Setting, Values};

use crate::baseline::router::{PlainRoute, serve};

const PROGRAM: Program = Program {
    name: "stoat-baseline",
    about: "The plainest router, to measure against: a random target, blind retries, no queue.",
    settings: &[
        Setting::new("addr", "IP:PORT", "Where to listen."),
        Setting::new(
            "routes",
            "PREFIX=IP:PORT+IP:PORT,...",
            "Targets for the paths under each prefix.",
        ),
    ],
    operands: "",
};

struct Routes(Vec<PlainRoute>);

/// A part of the text that is not a route.
struct RouteError(String);

impl fmt::Display for RouteError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} is not PREFIX=IP:PORT+IP:PORT", self.0)
    }
}

impl FromStr for Routes {
    type Err = RouteError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.split(',')
            .map(route)
            .collect::<Result<_, _>>()
            .map(Self)
    }
}

fn route(text: &str) -> Result<PlainRoute, RouteError> {
    let wrong = || RouteError(text.to_owned());
    let (prefix, targets) = text.split_once('=').ok_or_else(wrong)?;
    let targets = targets.split('+').map(str::parse::<SocketAddr>);
    let targets = targets.collect::<Result<_, _>>().map_err(|_| wrong())?;
    Ok(PlainRoute {
        prefix: prefix.to_owned(),
        targets,
    })
}

/// Runs the program with the arguments and environment of the process.
#[must_use]
pub fn main() -> ExitCode {
    let (addr, routes) = match PROGRAM.read().and_then(settings) {
        Ok(settings) => settings,
        Err(stop) => return stop.report(),
    };
    let system = ntex::rt::System::new(PROGRAM.name, ntex::rt::DefaultRuntime);
    match system.block_on(async move { serve(addr, routes)?.await }) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{}: {error}", PROGRAM.name);
            ExitCode::FAILURE
        }
    }
}

fn settings(mut values: Values) -> Result<(SocketAddr, Vec<PlainRoute>), EarlyExit> {
    let addr = values.required::<SocketAddr>("addr");
    let routes = values.required::<Routes>("routes");
    values.finish()?;
    let given = "a setting without a finding has a value";
    Ok((addr.expect(given), routes.expect(given).0))
}
