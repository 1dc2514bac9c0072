//! `stoatctl delete`: removes resources, all of them or none.

use ntex::http::StatusCode;
use stoatstep_resource::wire::{ChangeRequest, DeleteWire};
use stoatstep_resource::{FileSet, Finding, Key, Place};
use stoatstep_settings::{EarlyExit, Program, Values};

use super::operands;
use super::submit::{Submit, submit};
use crate::client::{Client, Request};
use crate::console::Console;
use crate::exit::Exit;
use crate::failure::Failure;
use crate::settings::{
    DAEMON, EXPECT, OPERATION, OUTPUT, Remote, TIMEOUT, TOKEN, WAIT, WAIT_TIMEOUT,
};

pub(super) const PROGRAM: Program = Program {
    name: "stoatctl delete",
    about: "Deletes resources as one change: all of it or nothing.",
    settings: &[
        DAEMON,
        TOKEN,
        TIMEOUT,
        OPERATION,
        EXPECT,
        WAIT,
        WAIT_TIMEOUT,
        OUTPUT,
    ],
    operands: "KIND/NAME...",
};

pub(super) struct Options {
    keys: Vec<Key>,
    remote: Remote,
    submit: Submit,
    /// Whether this may be the repetition of a change that took effect.
    may_repeat: bool,
}

pub(super) fn options(mut values: Values) -> Result<Options, EarlyExit> {
    let remote = Remote::required(&mut values);
    let may_repeat = values.optional::<String>(OPERATION.flag).is_some();
    let submit = Submit::from_values(&mut values);
    let keys = operands::keys(&values);
    let keys = operands::finish(values, keys)?;
    let remote = remote.ok_or_else(super::unfinished)?;
    Ok(Options {
        keys,
        remote,
        submit,
        may_repeat,
    })
}

pub(super) async fn run(options: Options, console: &mut Console) -> Result<Exit, Failure> {
    options.submit.check_expected(&options.keys)?;
    let mut client = Client::new(options.remote).await?;
    // A repetition of a delete that took effect finds the resource gone. It
    // still gets the first result, by its operation id, so it is not checked.
    if !options.may_repeat {
        check_present(&options.keys, &mut client).await?;
    }
    let deletes = options.keys.iter().map(|key| DeleteWire {
        key: key.clone(),
        expected: options.submit.expected.of(key),
    });
    let change = ChangeRequest {
        operation: options.submit.operation.clone(),
        puts: Vec::new(),
        deletes: deletes.collect(),
    };
    let no_files = FileSet::default();
    submit(&options.submit, &mut client, &change, &no_files, console).await
}

async fn check_present(keys: &[Key], client: &mut Client) -> Result<(), Failure> {
    let mut findings = Vec::new();
    for key in keys {
        let path = format!("/v1/resources/{key}");
        let reply = client.send(&Request::get(path)).await?;
        if reply.status == StatusCode::NOT_FOUND {
            findings.push(Finding::new(Place::resource(key.clone()), "does not exist"));
        }
    }
    if findings.is_empty() {
        return Ok(());
    }
    let exit = Exit::NotFound;
    Err(Failure::Refused { exit, findings })
}
