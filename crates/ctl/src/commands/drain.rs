//! `stoatctl drain`: a graceful stop of one daemon and its target.

use std::time::{Duration, Instant};

use ntex::time::{Millis, sleep};
use serde::Serialize;
use stoatstep_settings::{EarlyExit, Program, Setting, Values};

use crate::client::{Client, Request};
use crate::console::Console;
use crate::exit::Exit;
use crate::failure::Failure;
use crate::miss::Miss;
use crate::settings::{DAEMON, OUTPUT, Remote, TIMEOUT, TOKEN, WAIT_TIMEOUT, span};

const WAIT: Setting = Setting::switch("wait", "Wait until the daemon has answered all and left.");

pub(super) const PROGRAM: Program = Program {
    name: "stoatctl drain",
    about: "Stops one daemon gracefully: no new work, and no call is cut.",
    settings: &[DAEMON, TOKEN, TIMEOUT, WAIT, WAIT_TIMEOUT, OUTPUT],
    operands: "",
};

const PAUSE: Duration = Duration::from_millis(200);

pub(super) struct Options {
    remote: Remote,
    wait: Option<Duration>,
}

pub(super) fn options(mut values: Values) -> Result<Options, EarlyExit> {
    let remote = Remote::required(&mut values);
    let limit = span(&mut values, WAIT_TIMEOUT.flag);
    let wait = values.switch(WAIT.flag).then_some(limit);
    // With several daemons, whichever answered first would be stopped.
    if remote.as_ref().is_some_and(|it| it.daemons.len() != 1) {
        values.reject(DAEMON.flag, "must name the one daemon to drain");
    }
    values.finish()?;
    let remote = remote.ok_or_else(super::unfinished)?;
    Ok(Options { remote, wait })
}

#[derive(Serialize)]
struct Report {
    daemon: String,
    /// Seconds until the daemon had left; absent where not waited for.
    #[serde(skip_serializing_if = "Option::is_none")]
    left_s: Option<f64>,
}

pub(super) async fn run(options: Options, console: &mut Console) -> Result<Exit, Failure> {
    let daemon = options.remote.daemons[0].to_string();
    let mut client = Client::new(options.remote).await?;
    let reply = client.send(&Request::post("/v1/drain", &())?).await?;
    reply.check()?;
    let Some(limit) = options.wait else {
        let text = format!("{daemon} drains");
        let left_s = None;
        console.print(&text, &Report { daemon, left_s })?;
        return Ok(Exit::Success);
    };
    let Some(time) = wait_until_left(&client, limit).await else {
        let text = format!("{daemon} still answers");
        let left_s = None;
        console.print(&text, &Report { daemon, left_s })?;
        return Ok(Exit::NotInForce);
    };
    let seconds = time.as_secs_f64();
    let text = format!("{daemon} has left after {seconds:.1} s");
    let left_s = Some(seconds);
    console.print(&text, &Report { daemon, left_s })?;
    Ok(Exit::Success)
}

async fn wait_until_left(client: &Client, limit: Duration) -> Option<Duration> {
    let start = Instant::now();
    while start.elapsed() < limit {
        let alive = client.send_once(&Request::get("/healthz")).await;
        if let Err(Miss::NotConnected(_)) = alive {
            return Some(start.elapsed());
        }
        sleep(Millis::from(PAUSE)).await;
    }
    None
}
