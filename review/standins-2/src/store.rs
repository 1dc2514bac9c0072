//! The platform's store: rows in memory, with transactions, reads and a feed of changes. Each
//! daemon reaches it at an address of its own, so that it can be cut off from the store alone.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::json::{self, Json};

/// How much later a write is done that was not answered: "1 to 6 s".
const LATE: Duration = Duration::from_secs(6);

#[derive(Clone)]
struct Row {
    value: String,
    ver: u64,
    is_deleted: bool,
}

#[derive(Default)]
struct Rows {
    ver: u64,
    rows: BTreeMap<(String, String), Row>,
    /// A table whose rows can't be read or written now.
    down: Option<String>,
    /// Until this time no request is answered, and writes are done `LATE` after they came.
    unanswered_until: Option<Instant>,
    /// Connections opened before this time deliver nothing any more, in either direction.
    silent_before: Option<Instant>,
    /// When each open wait for changes began.
    waits: BTreeMap<u64, Instant>,
    next_wait: u64,
}

pub struct Store {
    rows: Mutex<Rows>,
    changed: Condvar,
    begun: Instant,
}

impl Store {
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            rows: Mutex::default(),
            changed: Condvar::new(),
            begun: Instant::now(),
        })
    }

    pub fn listen(self: &Arc<Self>, addr: SocketAddr) {
        let listener = TcpListener::bind(addr).expect("free address");
        let store = Arc::clone(self);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&store);
                thread::spawn(move || store.serve(stream));
            }
        });
    }

    /// Makes a table unavailable, or all of them available again.
    pub fn set_down(&self, table: Option<&str>) {
        self.rows.lock().unwrap().down = table.map(str::to_owned);
    }

    /// Answers nothing for some time. Writes that come in it are done later.
    pub fn answer_nothing_for(&self, time: Duration) {
        self.rows.lock().unwrap().unanswered_until = Some(Instant::now() + time);
    }

    /// All connections that are open now go silent, without a reset. New ones work.
    pub fn silence(&self) {
        self.rows.lock().unwrap().silent_before = Some(Instant::now());
        self.changed.notify_all();
    }

    /// How long ago the waits for changes that are open now began.
    pub fn open_waits(&self) -> Vec<Duration> {
        let rows = self.rows.lock().unwrap();
        rows.waits.values().map(Instant::elapsed).collect()
    }

    /// The value of a row, in base64.
    pub fn value(&self, table: &str, key: &str) -> Option<String> {
        let rows = self.rows.lock().unwrap();
        let row = rows.rows.get(&(table.to_owned(), key.to_owned()));
        row.map(|it| it.value.clone())
    }

    pub fn keys(&self, table: &str) -> Vec<String> {
        let rows = self.rows.lock().unwrap();
        let present = rows
            .rows
            .iter()
            .filter(|((t, _), row)| t == table && !row.is_deleted);
        present.map(|((_, key), _)| key.clone()).collect()
    }

    /// Writes a row as the operator does.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let mut rows = self.rows.lock().unwrap();
        rows.ver += 1;
        let ver = rows.ver;
        let row = Row {
            value: json::base64(value.as_bytes()),
            ver,
            is_deleted: false,
        };
        rows.rows.insert((table.into(), key.into()), row);
        drop(rows);
        self.changed.notify_all();
    }

    fn serve(self: &Arc<Self>, stream: TcpStream) {
        let opened = Instant::now();
        let _ = stream.set_nodelay(true);
        let mut out = stream.try_clone().expect("stream");
        let mut reader = BufReader::new(stream);
        while let Ok(Some(req)) = http::read(&mut reader) {
            if self.is_silent(opened) {
                continue;
            }
            if self.is_unanswered() {
                self.do_late(req);
                continue;
            }
            let (status, body) = if self.is_down(&req) {
                ("503 Service Unavailable", "{}".to_owned())
            } else {
                self.answer(&req)
            };
            if self.is_silent(opened) || self.is_unanswered() {
                continue;
            }
            let headers = [("Content-Type", "application/json")];
            if http::respond(&mut out, status, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn is_silent(&self, opened: Instant) -> bool {
        self.rows
            .lock()
            .unwrap()
            .silent_before
            .is_some_and(|it| opened < it)
    }

    /// Whether the request is for the table that is unavailable.
    fn is_down(&self, req: &http::Message) -> bool {
        let down = self.rows.lock().unwrap().down.clone();
        down.is_some_and(|table| {
            let is_read = req.word(1).contains(&format!("table={table}&"));
            is_read || String::from_utf8_lossy(&req.body).contains(&format!(r#""table":"{table}""#))
        })
    }

    fn is_unanswered(&self) -> bool {
        let until = self.rows.lock().unwrap().unanswered_until;
        until.is_some_and(|it| Instant::now() < it)
    }

    fn do_late(self: &Arc<Self>, req: http::Message) {
        if req.word(1) == "/v1/rows-tx" {
            let store = Arc::clone(self);
            thread::spawn(move || {
                thread::sleep(LATE);
                store.transact(&req.body);
            });
        }
    }

    fn answer(&self, req: &http::Message) -> (&'static str, String) {
        let (path, query) = req.word(1).split_once('?').unwrap_or((req.word(1), ""));
        let param = |name: &str| {
            let mut pairs = query.split('&').filter_map(|it| it.split_once('='));
            pairs
                .find(|(it, _)| *it == name)
                .map(|(_, value)| value.to_owned())
                .unwrap_or_default()
        };
        let table = param("table");
        match path {
            "/v1/rows-get" => {
                let from = param("from").replace("%00", "\0");
                let rows = self.rows.lock().unwrap();
                let is_listed = |(t, key): &(String, String), row: &Row| {
                    *t == table && !row.is_deleted && *key >= from
                };
                let found = rows.rows.iter().filter(|(key, row)| is_listed(key, row));
                (
                    "200 OK",
                    self.listing(
                        found
                            .map(|((_, key), row)| (key.clone(), row.clone()))
                            .collect(),
                        rows.ver,
                    ),
                )
            }
            "/v1/rows-feed" => {
                let after: u64 = param("after").parse().unwrap_or(0);
                let wait = Duration::from_millis(param("wait_ms").parse().unwrap_or(0));
                let until = Instant::now() + wait;
                let mut rows = self.rows.lock().unwrap();
                rows.next_wait += 1;
                let number = rows.next_wait;
                rows.waits.insert(number, Instant::now());
                loop {
                    let found = rows
                        .rows
                        .iter()
                        .filter(|((t, _), row)| *t == table && row.ver > after);
                    let mut found: Vec<_> = found
                        .map(|((_, key), row)| (key.clone(), row.clone()))
                        .collect();
                    found.sort_by_key(|(_, row)| row.ver);
                    let left = until.saturating_duration_since(Instant::now());
                    if !found.is_empty() || left.is_zero() {
                        rows.waits.remove(&number);
                        return ("200 OK", self.listing(found, rows.ver));
                    }
                    rows = self.changed.wait_timeout(rows, left).unwrap().0;
                }
            }
            "/v1/rows-tx" => self.transact(&req.body),
            _ => ("404 Not Found", "{}".to_owned()),
        }
    }

    fn listing(&self, rows: Vec<(String, Row)>, ver: u64) -> String {
        let rows = rows.into_iter().map(|(key, row)| {
            let key = json::quote(&key);
            if row.is_deleted {
                format!(
                    r#"{{"key":{key},"part":"","ver":{},"deleted":true}}"#,
                    row.ver
                )
            } else {
                format!(
                    r#"{{"key":{key},"part":"","ver":{},"value":"{}"}}"#,
                    row.ver, row.value
                )
            }
        });
        let rows: Vec<_> = rows.collect();
        let now = self.begun.elapsed().as_secs_f64() + 1000.0;
        format!(
            r#"{{"rows":[{}],"ver":{ver},"now_s":{now:.6},"has_more":false}}"#,
            rows.join(",")
        )
    }

    fn transact(&self, body: &[u8]) -> (&'static str, String) {
        let Some(tx) = json::parse(body) else {
            return ("400 Bad Request", "{}".to_owned());
        };
        let list = |name: &str| tx.get(name).and_then(Json::as_list).unwrap_or_default();
        let key = |it: &Json| (it.text("table"), it.text("key"));
        let writes: Vec<_> = list("writes")
            .iter()
            .map(|it| (key(it), it.text("value")))
            .collect();
        let removed: Vec<_> = list("remove").iter().map(key).collect();
        let mut tables = writes
            .iter()
            .map(|(it, _)| &it.0)
            .chain(removed.iter().map(|it| &it.0));
        if tables.any(|it| it == "op" || it == "servers") {
            return ("403 Forbidden", "{}".to_owned());
        }
        let mut rows = self.rows.lock().unwrap();
        for expected in list("expected_rev") {
            let held = rows
                .rows
                .get(&key(expected))
                .filter(|it| !it.is_deleted)
                .map_or(0, |it| it.ver);
            if held != expected.number("ver") as u64 {
                return ("412 Precondition Failed", r#"{"rows":[]}"#.to_owned());
            }
        }
        rows.ver += 1;
        let ver = rows.ver;
        for (key, value) in writes {
            rows.rows.insert(
                key,
                Row {
                    value,
                    ver,
                    is_deleted: false,
                },
            );
        }
        for key in removed {
            rows.rows.insert(
                key,
                Row {
                    value: String::new(),
                    ver,
                    is_deleted: true,
                },
            );
        }
        drop(rows);
        self.changed.notify_all();
        (
            "200 OK",
            format!(
                r#"{{"ver":{ver},"now_s":{:.6}}}"#,
                self.begun.elapsed().as_secs_f64() + 1000.0
            ),
        )
    }
}
