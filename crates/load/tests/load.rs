//! The load against a target asked directly, and against a server that lies.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use ntex::rt::{DefaultRuntime, System};
use stoatstep_load::{Audit, LoadOptions, Mix, MixError, Report, fetch, run};
use stoatstep_standin_target::{Behaviour, Entry, Options, serve};

/// A loopback address that no other server of these tests uses, so that a port
/// which one gives up is not taken by the next.
fn own_address() -> Ipv4Addr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    Ipv4Addr::new(127, 0, 31, NEXT.fetch_add(1, Ordering::Relaxed))
}

fn target(behaviour: Behaviour) -> SocketAddr {
    let free = TcpListener::bind((own_address(), 0)).unwrap();
    let addr = free.local_addr().unwrap();
    drop(free);
    let options = Options {
        addr,
        name: "target-1".into(),
        behaviour,
        ledger: None,
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

fn load(options: LoadOptions) -> Report {
    System::new("load", DefaultRuntime).block_on(run(options))
}

fn ledger(addr: SocketAddr) -> Vec<Entry> {
    System::new("ledger", DefaultRuntime)
        .block_on(fetch(addr))
        .unwrap()
}

/// Answers every request with `head`, once it has come whole, and notes its
/// marker and key.
fn liar(head: &'static str) -> (SocketAddr, Arc<Mutex<Vec<Entry>>>) {
    let listener = TcpListener::bind((own_address(), 0)).unwrap();
    let addr = listener.local_addr().unwrap();
    let seen = Arc::new(Mutex::new(Vec::new()));
    let entries = seen.clone();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let entries = entries.clone();
            thread::spawn(move || lie(stream.unwrap(), head, &entries));
        }
    });
    (addr, seen)
}

fn lie(mut stream: TcpStream, head: &str, entries: &Mutex<Vec<Entry>>) {
    let mut entry = Entry {
        key: "".into(),
        attempt: "".into(),
        marker: "".into(),
        method: "".into(),
        count: 1,
        cancelled: 0,
    };
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    let mut length = 0;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).unwrap_or(0) == 0 {
            return;
        }
        match line.trim().to_lowercase().split_once(": ") {
            Some(("stoat-marker", value)) => entry.marker = value.into(),
            Some(("idempotency-key", value)) => entry.key = value.into(),
            Some(("content-length", value)) => length = value.parse().unwrap(),
            None if line.trim().is_empty() => break,
            _ => {}
        }
    }
    reader.read_exact(&mut vec![0; length]).unwrap();
    entries.lock().unwrap().push(entry);
    let rest = "connection: close\r\ncontent-length: 0\r\n\r\n";
    let _ = write!(stream, "HTTP/1.1 {head}\r\n{rest}");
}

fn mixed(addr: SocketAddr) -> LoadOptions {
    LoadOptions::new(vec![addr])
        .rate(200.0)
        .duration(Duration::from_secs(1))
        .get_paths("/floats:3,/floats/limits".parse().unwrap())
        .post_paths("/claims".parse().unwrap())
        .post_percent(30)
        .tenants("larkfield:3,st-brigids:1".parse().unwrap())
        .bytes(100)
}

#[test]
fn every_call_is_answered_and_found_in_the_ledger() {
    let addr = target(Behaviour::default());
    let report = load(mixed(addr));
    let tally = &report.total.tally;
    assert_eq!((tally.calls, tally.answered), (200, 200), "{tally:?}");
    assert_eq!(report.series.len(), 2);
    assert!(report.total.latency.percentile_ms(50.0) >= 5.0);
    let audit = Audit::new(&report, &[ledger(addr)]);
    assert!(audit.is_clean(), "{audit:?}");
    assert_eq!(audit.runs, 200);
}

#[test]
fn an_answered_call_that_no_ledger_knows_is_found() {
    let addr = target(Behaviour::default());
    let report = load(mixed(addr));
    let audit = Audit::new(&report, &[Vec::new()]);
    assert_eq!(audit.missing, 200);
}

#[test]
fn a_shed_call_is_tried_again_until_it_runs() {
    let addr = target(Behaviour {
        slots: 1,
        ..Behaviour::default()
    });
    let report = load(mixed(addr).rate(150.0).patience(Duration::from_secs(20)));
    let tally = &report.total.tally;
    assert_eq!(tally.answered, tally.calls, "{tally:?}");
    assert!(tally.attempts > tally.calls);
    let audit = Audit::new(&report, &[ledger(addr)]);
    assert!(audit.is_clean(), "{audit:?}");
}

/// The caller is told "not run", and believes it, while the call ran: whoever
/// sends it again duplicates a claim. The audit must see this, or every test
/// that relies on it is worth nothing.
#[test]
fn an_untrue_refusal_is_found() {
    let (addr, seen) = liar("503 Unavailable\r\nstoatstep-outcome: not-run");
    let report = load(mixed(addr).patience(Duration::ZERO));
    assert_eq!(report.total.tally.not_run, 200, "{:?}", report.total.tally);
    let ran = seen.lock().unwrap().clone();
    assert!(Audit::new(&report, &[Vec::new()]).is_clean());
    assert_eq!(Audit::new(&report, &[ran]).untrue_refusals, 200);
}

/// The outcome of a POST is unknown, the caller tries again under its key, and
/// the call runs each time: two claims for one intent.
#[test]
fn a_key_that_ran_twice_is_found() {
    let (addr, seen) = liar("504 Timeout\r\nstoatstep-outcome: unknown");
    let options = mixed(addr).rate(20.0).post_percent(100);
    let report = load(options.patience(Duration::from_millis(400)));
    assert_eq!(report.total.tally.unknown, 20, "{:?}", report.total.tally);
    let ran = seen.lock().unwrap().clone();
    let audit = Audit::new(&report, &[ran]);
    assert_eq!((audit.duplicates, audit.unanswered_runs), (20, 20));
}

/// Whole answers, but each one is another call's: `wrong`, never `answered`.
#[test]
fn an_answer_without_the_marker_is_wrong() {
    let (addr, _) = liar("200 OK\r\nstoatstep-outcome: answered");
    let report = load(mixed(addr));
    assert_eq!(report.total.tally.wrong, 200, "{:?}", report.total.tally);
}

#[test]
fn a_refused_connection_is_no_run() {
    let addr = SocketAddr::from(([127, 0, 0, 77], 1));
    let report = load(mixed(addr).patience(Duration::from_millis(100)));
    assert_eq!(report.total.tally.not_run, 200, "{:?}", report.total.tally);
}

#[test]
fn a_wrong_mix_is_named() {
    assert_eq!("a:1,:2".parse::<Mix>(), Err(MixError::Empty));
    assert_eq!("a:x".parse::<Mix>(), Err(MixError::Weight("x".to_owned())));
    assert!("a:0".parse::<Mix>().is_err());
}
