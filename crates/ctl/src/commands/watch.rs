//! `stoatctl watch`: shows each change as it comes into force.

use std::time::{Duration, Instant};

use ntex::http::StatusCode;
use ntex::time::{Millis, sleep};
use stoatstep_resource::Version;
use stoatstep_resource::wire::{EventWire, ListAnswer, ResourceWire, WatchAnswer};
use stoatstep_settings::{EarlyExit, HumanDuration, Program, Setting, Values};

use crate::client::{Client, Request};
use crate::console::Console;
use crate::exit::Exit;
use crate::failure::Failure;
use crate::settings::{DAEMON, OUTPUT, Remote, TIMEOUT, TOKEN};
use crate::watch_cursor::WatchCursor;

const FROM: Setting = Setting::new(
    "from",
    "VERSION",
    "Show the changes after this version; from now on where absent.",
);
const UNTIL: Setting = Setting::new("until", "VERSION", "End once this version was shown.");
const FOR: Setting = Setting::new("for", "TIME", "End after this time.");

pub(super) const PROGRAM: Program = Program {
    name: "stoatctl watch",
    about: "Shows each change as it comes, never an older one after a newer.",
    settings: &[DAEMON, TOKEN, TIMEOUT, FROM, UNTIL, FOR, OUTPUT],
    operands: "",
};

/// Longest time that a daemon holds one request back.
const HOLD: Duration = Duration::from_secs(10);

/// Time between two requests that bring nothing new.
const LEAST_PAUSE: Duration = Duration::from_millis(100);

pub(super) struct Options {
    remote: Remote,
    from: Option<Version>,
    until: Option<Version>,
    length: Option<Duration>,
}

pub(super) fn options(mut values: Values) -> Result<Options, EarlyExit> {
    let remote = Remote::required(&mut values);
    let from = values.optional(FROM.flag);
    let until = values.optional(UNTIL.flag);
    let length = values
        .optional::<HumanDuration>(FOR.flag)
        .map(Duration::from);
    values.finish()?;
    let remote = remote.ok_or_else(super::unfinished)?;
    Ok(Options {
        remote,
        from,
        until,
        length,
    })
}

pub(super) async fn run(options: Options, console: &mut Console) -> Result<Exit, Failure> {
    let mut client = Client::new(options.remote).await?;
    let from = match options.from {
        Some(from) => from,
        None => current(&mut client).await?,
    };
    console.note(&format!("watching from version {from}"))?;
    let mut cursor = WatchCursor::new(from);
    let bounds = Bounds {
        until: options.until,
        end: options.length.map(|length| Instant::now() + length),
    };
    let result = follow(&mut client, &mut cursor, &bounds, console).await;
    if result.is_err() {
        console.note(&format!("shown up to version {}", cursor.version()))?;
    }
    result.map(|()| Exit::Success)
}

/// When a watch ends by itself.
struct Bounds {
    until: Option<Version>,
    end: Option<Instant>,
}

async fn follow(
    client: &mut Client,
    cursor: &mut WatchCursor,
    bounds: &Bounds,
    console: &mut Console,
) -> Result<(), Failure> {
    loop {
        let left = bounds
            .end
            .map(|end| end.saturating_duration_since(Instant::now()));
        let shown = bounds.until.is_some_and(|until| cursor.version() >= until);
        if shown || left == Some(Duration::ZERO) {
            return Ok(());
        }
        let hold = left.map_or(HOLD, |left| left.min(HOLD));
        let asked = Instant::now();
        let events = next(client, cursor, hold).await?;
        // A daemon that lags answers at once with what was shown already. Asked
        // again at once, it would spend its time on that.
        if events.is_empty() && asked.elapsed() < LEAST_PAUSE {
            sleep(Millis::from(LEAST_PAUSE)).await;
        }
        for event in events {
            console.print(&text(&event), &event)?;
        }
    }
}

async fn current(client: &mut Client) -> Result<Version, Failure> {
    let reply = client.send(&Request::get("/v1/resources/policy")).await?;
    let list: ListAnswer = reply.json()?;
    Ok(list.version)
}

async fn next(
    client: &mut Client,
    cursor: &mut WatchCursor,
    hold: Duration,
) -> Result<Vec<EventWire>, Failure> {
    let from = cursor.version();
    let path = format!("/v1/watch?from={from}&wait_ms={}", hold.as_millis());
    let reply = client.send(&Request::get(path).hold(hold)).await?;
    if reply.status == StatusCode::GONE {
        return Err(gone(from));
    }
    let answer: WatchAnswer = reply.json()?;
    let events = cursor.advance(answer);
    events.map_err(|gap| Failure::Answer(gap.to_string()))
}

fn gone(from: Version) -> Failure {
    let message = format!(
        "changes after version {from} are no longer held; start anew: \
         stoatctl get, then stoatctl watch --from the version that it shows"
    );
    let place = stoatstep_resource::Place::default();
    Failure::Refused {
        exit: Exit::NotFound,
        findings: vec![stoatstep_resource::Finding::new(place, message)],
    }
}

fn text(event: &EventWire) -> String {
    let puts = event.puts.iter().map(ResourceWire::key);
    let puts = puts.map(|key| format!("version {}  put     {key}", event.version));
    let deletes = event.deletes.iter();
    let deletes = deletes.map(|key| format!("version {}  delete  {key}", event.version));
    puts.chain(deletes).collect::<Vec<_>>().join("\n")
}
