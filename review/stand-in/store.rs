//! Stand-in of the platform's store: rows, transactions and waits for changes.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Message};
use crate::json::{self, Json};

#[derive(Clone)]
struct Row {
    value: String,
    ver: u64,
    is_deleted: bool,
}

#[derive(Default)]
struct Tables {
    rows: BTreeMap<(String, String), Row>,
    ver: u64,
}

struct Shared {
    tables: Mutex<Tables>,
    changed: Condvar,
    started: Instant,
    is_down: AtomicBool,
}

#[derive(Clone)]
pub struct Store {
    pub addr: SocketAddr,
    shared: Arc<Shared>,
}

/// Time of one call, as the site files have it.
const CALL_TIME: Duration = Duration::from_millis(4);

impl Store {
    pub fn start(ip: IpAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind((ip, 0))?;
        let addr = listener.local_addr()?;
        let shared = Arc::new(Shared {
            tables: Mutex::default(),
            changed: Condvar::new(),
            started: Instant::now(),
            is_down: AtomicBool::new(false),
        });
        let store = Self { addr, shared };
        let served = store.clone();
        http::serve(listener, move |stream| served.connection(stream));
        Ok(store)
    }

    /// Writes a row as the operator does.
    pub fn write(&self, table: &str, key: &str, value: &str) {
        let mut tables = self.shared.tables.lock().unwrap();
        tables.ver += 1;
        let ver = tables.ver;
        let row = Row { value: json::base64(value.as_bytes()), ver, is_deleted: false };
        tables.rows.insert((table.to_owned(), key.to_owned()), row);
        self.shared.changed.notify_all();
    }

    /// Takes the store down, so that it answers 503 and does nothing, or up again.
    pub fn set_down(&self, is_down: bool) {
        self.shared.is_down.store(is_down, Ordering::SeqCst);
        self.shared.changed.notify_all();
    }

    fn is_down(&self) -> bool {
        self.shared.is_down.load(Ordering::SeqCst)
    }

    fn connection(&self, mut stream: TcpStream) {
        let Ok(reader) = stream.try_clone() else { return };
        let mut reader = BufReader::new(reader);
        while let Ok(Some(request)) = http::read(&mut reader) {
            std::thread::sleep(CALL_TIME);
            let (status, body) = self.answer(&request);
            let headers = [("Content-Type", "application/json")];
            if stream.write_all(&http::answer(status, &headers, body.as_bytes())).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        if self.is_down() {
            return (503, "{}".to_owned());
        }
        let (path, query) = request.path().split_once('?').unwrap_or((request.path(), ""));
        let field = |name: &str| {
            let fields = query.split('&').filter_map(|it| it.split_once('='));
            let mut named = fields.filter(|(it, _)| *it == name);
            named.next().map(|(_, value)| value.to_owned()).unwrap_or_default()
        };
        match path {
            "/v1/rows-get" => {
                let tables = self.shared.tables.lock().unwrap();
                (200, self.rows(&tables, &field("table"), |row| !row.is_deleted))
            }
            "/v1/rows-feed" => {
                let after: u64 = field("after").parse().unwrap_or(0);
                let wait = Duration::from_millis(field("wait_ms").parse().unwrap_or(0));
                match self.feed(&field("table"), after, wait) {
                    Some(rows) => (200, rows),
                    None => (503, "{}".to_owned()),
                }
            }
            "/v1/rows-tx" => self.change(&String::from_utf8_lossy(&request.body)),
            _ => (404, "{}".to_owned()),
        }
    }

    fn rows(&self, tables: &Tables, table: &str, is_wanted: impl Fn(&Row) -> bool) -> String {
        let wanted = tables.rows.iter().filter(|((of, _), row)| of == table && is_wanted(row));
        let mut wanted: Vec<_> = wanted.collect();
        wanted.sort_by_key(|(_, row)| row.ver);
        let rows = wanted.iter().map(|((_, key), row)| {
            let Row { value, ver, is_deleted } = row;
            let deleted = if *is_deleted { r#","deleted":true"# } else { "" };
            format!(r#"{{"table":"{table}","part":"","key":"{key}","value":"{value}","ver":{ver}{deleted}}}"#)
        });
        let rows = rows.collect::<Vec<_>>().join(",");
        let now = self.shared.started.elapsed().as_secs_f64();
        let ver = tables.ver;
        format!(r#"{{"rows":[{rows}],"has_more":false,"ver":{ver},"now_s":{now:.3}}}"#)
    }

    fn feed(&self, table: &str, after: u64, wait: Duration) -> Option<String> {
        let until = Instant::now() + wait;
        let mut tables = self.shared.tables.lock().unwrap();
        loop {
            if self.is_down() {
                return None;
            }
            let is_new = |row: &Row| row.ver > after;
            let any = tables.rows.iter().any(|((of, _), row)| of == table && is_new(row));
            let left = until.saturating_duration_since(Instant::now());
            if any || left.is_zero() {
                return Some(self.rows(&tables, table, is_new));
            }
            tables = self.shared.changed.wait_timeout(tables, left).unwrap().0;
        }
    }

    fn change(&self, body: &str) -> (u16, String) {
        let Some(tx) = Json::read(body) else {
            return (400, "{}".to_owned());
        };
        let place = |entry: &Json| (entry.text("table"), entry.text("key"));
        let mut tables = self.shared.tables.lock().unwrap();
        let holds = tx.list("expected_rev").iter().all(|entry| {
            let row = tables.rows.get(&place(entry)).filter(|it| !it.is_deleted);
            row.map_or(0, |it| it.ver).to_string() == entry.text("ver")
        });
        if !holds {
            return (412, r#"{"rows":[]}"#.to_owned());
        }
        tables.ver += 1;
        let ver = tables.ver;
        for entry in tx.list("writes") {
            let row = Row { value: entry.text("value"), ver, is_deleted: false };
            tables.rows.insert(place(entry), row);
        }
        for entry in tx.list("remove") {
            let row = Row { value: String::new(), ver, is_deleted: true };
            tables.rows.insert(place(entry), row);
        }
        self.shared.changed.notify_all();
        let now = self.shared.started.elapsed().as_secs_f64();
        (200, format!(r#"{{"ver":{ver},"now_s":{now:.3}}}"#))
    }
}
