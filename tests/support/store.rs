//! Stand-in of the platform's store, with rows, transactions and waits for changes.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};

use super::serving::{Asked, serve};

#[derive(Default)]
struct Tables {
    /// Value and version by table and key; a removed row has no value.
    rows: BTreeMap<(String, String), (Option<Value>, u64)>,
    version: u64,
}

impl Tables {
    fn write(&mut self, table: &str, key: &str, value: Option<Value>) {
        self.version += 1;
        let row = (value, self.version);
        self.rows.insert((table.into(), key.into()), row);
    }

    fn version_of(&self, table: &str, key: &str) -> u64 {
        let row = self.rows.get(&(table.into(), key.into()));
        row.filter(|it| it.0.is_some()).map_or(0, |it| it.1)
    }

    fn read(&self, table: &str, after: u64, with_removed: bool) -> Vec<Value> {
        let own = self.rows.iter().filter(|(key, row)| {
            key.0 == table && row.1 > after && (with_removed || row.0.is_some())
        });
        let row = |(key, row): (&(String, String), &(Option<Value>, u64))| {
            json!({"table": table, "part": "", "key": key.1, "ver": row.1,
                   "value": row.0.clone().unwrap_or_default(), "deleted": row.0.is_none()})
        };
        own.map(row).collect()
    }
}

#[derive(Default)]
struct Store {
    tables: Mutex<Tables>,
    changed: Condvar,
}

impl Store {
    fn answer(&self, asked: &Asked, out: &mut TcpStream) {
        let (path, query) = asked.path().split_once('?').unwrap_or((asked.path(), ""));
        let fields: BTreeMap<&str, &str> = query
            .split('&')
            .filter_map(|it| it.split_once('='))
            .collect();
        let number = |name: &str| fields.get(name).and_then(|it| it.parse::<u64>().ok());
        let table = fields.get("table").copied().unwrap_or_default();
        let (status, rows) = match path {
            "/v1/rows-get" => {
                let tables = self.tables.lock().expect("no test panics here");
                (200, tables.read(table, 0, false))
            }
            "/v1/rows-feed" => {
                let wait = Duration::from_millis(number("wait_ms").unwrap_or(0));
                (200, self.feed(table, number("after").unwrap_or(0), wait))
            }
            "/v1/rows-tx" => (self.transact(&asked.body), Vec::new()),
            _ => (404, Vec::new()),
        };
        let version = self.tables.lock().expect("no test panics here").version;
        let body = json!({"rows": rows, "has_more": false, "ver": version, "now_s": 1.0});
        let body = body.to_string();
        let len = body.len();
        let _ = write!(
            out,
            "HTTP/1.1 {status} OK\r\nContent-Length: {len}\r\n\r\n{body}"
        );
    }

    fn feed(&self, table: &str, after: u64, wait: Duration) -> Vec<Value> {
        let end = Instant::now() + wait;
        let mut tables = self.tables.lock().expect("no test panics here");
        loop {
            let rows = tables.read(table, after, true);
            let left = end.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                return rows;
            }
            let woken = self.changed.wait_timeout(tables, left);
            tables = woken.expect("no test panics here").0;
        }
    }

    fn transact(&self, body: &[u8]) -> u16 {
        let tx: Value = serde_json::from_slice(body).expect("daemons send JSON");
        let entries = |name: &str| tx[name].as_array().cloned().unwrap_or_default();
        let key = |entry: &Value| {
            let text = |name: &str| entry[name].as_str().unwrap_or_default().to_owned();
            (text("table"), text("key"))
        };
        let mut tables = self.tables.lock().expect("no test panics here");
        let is_as_expected = |entry: &Value| {
            let (table, key) = key(entry);
            entry["ver"].as_u64() == Some(tables.version_of(&table, &key))
        };
        if !entries("expected_rev").iter().all(is_as_expected) {
            return 412;
        }
        for entry in entries("writes") {
            let (table, key) = key(&entry);
            tables.write(&table, &key, Some(entry["value"].clone()));
        }
        for entry in entries("remove") {
            let (table, key) = key(&entry);
            tables.write(&table, &key, None);
        }
        self.changed.notify_all();
        200
    }
}

/// Serves a store that holds this configuration.
pub(crate) fn serve_store(addr: SocketAddr, document: &Value) {
    let store = Arc::new(Store::default());
    let value = STANDARD.encode(document.to_string());
    let mut tables = store.tables.lock().expect("nobody else has it");
    tables.write("op", "config", Some(value.into()));
    drop(tables);
    serve(addr, move |asked, out| store.answer(asked, out));
}

/// A configuration of one service, with a route for each of these prefixes. `limits` are those on
/// what callers may send.
pub(crate) fn document(prefixes: &[&str], timeout_s: u64, limits: &Value) -> Value {
    let route = |prefix: &str| {
        json!({"host": "a.example", "prefix": prefix, "kind": "idempotent",
               "timeout_s": timeout_s, "target_latency_s": 1, "priority": 1,
               "service": "floatdesk", "max_attempts": 1})
    };
    let routes = prefixes.iter().map(|it| (it.replace('/', ""), route(it)));
    json!({
        "version": 3,
        "routes": routes.collect::<BTreeMap<_, _>>(),
        "services": {"floatdesk": {"health_path": "/healthz"}},
        "limits": limits,
    })
}
