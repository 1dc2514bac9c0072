//! The commands and how they are chosen.

mod apply;
mod calls;
mod delete;
mod drain;
mod explain;
mod get;
mod log_line;
mod operands;
mod status;
mod submit;
mod validate;
mod watch;

use std::ffi::OsString;
use std::io::Write;

use ntex::rt::{DefaultRuntime, System};
use stoatstep_settings::{EarlyExit, Program, Values};

use crate::console::{Console, Output};
use crate::exit::{EXIT_CODES, Exit};
use crate::failure::Failure;

/// A command with its settings.
enum Command {
    Validate(validate::Options),
    Apply(apply::Options),
    Get(get::Options),
    Delete(delete::Options),
    Watch(watch::Options),
    Status(status::Options),
    Drain(drain::Options),
    Explain(explain::Options),
    Calls(calls::Options),
}

const PROGRAMS: [&Program; 9] = [
    &validate::PROGRAM,
    &apply::PROGRAM,
    &get::PROGRAM,
    &delete::PROGRAM,
    &watch::PROGRAM,
    &status::PROGRAM,
    &drain::PROGRAM,
    &explain::PROGRAM,
    &calls::PROGRAM,
];

/// Runs the command that the arguments name.
pub(crate) fn run(
    args: Vec<OsString>,
    env: &dyn Fn(&str) -> Option<String>,
    mut out: Box<dyn Write>,
    mut err: Box<dyn Write>,
) -> Exit {
    match parse(args, env) {
        Ok((command, output)) => execute(command, Console { out, err, output }),
        Err(EarlyExit::Findings(findings)) => {
            for finding in findings {
                let _ = writeln!(err, "stoatctl: {finding}");
            }
            Exit::Usage
        }
        Err(text) => {
            let _ = writeln!(out, "{text}");
            Exit::Success
        }
    }
}

fn parse(
    mut args: Vec<OsString>,
    env: &dyn Fn(&str) -> Option<String>,
) -> Result<(Command, Output), EarlyExit> {
    if args.is_empty() {
        return Err(usage("", "a command is needed"));
    }
    let name = args.remove(0).to_string_lossy().into_owned();
    match name.as_str() {
        "--help" | "-h" | "help" => return Err(EarlyExit::Help(overview())),
        "--version" | "-V" => return Err(EarlyExit::Version(version())),
        _ => {}
    }
    let read = |program: &Program| program.read_from(args, env).map_err(with_exit_codes);
    match name.as_str() {
        "validate" => with_output(
            read(&validate::PROGRAM)?,
            validate::options,
            Command::Validate,
        ),
        "apply" => with_output(read(&apply::PROGRAM)?, apply::options, Command::Apply),
        "get" => with_output(read(&get::PROGRAM)?, get::options, Command::Get),
        "delete" => with_output(read(&delete::PROGRAM)?, delete::options, Command::Delete),
        "watch" => with_output(read(&watch::PROGRAM)?, watch::options, Command::Watch),
        "status" => with_output(read(&status::PROGRAM)?, status::options, Command::Status),
        "drain" => with_output(read(&drain::PROGRAM)?, drain::options, Command::Drain),
        "explain" => with_output(read(&explain::PROGRAM)?, explain::options, Command::Explain),
        "calls" => with_output(read(&calls::PROGRAM)?, calls::options, Command::Calls),
        _ => Err(usage(&name, "is no command; see stoatctl --help")),
    }
}

fn with_output<T>(
    mut values: Values,
    options: impl FnOnce(Values) -> Result<T, EarlyExit>,
    command: impl FnOnce(T) -> Command,
) -> Result<(Command, Output), EarlyExit> {
    let output = crate::settings::output(&mut values);
    Ok((command(options(values)?), output))
}

/// For settings that are missing although nothing was found wrong; `finish`
/// has reported before whatever leads here.
fn unfinished() -> EarlyExit {
    EarlyExit::Findings(Vec::new())
}

fn usage(argument: &str, message: &str) -> EarlyExit {
    EarlyExit::Findings(vec![operands::finding(argument, message)])
}

fn with_exit_codes(stop: EarlyExit) -> EarlyExit {
    match stop {
        EarlyExit::Help(text) => EarlyExit::Help(format!("{text}\n\n{EXIT_CODES}")),
        other => other,
    }
}

fn version() -> String {
    format!("stoatctl {}", env!("CARGO_PKG_VERSION"))
}

fn overview() -> String {
    let commands = PROGRAMS.map(|program| {
        let name = program.name.trim_start_matches("stoatctl ");
        format!("  {name:10}{}", program.about)
    });
    format!(
        "Writes, reads and watches the configuration of a service mesh.\n\n\
         Usage: stoatctl COMMAND [settings] [operands]\n\n\
         Commands:\n{}\n\n\
         stoatctl COMMAND --help tells the settings of each.\n\n{EXIT_CODES}",
        commands.join("\n")
    )
}

fn execute(command: Command, mut console: Console) -> Exit {
    let system = System::new("stoatctl", DefaultRuntime);
    system.block_on(async move {
        let result = dispatch(command, &mut console).await;
        result.unwrap_or_else(|failure| {
            console.report(&failure);
            failure.exit()
        })
    })
}

async fn dispatch(command: Command, console: &mut Console) -> Result<Exit, Failure> {
    match command {
        Command::Validate(options) => validate::run(options, console).await,
        Command::Apply(options) => apply::run(options, console).await,
        Command::Get(options) => get::run(options, console).await,
        Command::Delete(options) => delete::run(options, console).await,
        Command::Watch(options) => watch::run(options, console).await,
        Command::Status(options) => status::run(options, console).await,
        Command::Drain(options) => drain::run(options, console).await,
        Command::Explain(options) => explain::run(&options, console),
        Command::Calls(options) => calls::run(&options, console),
    }
}
