//! Sending a change and waiting for it, as `apply` and `delete` both do.

use std::time::{Duration, Instant};

use serde::Serialize;
use stoatstep_resource::wire::{ChangeAnswer, ChangeRequest};
use stoatstep_resource::{FileSet, Key, OperationId, Version};
use stoatstep_settings::Values;

use crate::client::{Client, Request};
use crate::console::Console;
use crate::exit::Exit;
use crate::failure::Failure;
use crate::in_force::{Waited, wait};
use crate::settings::{EXPECT, Expected, WAIT, WAIT_TIMEOUT, operation, span};

/// Settings of a change.
pub(super) struct Submit {
    pub(super) operation: OperationId,
    pub(super) expected: Expected,
    /// How long to wait until it is in force everywhere; not at all if `None`.
    pub(super) wait: Option<Duration>,
}

impl Submit {
    pub(super) fn from_values(values: &mut Values) -> Self {
        let wait_timeout = span(values, WAIT_TIMEOUT.flag);
        Self {
            operation: operation(values),
            expected: values.optional(EXPECT.flag).unwrap_or_default(),
            wait: values.switch(WAIT.flag).then_some(wait_timeout),
        }
    }

    /// Refuses expectations about resources that the change does not touch.
    pub(super) fn check_expected(&self, keys: &[Key]) -> Result<(), Failure> {
        let strangers: Vec<String> = self.expected.strangers(keys).map(Key::to_string).collect();
        if strangers.is_empty() {
            return Ok(());
        }
        let strangers = strangers.join(", ");
        Err(Failure::Usage(format!(
            "--expect names what the change does not have: {strangers}"
        )))
    }
}

#[derive(Serialize)]
struct Report<'a> {
    version: Version,
    operation: &'a str,
    /// Seconds until in force everywhere; absent where that was not waited for
    /// or did not happen in time.
    #[serde(skip_serializing_if = "Option::is_none")]
    converged_s: Option<f64>,
}

/// Sends the change, prints what became of it and waits if asked to.
pub(super) async fn submit(
    submit: &Submit,
    client: &mut Client,
    change: &ChangeRequest,
    files: &FileSet,
    console: &mut Console,
) -> Result<Exit, Failure> {
    let req = Request::post("/v1/changes", change)?;
    let reply = match client.send(&req).await {
        Ok(reply) => reply,
        Err(error) => {
            if error.unsettled {
                console.note(&unsettled(&change.operation))?;
            }
            return Err(error.into());
        }
    };
    let sent = reply.sent;
    let answer: ChangeAnswer = reply.json().map_err(|failure| locate(failure, files))?;
    match submit.wait {
        None => {
            let text = format!("version {} accepted", answer.version);
            console.print(&text, &report(answer.version, &change.operation, None))?;
            Ok(Exit::Success)
        }
        Some(limit) => {
            converge(
                client,
                &change.operation,
                answer.version,
                sent,
                limit,
                console,
            )
            .await
        }
    }
}

async fn converge(
    client: &mut Client,
    operation: &str,
    version: Version,
    sent: Instant,
    limit: Duration,
    console: &mut Console,
) -> Result<Exit, Failure> {
    match wait(client, version, sent, limit).await? {
        Waited::Everywhere(time) => {
            let seconds = time.as_secs_f64();
            let text = format!("version {version} in force everywhere after {seconds:.3} s");
            console.print(&text, &report(version, operation, Some(seconds)))?;
            Ok(Exit::Success)
        }
        Waited::NotYet(holdouts) => {
            let text = format!("version {version} accepted, not yet in force everywhere");
            console.print(&text, &report(version, operation, None))?;
            super::status::print_holdouts(&holdouts, console)?;
            Ok(Exit::NotInForce)
        }
    }
}

fn report(version: Version, operation: &str, converged_s: Option<f64>) -> Report<'_> {
    Report {
        version,
        operation,
        converged_s,
    }
}

/// The daemon's findings name resources; the operator looks for files.
fn locate(failure: Failure, files: &FileSet) -> Failure {
    match failure {
        Failure::Refused { exit, findings } => Failure::Refused {
            exit,
            findings: findings.into_iter().map(|it| files.locate(it)).collect(),
        },
        other => other,
    }
}

fn unsettled(operation: &str) -> String {
    format!(
        "The change may have taken effect. Run the same command again with \
         --operation {operation} to learn that; it cannot take effect twice."
    )
}
