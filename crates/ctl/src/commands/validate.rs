//! `stoatctl validate`: checks files and changes nothing.

use serde::Serialize;
use stoatstep_resource::wire::ListAnswer;
use stoatstep_resource::{FileSet, Finding, State};
use stoatstep_settings::{EarlyExit, Program, Values};

use super::operands;
use crate::client::{Client, Request};
use crate::console::Console;
use crate::exit::Exit;
use crate::failure::Failure;
use crate::file_set;
use crate::settings::{DAEMON, OUTPUT, Remote, TIMEOUT, TOKEN};

pub(super) const PROGRAM: Program = Program {
    name: "stoatctl validate",
    about: "Checks resource files, together with what a daemon holds where one is given.",
    settings: &[DAEMON, TOKEN, TIMEOUT, OUTPUT],
    operands: "FILE|FOLDER...",
};

pub(super) struct Options {
    paths: Vec<String>,
    remote: Option<Remote>,
}

pub(super) fn options(mut values: Values) -> Result<Options, EarlyExit> {
    let remote = Remote::optional(&mut values);
    let paths = operands::some(&values, "a file or folder is needed");
    let paths = operands::finish(values, paths)?;
    Ok(Options { paths, remote })
}

#[derive(Serialize)]
struct Report {
    resources: usize,
    findings: Vec<Finding>,
}

pub(super) async fn run(options: Options, console: &mut Console) -> Result<Exit, Failure> {
    let files = file_set::load(&options.paths)?;
    let base = match options.remote {
        Some(remote) => held_state(&mut Client::new(remote).await?).await?,
        None => State::default(),
    };
    check(&files, &base)?;
    let resources = files.resources().count();
    let findings = Vec::new();
    let text = format!("{resources} resources, all valid");
    console.print(
        &text,
        &Report {
            resources,
            findings,
        },
    )?;
    Ok(Exit::Success)
}

/// Every finding of the files on top of `base`, as a refusal.
pub(super) fn check(files: &FileSet, base: &State) -> Result<(), Failure> {
    let findings = files.validate_over(base);
    if findings.is_empty() {
        return Ok(());
    }
    let exit = Exit::Invalid;
    Err(Failure::Refused { exit, findings })
}

/// What the daemons hold.
pub(super) async fn held_state(client: &mut Client) -> Result<State, Failure> {
    let reply = client.send(&Request::get("/v1/resources")).await?;
    let list: ListAnswer = reply.json()?;
    State::try_from(list).map_err(|findings| {
        let texts: Vec<String> = findings.iter().map(Finding::to_string).collect();
        Failure::Answer(texts.join(", "))
    })
}
