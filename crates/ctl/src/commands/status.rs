//! `stoatctl status`: where each version is in force, where not, since when and
//! why.

use std::time::{Duration, Instant, SystemTime};

use stoatstep_resource::wire::{
    HistogramStatus, InForceStatus, MemberStatus, QuarantineStatus, StatusAnswer,
};
use stoatstep_resource::{InstanceId, Version};
use stoatstep_settings::{EarlyExit, Program, Setting, Values};

use crate::client::{Client, Request};
use crate::console::Console;
use crate::exit::Exit;
use crate::failure::Failure;
use crate::in_force::{Holdout, Waited, holdouts, wait};
use crate::settings::{DAEMON, OUTPUT, Remote, TIMEOUT, TOKEN, WAIT_TIMEOUT, span};
use crate::table::Table;

const WAIT_VERSION: Setting = Setting::new(
    "wait",
    "VERSION",
    "Wait until this version or a newer one is in force everywhere.",
);

pub(super) const PROGRAM: Program = Program {
    name: "stoatctl status",
    about: "Shows where each version is in force, where not, since when and why.",
    settings: &[DAEMON, TOKEN, TIMEOUT, WAIT_VERSION, WAIT_TIMEOUT, OUTPUT],
    operands: "",
};

/// Instances named in one row; the rest are counted.
const MAX_NAMED: usize = 5;

pub(super) struct Options {
    remote: Remote,
    wait: Option<(Version, Duration)>,
}

pub(super) fn options(mut values: Values) -> Result<Options, EarlyExit> {
    let remote = Remote::required(&mut values);
    let version = values.optional::<Version>(WAIT_VERSION.flag);
    let limit = span(&mut values, WAIT_TIMEOUT.flag);
    values.finish()?;
    let remote = remote.ok_or_else(super::unfinished)?;
    let wait = version.map(|version| (version, limit));
    Ok(Options { remote, wait })
}

pub(super) async fn run(options: Options, console: &mut Console) -> Result<Exit, Failure> {
    let mut client = Client::new(options.remote).await?;
    let mut exit = Exit::Success;
    if let Some((version, limit)) = options.wait {
        let waited = wait(&mut client, version, Instant::now(), limit).await?;
        if let Waited::NotYet(_) = waited {
            exit = Exit::NotInForce;
        }
    }
    let reply = client.send(&Request::get("/v1/status")).await?;
    let status: StatusAnswer = reply.json()?;
    console.print(&page(&status), &status)?;
    Ok(exit)
}

/// Shows people which instances are missing; programs read the exit code and
/// ask for the status.
pub(super) fn print_holdouts(holdouts: &[Holdout], console: &mut Console) -> Result<(), Failure> {
    console.note(&holdout_table(holdouts).to_string())?;
    Ok(())
}

fn page(status: &StatusAnswer) -> String {
    let mut parts = vec![summary(status)];
    let newest = newest(status);
    let sections = [
        ("in force", hold_table(&status.holds)),
        ("not in force", holdout_table(&holdouts(status, newest))),
        ("refused", quarantine_table(&status.quarantine)),
        ("instances", member_table(&status.members)),
        ("times in microseconds", histogram_table(&status.histograms)),
    ];
    for (title, table) in sections {
        if !table.is_empty() {
            parts.push(format!("{title}:\n{table}"));
        }
    }
    parts.join("\n\n")
}

/// The newest version known anywhere.
fn newest(status: &StatusAnswer) -> Version {
    let members = status.members.iter().map(|member| member.version);
    let holds = status.holds.iter().map(|hold| hold.version);
    let known = members.chain(holds).chain([status.version_held]);
    known.max().unwrap_or_default()
}

fn summary(status: &StatusAnswer) -> String {
    let draining = if status.draining { ", draining" } else { "" };
    format!(
        "daemon {} in {} {}{draining}\nversion {} in force, {} held, digest {}",
        status.instance,
        status.region,
        status.zone,
        status.version_in_force,
        status.version_held,
        status.digest,
    )
}

fn hold_table(holds: &[InForceStatus]) -> Table {
    let mut table = Table::new(&["VERSION", "INSTANCES", "SINCE", "WHERE"]);
    for hold in holds {
        table.row([
            hold.version.to_string(),
            hold.instances.len().to_string(),
            ago(hold.since_unix_ms),
            names(&hold.instances),
        ]);
    }
    table
}

fn holdout_table(holdouts: &[Holdout]) -> Table {
    let mut table = Table::new(&["INSTANCE", "VERSION", "WHY"]);
    for holdout in holdouts {
        table.row([
            holdout.instance.clone(),
            holdout.version.to_string(),
            holdout.reason.clone(),
        ]);
    }
    table
}

fn quarantine_table(quarantine: &[QuarantineStatus]) -> Table {
    let mut table = Table::new(&["VERSION", "INSTANCES", "REASON", "WHERE"]);
    for entry in quarantine {
        table.row([
            entry.version.to_string(),
            entry.instances.len().to_string(),
            entry.reason.clone(),
            names(&entry.instances),
        ]);
    }
    table
}

fn member_table(members: &[MemberStatus]) -> Table {
    let mut table = Table::new(&["INSTANCE", "ZONE", "UPSTREAM", "STATE", "SINCE", "VERSION"]);
    for member in members {
        table.row([
            member.instance.to_string(),
            member.zone.to_string(),
            member.upstream.to_string(),
            member.state.to_string(),
            ago(member.since_unix_ms),
            member.version.to_string(),
        ]);
    }
    table
}

fn histogram_table(histograms: &[HistogramStatus]) -> Table {
    let header = [
        "TENANT", "CLASS", "STAGE", "COUNT", "P50", "P90", "P99", "MAX",
    ];
    let mut table = Table::new(&header);
    for it in histograms {
        table.row([
            it.tenant.to_string(),
            it.class.to_string(),
            it.stage.to_string(),
            it.count.to_string(),
            it.p50_us.to_string(),
            it.p90_us.to_string(),
            it.p99_us.to_string(),
            it.max_us.to_string(),
        ]);
    }
    table
}

fn names(instances: &[InstanceId]) -> String {
    let named: Vec<&str> = instances
        .iter()
        .take(MAX_NAMED)
        .map(InstanceId::as_str)
        .collect();
    match instances.len().saturating_sub(MAX_NAMED) {
        0 => named.join(" "),
        more => format!("{} and {more} more", named.join(" ")),
    }
}

/// Time since an instant on the daemon's clock. Clocks differ a little, so an
/// instant in the future counts as now. Zero stands for an instant that the
/// daemon does not know.
fn ago(unix_ms: u64) -> String {
    if unix_ms == 0 {
        return "-".to_owned();
    }
    let then = SystemTime::UNIX_EPOCH + Duration::from_millis(unix_ms);
    let seconds = then.elapsed().unwrap_or_default().as_secs();
    match seconds {
        0..120 => format!("{seconds} s ago"),
        120..7_200 => format!("{} min ago", seconds / 60),
        7_200..172_800 => format!("{} h ago", seconds / 3_600),
        _ => format!("{} days ago", seconds / 86_400),
    }
}
