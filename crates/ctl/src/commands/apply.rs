//! `stoatctl apply`: writes resources from files, all of them or none.

use stoatstep_resource::wire::{ChangeRequest, PutWire, ResourceWire};
use stoatstep_resource::{FileSet, Key, Resource};
use stoatstep_settings::{EarlyExit, Program, Values};

use super::operands;
use super::submit::{Submit, submit};
use super::validate::{check, held_state};
use crate::client::Client;
use crate::console::Console;
use crate::exit::Exit;
use crate::failure::Failure;
use crate::file_set;
use crate::settings::{
    DAEMON, EXPECT, OPERATION, OUTPUT, Remote, TIMEOUT, TOKEN, WAIT, WAIT_TIMEOUT,
};

pub(super) const PROGRAM: Program = Program {
    name: "stoatctl apply",
    about: "Writes the resources of files as one change: all of it or nothing.",
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
    operands: "FILE|FOLDER...",
};

pub(super) struct Options {
    paths: Vec<String>,
    remote: Remote,
    submit: Submit,
}

pub(super) fn options(mut values: Values) -> Result<Options, EarlyExit> {
    let remote = Remote::required(&mut values);
    let submit = Submit::from_values(&mut values);
    let paths = operands::some(&values, "a file or folder is needed");
    let paths = operands::finish(values, paths)?;
    let remote = remote.ok_or_else(super::unfinished)?;
    Ok(Options {
        paths,
        remote,
        submit,
    })
}

pub(super) async fn run(options: Options, console: &mut Console) -> Result<Exit, Failure> {
    let files = file_set::load(&options.paths)?;
    let mut client = Client::new(options.remote).await?;
    if !files.findings().is_empty() {
        return Err(all_findings(&files, &mut client).await);
    }
    let keys: Vec<Key> = files.resources().map(Resource::key).collect();
    options.submit.check_expected(&keys)?;
    let puts = files.resources().map(|resource| PutWire {
        resource: ResourceWire::from(resource),
        expected: options.submit.expected.of(&resource.key()),
    });
    let change = ChangeRequest {
        operation: options.submit.operation.clone(),
        puts: puts.collect(),
        deletes: Vec::new(),
    };
    submit(&options.submit, &mut client, &change, &files, console).await
}

/// Files that cannot be read as they stand are not sent, and the daemon would
/// find the rest only on the next try. So the rest is checked here, on top of
/// what the daemons hold where one can be reached.
async fn all_findings(files: &FileSet, client: &mut Client) -> Failure {
    let base = held_state(client).await.unwrap_or_default();
    let refused = check(files, &base).err();
    refused.unwrap_or_else(|| Failure::Refused {
        exit: Exit::Invalid,
        findings: files.findings().to_vec(),
    })
}
