//! Tests of the target stand-in over sockets.

use std::io::{ErrorKind, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU8, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use ntex::rt::{DefaultRuntime, System};
use serde::de::DeserializeOwned;
use stoatstep_standin_target::{Answer, Behaviour, Counts, Entry, Options, serve};

/// Time without an answer after which a connection counts as silent, longer than a slow run takes.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(400);

/// Time within which an expected answer or state has to arrive.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Returns a loopback address that no other server of these tests uses, so that a port that one
/// releases is not taken by the next.
fn own_address() -> Ipv4Addr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    Ipv4Addr::new(127, 0, 30, NEXT.fetch_add(1, Ordering::Relaxed))
}

fn start(behaviour: Behaviour) -> SocketAddr {
    start_with(behaviour, None)
}

fn start_with(behaviour: Behaviour, ledger: Option<PathBuf>) -> SocketAddr {
    let free = TcpListener::bind((own_address(), 0)).unwrap();
    let addr = free.local_addr().unwrap();
    drop(free);
    let options = Options {
        addr,
        name: "target-1".into(),
        behaviour,
        ledger,
    };
    thread::spawn(move || {
        System::new("target", DefaultRuntime).block_on(async move { serve(options)?.await })
    });
    let begin = Instant::now();
    while TcpStream::connect(addr).is_err() {
        assert!(begin.elapsed() < Duration::from_secs(5), "no listener");
        thread::sleep(Duration::from_millis(5));
    }
    addr
}

fn slow() -> Behaviour {
    Behaviour {
        slots: 1,
        service_time: Duration::from_millis(150),
        ..Behaviour::default()
    }
}

/// Returns the behaviour of a target with one slot, whose runs don't end until they are released.
fn holding_runs() -> Behaviour {
    Behaviour {
        slots: 1,
        holds_runs: true,
        ..Behaviour::default()
    }
}

fn connect(addr: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(addr).unwrap();
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    stream
}

fn send(stream: &mut TcpStream, method: &str, path: &str, headers: &str, body: &str) {
    let length = body.len();
    let text = format!(
        "{method} {path} HTTP/1.1\r\nhost: t\r\ncontent-type: application/json\r\n\
         content-length: {length}\r\n{headers}\r\n{body}"
    );
    stream.write_all(text.as_bytes()).unwrap();
}

/// Reads the head of an answer and as much of its body as arrives. Returns both, or `None` if
/// nothing arrives within the stream's read timeout.
fn receive(stream: &mut TcpStream) -> Option<(String, Vec<u8>)> {
    let mut data = Vec::new();
    let mut buf = [0; 4096];
    loop {
        if let Some(end) = data.windows(4).position(|it| it == b"\r\n\r\n") {
            let head = String::from_utf8(data[..end].to_vec()).unwrap();
            let length = head
                .lines()
                .find_map(|line| {
                    line.to_lowercase()
                        .strip_prefix("content-length: ")?
                        .parse()
                        .ok()
                })
                .unwrap_or(0);
            if data.len() >= end + 4 + length {
                return Some((head, data.split_off(end + 4)));
            }
        }
        match stream.read(&mut buf) {
            Ok(0) if data.is_empty() => return None,
            Ok(0) => {
                let text = String::from_utf8_lossy(&data).into_owned();
                let body = text.split_once("\r\n\r\n")?.1.as_bytes().to_vec();
                return Some((text, body));
            }
            Ok(count) => data.extend_from_slice(&buf[..count]),
            Err(err) if err.kind() == ErrorKind::Interrupted => {}
            Err(_) => return None,
        }
    }
}

fn fetch<T: DeserializeOwned>(addr: SocketAddr, path: &str) -> T {
    let mut stream = connect(addr);
    send(&mut stream, "GET", path, "", "");
    serde_json::from_slice(&receive(&mut stream).unwrap().1).unwrap()
}

fn change(addr: SocketAddr, body: &str) {
    let mut stream = connect(addr);
    send(&mut stream, "POST", "/admin/behaviour", "", body);
    assert!(receive(&mut stream).unwrap().0.contains(" 204 "));
}

#[test]
fn an_answer_carries_the_marker_and_the_run_is_in_the_ledger() {
    let addr = start(Behaviour::default());
    let mut stream = connect(addr);
    let headers = "stoat-marker: m1\r\nidempotency-key: k1\r\nstoatstep-attempt: a1\r\n";
    send(&mut stream, "POST", "/float?bytes=100", headers, "x");
    let (_, body) = receive(&mut stream).unwrap();
    let answer = Answer::check(&body, "m1", 100).unwrap();
    assert_eq!(answer.target, "target-1");
    let entries: Vec<Entry> = fetch(addr, "/admin/ledger");
    assert_eq!(entries.len(), 1);
    let entry = &entries[0];
    assert_eq!(
        (&*entry.key, &*entry.attempt, &*entry.marker, &*entry.method),
        ("k1", "a1", "m1", "POST")
    );
    assert_eq!((entry.count, entry.cancelled), (1, 0));
}

#[test]
fn a_changed_answer_is_told_apart() {
    let answer = Answer::new("m".into(), "t".into(), 7, 20);
    let body = serde_json::to_vec(&answer).unwrap();
    assert!(Answer::check(&body, "m", 20).is_ok());
    assert!(Answer::check(&body, "other", 20).is_err());
    assert!(Answer::check(&body, "m", 21).is_err());
    assert!(Answer::check(&body[..body.len() - 1], "m", 20).is_err());
    let changed = String::from_utf8(body)
        .unwrap()
        .replace("\"run\":7", "\"run\":8");
    assert!(Answer::check(changed.as_bytes(), "m", 20).is_err());
}

/// Waits until the target's counts satisfy a condition.
fn until(addr: SocketAddr, condition: impl Fn(&Counts) -> bool) {
    let begin = Instant::now();
    loop {
        let counts: Counts = fetch(addr, "/admin/counts");
        if condition(&counts) {
            return;
        }
        assert!(begin.elapsed() < TIMEOUT, "{counts:?}");
        thread::sleep(Duration::from_millis(5));
    }
}

/// Sends a call on a new connection and returns once it runs.
fn running(addr: SocketAddr, method: &str, path: &str, body: &str) -> TcpStream {
    let mut stream = connect(addr);
    send(&mut stream, method, path, "", body);
    until(addr, |it| it.running == 1);
    stream
}

fn release_runs(addr: SocketAddr) {
    change(addr, r#"{"holds_runs": false}"#);
}

#[test]
fn a_call_over_the_slots_is_shed_and_did_not_run() {
    let addr = start(holding_runs());
    let mut first = running(addr, "GET", "/one", "");
    let mut second = connect(addr);
    send(&mut second, "GET", "/two", "", "");
    let (head, _) = receive(&mut second).unwrap();
    assert!(
        head.contains("503") && head.contains("stoatstep-shed: 1"),
        "{head}"
    );
    release_runs(addr);
    assert!(receive(&mut first).unwrap().0.contains("200"));
    let entries: Vec<Entry> = fetch(addr, "/admin/ledger");
    assert_eq!(entries.len(), 1);
    let counts: Counts = fetch(addr, "/admin/counts");
    assert_eq!((counts.started, counts.finished, counts.shed), (1, 1, 1));
}

/// Guards against slots occupied by calls that nobody waits for. A caller that times out closes its
/// connection while its call, which has a body, runs; the run must stop and free its slot.
#[test]
fn closing_the_connection_cancels_the_run() {
    let addr = start(holding_runs());
    drop(running(addr, "POST", "/one", "body"));
    until(addr, |it| it.running == 0);
    let counts: Counts = fetch(addr, "/admin/counts");
    assert_eq!(
        (counts.started, counts.cancelled, counts.running),
        (1, 1, 0)
    );
}

#[test]
fn a_run_ends_at_its_deadline_and_a_spent_deadline_does_not_run() {
    let addr = start(slow());
    let mut stream = connect(addr);
    send(
        &mut stream,
        "GET",
        "/one",
        "stoatstep-deadline-ms: 20\r\n",
        "",
    );
    assert!(receive(&mut stream).unwrap().0.contains("504"));
    send(
        &mut stream,
        "GET",
        "/two",
        "stoatstep-deadline-ms: 0\r\n",
        "",
    );
    assert!(receive(&mut stream).unwrap().0.contains("503"));
    let counts: Counts = fetch(addr, "/admin/counts");
    assert_eq!((counts.started, counts.cancelled, counts.shed), (1, 1, 1));
}

/// Simulates a connection that is lost by something between its ends: what is sent on it neither
/// arrives nor fails, and the answer of a running call is lost. A connection opened later works.
#[test]
fn a_silenced_connection_never_answers_while_new_ones_do() {
    let addr = start(holding_runs());
    let mut old = running(addr, "GET", "/one", "");
    change(addr, r#"{"silence_connections": true}"#);
    release_runs(addr);
    until(addr, |it| it.finished == 1);
    old.set_read_timeout(Some(SILENCE_TIMEOUT)).unwrap();
    assert!(receive(&mut old).is_none());
    send(&mut old, "GET", "/two", "", "");
    assert!(receive(&mut old).is_none());
    let mut new = connect(addr);
    send(&mut new, "GET", "/three", "", "");
    assert!(receive(&mut new).unwrap().0.contains("200"));
    let entries: Vec<Entry> = fetch(addr, "/admin/ledger");
    let markers: Vec<&str> = entries.iter().map(|entry| &*entry.marker).collect();
    assert_eq!(markers, ["/one", "/three"]);
}

#[test]
fn answers_can_be_cut_short_or_lost_after_the_run() {
    let addr = start(Behaviour::default());
    change(addr, r#"{"truncate_every": 1}"#);
    let mut stream = connect(addr);
    send(&mut stream, "GET", "/one?bytes=500", "", "");
    let (_, body) = receive(&mut stream).unwrap();
    assert!(!body.is_empty());
    assert!(Answer::check(&body, "/one", 500).is_err());
    change(addr, r#"{"truncate_every": 0, "drop_every": 1}"#);
    let mut stream = connect(addr);
    send(&mut stream, "GET", "/two", "", "");
    assert!(receive(&mut stream).is_none());
    let counts: Counts = fetch(addr, "/admin/counts");
    assert_eq!(counts.finished, 2);
}

#[test]
fn answers_can_be_repeated_late() {
    let addr = start(Behaviour::default());
    change(addr, r#"{"repeat_every": 2}"#);
    let mut stream = connect(addr);
    send(&mut stream, "GET", "/one", "stoatstep-attempt: a1\r\n", "");
    let (_, first) = receive(&mut stream).unwrap();
    send(&mut stream, "GET", "/two", "stoatstep-attempt: a2\r\n", "");
    let mut text = String::new();
    while !text.contains("stoatstep-attempt: a2") {
        let mut buf = [0; 4096];
        let count = stream.read(&mut buf).unwrap();
        assert!(count > 0, "{text}");
        text.push_str(&String::from_utf8_lossy(&buf[..count]));
    }
    let (copy, own) = text
        .split_once("HTTP/1.1 200 OK\r\n")
        .unwrap()
        .1
        .split_once("HTTP/1.1")
        .unwrap();
    assert!(copy.contains("stoatstep-attempt: a1"), "{text}");
    assert!(copy.ends_with(&*String::from_utf8_lossy(&first)), "{text}");
    assert!(own.contains("stoatstep-attempt: a2"), "{text}");
}

#[test]
fn health_can_lie() {
    let addr = start(holding_runs());
    let _busy = running(addr, "GET", "/one", "");
    let load = |addr| fetch::<serde_json::Value>(addr, "/healthz")["load"].clone();
    assert_eq!(load(addr), 1.0);
    change(addr, r#"{"health": "always_idle"}"#);
    assert_eq!(load(addr), 0.0);
    change(addr, r#"{"health": "never_ready"}"#);
    let mut stream = connect(addr);
    send(&mut stream, "GET", "/healthz", "", "");
    assert!(receive(&mut stream).unwrap().0.contains("503"));
}

#[test]
fn an_unknown_behaviour_is_refused() {
    let addr = start(Behaviour::default());
    let mut stream = connect(addr);
    send(
        &mut stream,
        "POST",
        "/admin/behaviour",
        "",
        r#"{"slotz": 1}"#,
    );
    assert!(receive(&mut stream).unwrap().0.contains("400"));
}

#[test]
fn a_cold_target_gets_faster() {
    let behaviour = Behaviour {
        cold_start: Duration::from_secs(10),
        ..Behaviour::default()
    };
    let at = |seconds| behaviour.run_time(1, Duration::from_secs(seconds));
    assert_eq!(at(0), Duration::from_millis(20));
    assert!(at(0) > at(5) && at(5) > at(10));
    assert_eq!(at(10), Duration::from_millis(5));
}

#[test]
fn a_run_takes_its_service_time() {
    let addr = start(Behaviour::default());
    let mut stream = connect(addr);
    let begin = Instant::now();
    for _ in 0..20 {
        send(&mut stream, "GET", "/one", "", "");
        assert!(receive(&mut stream).is_some());
    }
    let mean = begin.elapsed() / 20;
    assert!(mean >= Duration::from_millis(5), "{mean:?}");
    assert!(mean < Duration::from_millis(12), "{mean:?}");
}

/// Guards against duplicate runs that go undetected. After a target was killed and restarted, its
/// ledger must still have the earlier runs.
#[test]
fn a_ledger_file_outlives_the_process() {
    let path = std::env::temp_dir().join(format!("stoat-ledger-{}", std::process::id()));
    for _ in 0..2 {
        let addr = start_with(Behaviour::default(), Some(path.clone()));
        let mut stream = connect(addr);
        send(&mut stream, "POST", "/one", "idempotency-key: k1\r\n", "x");
        assert!(receive(&mut stream).is_some());
    }
    let addr = start_with(Behaviour::default(), Some(path.clone()));
    let entries: Vec<Entry> = fetch(addr, "/admin/ledger");
    std::fs::remove_file(path).unwrap();
    assert_eq!(entries.len(), 1);
    assert_eq!(entries[0].count, 2);
}
