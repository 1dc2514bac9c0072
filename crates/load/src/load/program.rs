//! The `stoat-load` program.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::str::FromStr;

use stoatstep_settings::{EarlyExit, HumanDuration, Program, Setting, Values};
use stoatstep_standin_target::Entry;

use crate::load::audit::{Audit, fetch};
use crate::load::mix::Mix;
use crate::load::options::LoadOptions;
use crate::load::print;
use crate::load::report::Report;
use crate::load::run::run;

const PROGRAM: Program = Program {
    name: "stoat-load",
    about: "Open-loop load on a fleet, checked against the targets' ledgers. Exit code 1 \
            where an answer was wrong, an idempotent call was lost or a promise was broken.",
    settings: &[
        Setting::new("targets", "IP:PORT,...", "Caller ports of daemons."),
        Setting::new(
            "ledgers",
            "IP:PORT,...",
            "Targets whose ledgers are checked at the end.",
        ),
        Setting::new("rate", "N", "Calls a second.").default("100"),
        Setting::new("for", "TIME", "How long calls are sent.").default("10s"),
        Setting::new("path", "PATH:N,...", "Paths of GET calls, with weights.").default("/"),
        Setting::new(
            "post-path",
            "PATH:N,...",
            "Paths of POST calls, with weights.",
        )
        .default("/"),
        Setting::new("post-share", "PERCENT", "Share of POST calls.").default("0"),
        Setting::new("tenants", "NAME:N,...", "Tenants, with weights.").default("default"),
        Setting::new("classes", "NAME:N,...", "Classes, with weights.").default("standard"),
        Setting::new("deadline", "TIME", "Deadline of each attempt.").default("1s"),
        Setting::new("patience", "TIME", "How long a caller goes on trying.").default("5s"),
        Setting::new("bytes", "N", "Padding that each answer is asked for.").default("0"),
        Setting::new("seed", "N", "Seed of all choices.").default("1"),
        Setting::switch("json", "Print JSON lines instead of a table."),
    ],
    operands: "",
};

/// Addresses with commas between them.
struct Addresses(Vec<SocketAddr>);

/// A text that is not an address.
struct AddressError(String);

impl fmt::Display for AddressError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} is not an IP:port", self.0)
    }
}

impl FromStr for Addresses {
    type Err = AddressError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let one = |text: &str| text.parse().map_err(|_| AddressError(text.to_owned()));
        text.split(',').map(one).collect::<Result<_, _>>().map(Self)
    }
}

struct Settings {
    load: LoadOptions,
    ledgers: Vec<SocketAddr>,
    json: bool,
}

/// Runs the program with the arguments and environment of the process.
#[must_use]
pub fn main() -> ExitCode {
    let settings = match PROGRAM.read().and_then(settings) {
        Ok(settings) => settings,
        Err(stop) => return stop.report(),
    };
    let system = ntex::rt::System::new(PROGRAM.name, ntex::rt::DefaultRuntime);
    match system.block_on(check(settings)) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("{}: {error}", PROGRAM.name);
            ExitCode::FAILURE
        }
    }
}

fn settings(mut values: Values) -> Result<Settings, EarlyExit> {
    let targets = values.required::<Addresses>("targets");
    let ledgers = values.optional::<Addresses>("ledgers");
    let rate = values.required::<f64>("rate");
    let span = values.required::<HumanDuration>("for");
    let get_paths = values.required::<Mix>("path");
    let post_paths = values.required::<Mix>("post-path");
    let post_share = values.required::<u32>("post-share");
    let tenants = values.required::<Mix>("tenants");
    let classes = values.required::<Mix>("classes");
    let deadline = values.required::<HumanDuration>("deadline");
    let patience = values.required::<HumanDuration>("patience");
    let bytes = values.required::<usize>("bytes");
    let seed = values.required::<u64>("seed");
    let json = values.switch("json");
    if rate.is_some_and(|rate| !rate.is_finite() || rate <= 0.0) {
        values.reject("rate", "must be above 0");
    }
    if post_share.is_some_and(|percent| percent > 100) {
        values.reject("post-share", "must be at most 100");
    }
    values.finish()?;
    let given = "a setting without a finding has a value";
    let load = LoadOptions::new(targets.expect(given).0)
        .rate(rate.expect(given))
        .duration(span.expect(given).0)
        .get_paths(get_paths.expect(given))
        .post_paths(post_paths.expect(given))
        .post_percent(post_share.expect(given))
        .tenants(tenants.expect(given))
        .classes(classes.expect(given))
        .deadline(deadline.expect(given).0)
        .patience(patience.expect(given).0)
        .bytes(bytes.expect(given))
        .seed(seed.expect(given));
    Ok(Settings {
        load,
        ledgers: ledgers.map(|it| it.0).unwrap_or_default(),
        json,
    })
}

async fn check(settings: Settings) -> io::Result<bool> {
    let report = run(settings.load).await;
    let ledgers = ledgers(&settings.ledgers).await?;
    let audit = (!ledgers.is_empty()).then(|| Audit::new(&report, &ledgers));
    show(&report, audit.as_ref(), settings.json)?;
    let kept = audit.is_none_or(|audit| audit.is_clean());
    let tally = &report.total.tally;
    Ok(kept && tally.wrong == 0 && tally.lost == 0)
}

/// A ledger that cannot be read ends the program: the check would pass over
/// whatever ran there.
async fn ledgers(addrs: &[SocketAddr]) -> io::Result<Vec<Vec<Entry>>> {
    let mut ledgers = Vec::new();
    for addr in addrs {
        let ledger = fetch(*addr).await;
        ledgers.push(ledger.map_err(|why| io::Error::other(format!("ledger of {addr}: {why}")))?);
    }
    Ok(ledgers)
}

fn show(report: &Report, audit: Option<&Audit>, json: bool) -> io::Result<()> {
    let mut out = io::stdout().lock();
    if json {
        print::json(&mut out, report, audit)
    } else {
        print::table(&mut out, report, audit)
    }
}
