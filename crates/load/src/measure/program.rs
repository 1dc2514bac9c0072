//! The `stoat-measure` program.

use std::process::ExitCode;

use stoatstep_settings::{EarlyExit, Finding, Place, Program, Setting, Values};

use crate::fleet::FleetError;
use crate::measure::slopes::Group;
use crate::measure::{control, convergence, drain, faults, herd, hop, overload, slopes};

const PROGRAM: Program = Program {
    name: "stoat-measure",
    about: "Starts fleets of real processes, measures them and prints JSON lines.",
    settings: &[Setting::switch(
        "quick",
        "Fewer samples, to try an experiment out.",
    )],
    operands: "EXPERIMENT...",
};

/// How much is measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Scale {
    /// Enough to see that an experiment works.
    Quick,
    /// Enough for the figures.
    Full,
}

impl Scale {
    pub(crate) fn pick<T>(self, quick: T, full: T) -> T {
        match self {
            Self::Quick => quick,
            Self::Full => full,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Experiment {
    Hop,
    Overload,
    Faults,
    Drain,
    Convergence,
    Control,
    Herd,
    Slopes,
    SlopesOf(Group),
}

impl Experiment {
    const ALL: [Self; 12] = [
        Self::Hop,
        Self::Overload,
        Self::Faults,
        Self::Drain,
        Self::Convergence,
        Self::Control,
        Self::Herd,
        Self::Slopes,
        Self::SlopesOf(Group::Calls),
        Self::SlopesOf(Group::Changes),
        Self::SlopesOf(Group::State),
        Self::SlopesOf(Group::Daemons),
    ];

    fn name(self) -> &'static str {
        match self {
            Self::Hop => "hop",
            Self::Overload => "overload",
            Self::Faults => "faults",
            Self::Drain => "drain",
            Self::Convergence => "convergence",
            Self::Control => "control",
            Self::Herd => "herd",
            Self::Slopes => "slopes",
            Self::SlopesOf(Group::Calls) => "slopes-calls",
            Self::SlopesOf(Group::Changes) => "slopes-changes",
            Self::SlopesOf(Group::State) => "slopes-state",
            Self::SlopesOf(Group::Daemons) => "slopes-daemons",
        }
    }

    async fn run(self, scale: Scale) -> Result<(), FleetError> {
        match self {
            Self::Hop => hop::run(scale).await,
            Self::Overload => overload::run(scale).await,
            Self::Faults => faults::run(scale).await,
            Self::Drain => drain::run(scale).await,
            Self::Convergence => convergence::run(scale).await,
            Self::Control => control::run(scale).await,
            Self::Herd => herd::run(scale).await,
            Self::Slopes => slopes::run(scale).await,
            Self::SlopesOf(group) => group.run(scale).await,
        }
    }
}

/// Runs the program with the arguments and environment of the process.
#[must_use]
pub fn main() -> ExitCode {
    let (experiments, scale) = match PROGRAM.read().and_then(settings) {
        Ok(settings) => settings,
        Err(stop) => return stop.report(),
    };
    let system = ntex::rt::System::new(PROGRAM.name, ntex::rt::DefaultRuntime);
    match system.block_on(run_all(experiments, scale)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{}: {error}", PROGRAM.name);
            ExitCode::FAILURE
        }
    }
}

async fn run_all(experiments: Vec<Experiment>, scale: Scale) -> Result<(), FleetError> {
    for experiment in experiments {
        experiment.run(scale).await?;
    }
    Ok(())
}

fn settings(values: Values) -> Result<(Vec<Experiment>, Scale), EarlyExit> {
    let scale = if values.switch("quick") {
        Scale::Quick
    } else {
        Scale::Full
    };
    let names = values.operands().to_vec();
    values.finish()?;
    let known = |name: &str| Experiment::ALL.into_iter().find(|it| it.name() == name);
    let unknown = names.iter().filter(|name| known(name).is_none());
    let mut findings: Vec<Finding> = unknown.map(|name| finding(name)).collect();
    if names.is_empty() {
        findings.push(finding("EXPERIMENT"));
    }
    if findings.is_empty() {
        Ok((names.iter().filter_map(|name| known(name)).collect(), scale))
    } else {
        Err(EarlyExit::Findings(findings))
    }
}

fn finding(argument: &str) -> Finding {
    let names = Experiment::ALL.map(Experiment::name).join(", ");
    Finding {
        place: Place::Argument(argument.to_owned()),
        message: format!("one of these is expected: {names}"),
    }
}
