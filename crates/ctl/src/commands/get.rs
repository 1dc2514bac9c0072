//! `stoatctl get`: shows resources.

use std::fmt::Write;

use stoatstep_resource::wire::{ItemWire, ListAnswer, ResourceWire};
use stoatstep_resource::{Key, Kind};
use stoatstep_settings::{EarlyExit, Program, Values};

use super::operands::{self, Operands};
use crate::client::{Client, Request};
use crate::console::Console;
use crate::exit::Exit;
use crate::failure::Failure;
use crate::settings::{DAEMON, OUTPUT, Remote, TIMEOUT, TOKEN};
use crate::table::Table;

pub(super) const PROGRAM: Program = Program {
    name: "stoatctl get",
    about: "Shows all resources, those of one kind, or one.",
    settings: &[DAEMON, TOKEN, TIMEOUT, OUTPUT],
    operands: "[KIND | KIND/NAME]",
};

pub(super) struct Options {
    what: What,
    remote: Remote,
}

enum What {
    All,
    Kind(Kind),
    One(Key),
}

pub(super) fn options(mut values: Values) -> Result<Options, EarlyExit> {
    let remote = Remote::required(&mut values);
    let what = what(values.operands());
    let what = operands::finish(values, what)?;
    let remote = remote.ok_or_else(super::unfinished)?;
    Ok(Options { what, remote })
}

fn what(operands: &[String]) -> Operands<What> {
    match operands {
        [] => Ok(What::All),
        [text] if text.contains('/') => operands::parse(text).map(What::One),
        [kind] => operands::parse(kind).map(What::Kind),
        [kind, name] => operands::parse(&format!("{kind}/{name}")).map(What::One),
        [_, _, more, ..] => Err(vec![operands::finding(more, "is one operand too many")]),
    }
}

pub(super) async fn run(options: Options, console: &mut Console) -> Result<Exit, Failure> {
    let path = match &options.what {
        What::All => "/v1/resources".to_owned(),
        What::Kind(kind) => format!("/v1/resources/{kind}"),
        What::One(key) => format!("/v1/resources/{key}"),
    };
    let mut client = Client::new(options.remote).await?;
    let reply = client.send(&Request::get(path)).await?;
    if let What::One(_) = options.what {
        let item: ItemWire = reply.json()?;
        let text = tables(std::slice::from_ref(&item));
        console.print(&text.trim_end(), &item)?;
    } else {
        let list: ListAnswer = reply.json()?;
        let text = format!("{}version {}", tables(&list.items), list.version);
        console.print(&text, &list)?;
    }
    Ok(Exit::Success)
}

fn tables(items: &[ItemWire]) -> String {
    let mut text = String::new();
    for kind in Kind::ALL {
        let mut table = Table::new(header(kind));
        for item in items.iter().filter(|it| it.resource.key().kind == kind) {
            table.row(row(item));
        }
        if !table.is_empty() {
            // Writing into a string cannot fail.
            let _ = write!(text, "{table}\n\n");
        }
    }
    text
}

fn header(kind: Kind) -> &'static [&'static str] {
    match kind {
        Kind::Policy => &[
            "POLICY",
            "REVISION",
            "TIMEOUT",
            "ATTEMPTS",
            "BUDGET",
            "TENANT LIMITS",
        ],
        Kind::Service => &["SERVICE", "REVISION", "POLICY"],
        Kind::Upstream => &["UPSTREAM", "REVISION", "SERVICE", "SLOTS", "CONNECTIONS"],
        Kind::Route => &[
            "ROUTE",
            "REVISION",
            "PREFIX",
            "SERVICE",
            "POLICY",
            "IDEMPOTENT",
            "PUBLIC",
        ],
        Kind::Customer => &["CUSTOMER", "REVISION", "KEYS", "QUOTA", "PRIORITY"],
    }
}

fn row(item: &ItemWire) -> Vec<String> {
    let or_dash = |name: &Option<smol_str::SmolStr>| name.as_deref().unwrap_or("-").to_owned();
    let mut cells = vec![
        item.resource.key().name.to_string(),
        item.revision.to_string(),
    ];
    match &item.resource {
        ResourceWire::Policy(policy) => cells.extend([
            policy.timeout.to_string(),
            policy.retry.attempts.to_string(),
            format!("{}%", policy.retry.budget_percent),
            policy
                .limits
                .iter()
                .map(limit)
                .collect::<Vec<_>>()
                .join(" "),
        ]),
        ResourceWire::Service(service) => cells.push(or_dash(&service.policy)),
        ResourceWire::Upstream(upstream) => cells.extend([
            upstream.service.to_string(),
            upstream.slots.to_string(),
            upstream.connections.to_string(),
        ]),
        ResourceWire::Route(route) => cells.extend([
            route.prefix.to_string(),
            route.service.to_string(),
            or_dash(&route.policy),
            yes_or_no(route.idempotent),
            yes_or_no(route.public),
        ]),
        ResourceWire::Customer(customer) => cells.extend([
            customer.keys.len().to_string(),
            customer.quota.map_or_else(
                || "-".to_owned(),
                |it| format!("{}/min, burst {}", it.per_minute, it.burst),
            ),
            customer
                .priority
                .map_or_else(|| "-".to_owned(), |it| it.to_string()),
        ]),
    }
    cells
}

fn yes_or_no(is_true: bool) -> String {
    if is_true { "yes" } else { "no" }.to_owned()
}

fn limit(limit: &stoatstep_resource::wire::TenantLimitWire) -> String {
    match limit.concurrency {
        Some(most) => format!("{}:{}(max {most})", limit.tenant, limit.weight),
        None => format!("{}:{}", limit.tenant, limit.weight),
    }
}
