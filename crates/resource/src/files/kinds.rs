//! Reads the tables of each kind of resource.

use std::collections::BTreeMap;
use std::time::Duration;

use smol_str::SmolStr;
use toml::Spanned;
use toml::de::{DeTable, DeValue};

use super::lines::{FieldLines, LineIndex};
use super::table::{ResourceContext, Source, TableReader};
use super::{FileSet, SourceFile};
use crate::finding::{Finding, Place};
use crate::key::{Key, Kind};
use crate::key_digest::KeyDigest;
use crate::types::{
    Customer, Policy, Quota, Resource, Retry, Route, Service, Share, TenantLimit, Upstream,
};
use crate::wire::{RetryWire, default_weight, parse_duration};

/// Length in bytes of the longest part of a file that a message quotes.
const MAX_QUOTED: usize = 40;

/// Adds the resources and the findings of one file to `set`.
pub(super) fn read_file(file: &SourceFile, set: &mut FileSet) {
    let index = LineIndex::new(&file.text);
    let source = Source {
        file: &file.name,
        index: &index,
    };
    let (document, errors) = DeTable::parse_recoverable(&file.text);
    for error in &errors {
        let line = error.span().map(|span| source.line(&span));
        let message = syntax_message(error, &file.text);
        set.findings.push(finding_at(&source, line, message));
    }
    for (name, value) in document.get_ref() {
        let text = name.get_ref().as_ref();
        let kind = Kind::ALL.iter().find(|kind| kind.as_str() == text);
        if let Some(kind) = kind {
            read_kind(&source, *kind, value, set);
        } else {
            let line = source.line(&name.span());
            let finding = finding_at(&source, Some(line), unknown_kind(text));
            set.findings.push(finding);
        }
    }
}

/// Returns the message of the TOML library, followed by the text that it refers to if that is
/// short.
fn syntax_message(error: &toml::de::Error, text: &str) -> String {
    let found = error.span().and_then(|span| text.get(span));
    match found {
        Some(found) if !found.is_empty() && found.len() <= MAX_QUOTED => {
            format!("{}: {found:?}", error.message())
        }
        _ => error.message().to_owned(),
    }
}

fn unknown_kind(name: &str) -> String {
    let kinds = Kind::ALL.map(|kind| format!("[[{kind}]]"));
    format!(
        "{name:?} is no kind of resource; the kinds are {}",
        kinds.join(", ")
    )
}

fn finding_at(source: &Source<'_>, line: Option<u32>, message: String) -> Finding {
    let place = Place {
        file: Some(source.file.clone()),
        line,
        ..Place::default()
    };
    Finding::new(place, message)
}

fn read_kind(source: &Source<'_>, kind: Kind, value: &Spanned<DeValue<'_>>, set: &mut FileSet) {
    let DeValue::Array(entries) = value.get_ref() else {
        set.findings.push(not_a_table(source, kind, value));
        return;
    };
    for entry in entries {
        if let DeValue::Table(table) = entry.get_ref() {
            let line = source.line(&entry.span());
            read_resource(source, kind, table, line, set);
        } else {
            set.findings.push(not_a_table(source, kind, entry));
        }
    }
}

fn not_a_table(source: &Source<'_>, kind: Kind, value: &Spanned<DeValue<'_>>) -> Finding {
    let line = source.line(&value.span());
    let message = format!("write [[{kind}]], once for each {kind}");
    finding_at(source, Some(line), message)
}

fn read_resource(
    source: &Source<'_>,
    kind: Kind,
    table: &DeTable<'_>,
    line: u32,
    set: &mut FileSet,
) {
    let key = name_of(table).map(|name| Key { kind, name });
    let mut cx = ResourceContext {
        source,
        key: key.clone(),
        lines: FieldLines {
            file: source.file.clone(),
            line,
            fields: BTreeMap::new(),
        },
        findings: Vec::new(),
    };
    let reader = TableReader::new(table, SmolStr::default(), line);
    let resource = match kind {
        Kind::Policy => Resource::Policy(read_policy(&mut cx, reader)),
        Kind::Service => Resource::Service(read_service(&mut cx, reader)),
        Kind::Upstream => Resource::Upstream(read_upstream(&mut cx, reader)),
        Kind::Route => Resource::Route(read_route(&mut cx, reader)),
        Kind::Customer => Resource::Customer(read_customer(&mut cx, reader)),
    };
    set.findings.append(&mut cx.findings);
    if key.is_some() {
        set.add(resource, cx.lines);
    }
}

fn name_of(table: &DeTable<'_>) -> Option<SmolStr> {
    match table.get("name")?.get_ref() {
        DeValue::String(name) => Some(name.as_ref().into()),
        _ => None,
    }
}

fn read_service(cx: &mut ResourceContext<'_>, mut reader: TableReader<'_>) -> Service {
    let service = Service {
        name: reader.text(cx, "name"),
        policy: reader.optional_text(cx, "policy"),
        health_path: reader.optional_text(cx, "health_path"),
    };
    reader.finish(cx);
    service
}

fn read_upstream(cx: &mut ResourceContext<'_>, mut reader: TableReader<'_>) -> Upstream {
    let upstream = Upstream {
        name: reader.text(cx, "name"),
        service: reader.text(cx, "service"),
        slots: reader.number(cx, "slots"),
        connections: reader.number(cx, "connections"),
    };
    reader.finish(cx);
    upstream
}

fn read_route(cx: &mut ResourceContext<'_>, mut reader: TableReader<'_>) -> Route {
    let route = Route {
        name: reader.text(cx, "name"),
        host: reader.optional_text(cx, "host"),
        prefix: reader.text(cx, "prefix"),
        service: reader.text(cx, "service"),
        split: read_split(cx, &mut reader),
        policy: reader.optional_text(cx, "policy"),
        idempotent: reader.flag(cx, "idempotent").unwrap_or_default(),
        public: reader.flag(cx, "public").unwrap_or_default(),
    };
    reader.finish(cx);
    route
}

fn read_customer(cx: &mut ResourceContext<'_>, mut reader: TableReader<'_>) -> Customer {
    let customer = Customer {
        name: reader.text(cx, "name"),
        keys: read_keys(cx, &mut reader),
        quota: reader
            .table(cx, "quota")
            .map(|reader| read_quota(cx, reader)),
        // Validation reports a priority that is too large, so it must not wrap to a valid one here.
        priority: reader
            .optional_number(cx, "priority")
            .map(|it| u8::try_from(it).unwrap_or(u8::MAX)),
    };
    reader.finish(cx);
    customer
}

/// Reads the valid key digests. The finding of an invalid one does not quote the text, which may be
/// a key.
fn read_keys(cx: &mut ResourceContext<'_>, reader: &mut TableReader<'_>) -> Vec<KeyDigest> {
    let mut keys = Vec::new();
    for (place, line, text) in reader.texts(cx, "keys") {
        match text.parse() {
            Ok(key) => keys.push(key),
            Err(err) => cx.report(line, &place, format!("{err}")),
        }
    }
    keys
}

fn read_quota(cx: &mut ResourceContext<'_>, mut reader: TableReader<'_>) -> Quota {
    let quota = Quota {
        per_minute: reader.number(cx, "per_minute"),
        burst: reader.number(cx, "burst"),
    };
    reader.finish(cx);
    quota
}

fn read_policy(cx: &mut ResourceContext<'_>, mut reader: TableReader<'_>) -> Policy {
    let name = reader.text(cx, "name");
    let timeout = reader.text(cx, "timeout");
    let timeout = read_duration(cx, "timeout", &timeout);
    let objective = reader.optional_text(cx, "latency_objective");
    let objective = objective.map(|text| read_duration(cx, "latency_objective", &text));
    let priority = reader.optional_number(cx, "priority");
    let retry = reader.table(cx, "retry");
    let retry = retry.map(|reader| read_retry(cx, reader));
    let limits = reader.tables(cx, "limits").into_iter();
    let limits = limits.map(|reader| read_limit(cx, reader)).collect();
    reader.finish(cx);
    Policy {
        name,
        timeout,
        latency_objective: objective,
        // Validation reports a priority that is too large, so it must not wrap to a valid one here.
        priority: priority.map(|it| u8::try_from(it).unwrap_or(u8::MAX)),
        retry: retry.unwrap_or_else(|| RetryWire::default().into()),
        limits,
    }
}

fn read_split(cx: &mut ResourceContext<'_>, reader: &mut TableReader<'_>) -> Vec<Share> {
    let shares = reader.tables(cx, "split").into_iter().flatten();
    let shares = shares.map(|mut reader| {
        let share = Share {
            service: reader.text(cx, "service"),
            weight: reader.number(cx, "weight"),
        };
        reader.finish(cx);
        share
    });
    shares.collect()
}

fn read_duration(cx: &mut ResourceContext<'_>, field: &'static str, text: &str) -> Duration {
    parse_duration(text).unwrap_or_else(|message| {
        let field = SmolStr::new_static(field);
        if !cx.has_finding(&field) {
            let line = cx.lines.line_of(Some(&field));
            cx.report(line, &field, message);
        }
        Duration::ZERO
    })
}

fn read_retry(cx: &mut ResourceContext<'_>, mut reader: TableReader<'_>) -> Retry {
    let retry = Retry {
        attempts: reader.number(cx, "attempts"),
        budget_percent: reader.number(cx, "budget_percent"),
    };
    reader.finish(cx);
    retry
}

fn read_limit(cx: &mut ResourceContext<'_>, reader: Option<TableReader<'_>>) -> TenantLimit {
    let Some(mut reader) = reader else {
        return TenantLimit {
            tenant: SmolStr::default(),
            weight: default_weight(),
            concurrency: None,
        };
    };
    let limit = TenantLimit {
        tenant: reader.text(cx, "tenant"),
        weight: reader
            .optional_number(cx, "weight")
            .unwrap_or_else(default_weight),
        concurrency: reader.optional_number(cx, "concurrency"),
    };
    reader.finish(cx);
    limit
}
