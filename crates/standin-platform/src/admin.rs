//! Handlers of admin requests, which inject faults and inspect the state. The real platform has
//! none of them, and only tests and measurements use them.

use std::fmt::Write;
use std::time::Duration;

use ntex::web::HttpResponse;
use ntex::web::types::{Json, Query, State};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use stoatstep_platform::{Fault, FaultKind, Row, Service};

use crate::objects::Prefix;
use crate::request::bad_request;
use crate::standin::Standin;

/// Longest duration of a fault, so that a test that was aborted does not leave a faulty stand-in
/// behind.
const MAX_FAULT: Duration = Duration::from_hours(1);

/// Longest delay of a request or answer under a fault.
const MAX_DELAY: Duration = Duration::from_mins(1);

/// Value of `zone` that stands for all availability zones.
const EVERY_ZONE: &str = "*";

/// Body of `POST /admin/fault`, and an item of `GET /admin/faults`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultWire {
    /// `table`, `objects` or `all`.
    #[serde(default = "all")]
    pub service: SmolStr,
    /// Availability zone whose callers are affected, or `*` for all.
    #[serde(default = "every_zone")]
    pub zone: SmolStr,
    /// `down`, `slow`, `lose-answers` or `pause`.
    pub kind: SmolStr,
    /// Delay in milliseconds for `slow` and `lose-answers`.
    #[serde(default)]
    pub delay_ms: u64,
    /// Time until the fault ends, in milliseconds.
    pub for_ms: u64,
}

/// An item of `GET /admin/rows`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowWire {
    /// Key of the row.
    pub key: SmolStr,
    /// Revision of the commit that wrote the row.
    pub revision: u64,
    /// Value of the row in hexadecimal.
    pub value: String,
}

/// An item of `GET /admin/objects`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObjectWire {
    /// Name of the object.
    pub name: SmolStr,
    /// Size of the object in bytes.
    pub bytes: usize,
}

fn all() -> SmolStr {
    SmolStr::new_static("all")
}

fn every_zone() -> SmolStr {
    SmolStr::new_static(EVERY_ZONE)
}

impl FaultWire {
    /// Returns the fault that starts at `now`, or the list of all invalid values.
    fn fault(&self, now: Duration) -> Result<Fault, String> {
        let mut findings = Vec::new();
        let service = service(&self.service).map_err(|e| findings.push(e)).ok();
        let kind = kind(&self.kind).map_err(|e| findings.push(e)).ok();
        let delay = Duration::from_millis(self.delay_ms);
        if delay > MAX_DELAY {
            findings.push(format!("delay_ms: at most {}", MAX_DELAY.as_millis()));
        }
        let length = Duration::from_millis(self.for_ms);
        if length.is_zero() || length > MAX_FAULT {
            findings.push(format!("for_ms: 1 to {}", MAX_FAULT.as_millis()));
        }
        match (service, kind) {
            (Some(service), Some(kind)) if findings.is_empty() => Ok(Fault {
                service,
                zone: (self.zone != EVERY_ZONE).then(|| self.zone.clone()),
                kind,
                delay,
                until: now + length,
            }),
            _ => Err(findings.join("\n")),
        }
    }

    fn of(fault: &Fault, now: Duration) -> Self {
        let millis = |time: Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        let service = match fault.service {
            Service::Table => "table",
            Service::Objects => "objects",
            Service::All => "all",
        };
        let kind = match fault.kind {
            FaultKind::Down => "down",
            FaultKind::Slow => "slow",
            FaultKind::LoseAnswers => "lose-answers",
            FaultKind::Pause => "pause",
        };
        Self {
            service: service.into(),
            zone: fault.zone.clone().unwrap_or_else(every_zone),
            kind: kind.into(),
            delay_ms: millis(fault.delay),
            for_ms: millis(fault.until.saturating_sub(now)),
        }
    }
}

fn service(text: &str) -> Result<Service, String> {
    match text {
        "table" => Ok(Service::Table),
        "objects" => Ok(Service::Objects),
        "all" => Ok(Service::All),
        _ => Err("service: table, objects or all".to_owned()),
    }
}

fn kind(text: &str) -> Result<FaultKind, String> {
    match text {
        "down" => Ok(FaultKind::Down),
        "slow" => Ok(FaultKind::Slow),
        "lose-answers" => Ok(FaultKind::LoseAnswers),
        "pause" => Ok(FaultKind::Pause),
        _ => Err("kind: down, slow, lose-answers or pause".to_owned()),
    }
}

/// Handles `POST /admin/fault`.
pub(crate) async fn set_fault(wire: Json<FaultWire>, standin: State<Standin>) -> HttpResponse {
    match wire.fault(standin.now()) {
        Ok(fault) => {
            standin.add_fault(fault);
            HttpResponse::NoContent().finish()
        }
        Err(findings) => bad_request(findings),
    }
}

/// Handles `GET /admin/faults`.
pub(crate) async fn faults(standin: State<Standin>) -> HttpResponse {
    let now = standin.now();
    let wire: Vec<FaultWire> = standin
        .lock()
        .faults
        .active(now)
        .iter()
        .map(|fault| FaultWire::of(fault, now))
        .collect();
    HttpResponse::Ok().json(&wire)
}

/// Handles `DELETE /admin/faults`.
pub(crate) async fn clear_faults(standin: State<Standin>) -> HttpResponse {
    standin.lock().faults.clear();
    HttpResponse::NoContent().finish()
}

/// Handles `GET /admin/counts`.
pub(crate) async fn counts(standin: State<Standin>) -> HttpResponse {
    HttpResponse::Ok().json(&standin.counts())
}

/// Handles `GET /admin/rows?prefix=`.
pub(crate) async fn rows(query: Query<Prefix>, standin: State<Standin>) -> HttpResponse {
    let inner = standin.lock();
    let rows = inner.table.with_prefix(&query.prefix);
    let wire: Vec<RowWire> = rows.map(|row| RowWire::of(&row)).collect();
    HttpResponse::Ok().json(&wire)
}

/// Handles `GET /admin/objects?prefix=`.
pub(crate) async fn objects(query: Query<Prefix>, standin: State<Standin>) -> HttpResponse {
    let inner = standin.lock();
    let names = inner.objects.list(&query.prefix);
    let wire: Vec<ObjectWire> = names
        .into_iter()
        .map(|name| ObjectWire {
            bytes: inner.objects.get(&name).map_or(0, <[u8]>::len),
            name,
        })
        .collect();
    HttpResponse::Ok().json(&wire)
}

impl RowWire {
    fn of(row: &Row) -> Self {
        let mut value = String::with_capacity(row.value.len() * 2);
        for byte in &row.value {
            // Writing into a string can't fail.
            let _ = write!(value, "{byte:02x}");
        }
        Self {
            key: row.key.clone(),
            revision: row.revision,
            value,
        }
    }
}
