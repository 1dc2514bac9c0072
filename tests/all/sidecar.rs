//! `stoatstep-sidecar` as a process: settings, signals and what it says of them.

use std::io::Read;
use std::net::SocketAddr;
use std::process::Output;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use serde_json::{Value, json};

use crate::support::caller::{self, until_served};
use crate::support::process::{GATHERED, addr, ended, file, settings, start, tell};
use crate::support::serving::serve_target;
use crate::support::store::{document, serve_store};

/// Longest time that a test waits for an answer.
const BOUND: Duration = Duration::from_secs(2);

fn messages(output: &Output) -> Vec<String> {
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    let lines = text.lines().map(serde_json::from_str::<Value>);
    let lines = lines.map(|it| it.expect("JSON"));
    let own = lines.filter(|it| it["msg"] != "host lost" && it["msg"] != "member");
    own.map(|it| it["msg"].as_str().unwrap_or_default().to_owned())
        .collect()
}

/// The settings file changes twice while the process runs, the second time for the
/// worse. It says what it read each time, goes on, and ends as told.
#[test]
fn a_process_says_how_it_started_read_its_settings_and_stopped() {
    let path = file(1, &settings(1));
    let child = start(&path);
    std::thread::sleep(GATHERED);
    tell(&child, Signal::SIGHUP);
    file(1, &json!({"node": "n0"}));
    tell(&child, Signal::SIGHUP);
    tell(&child, Signal::SIGTERM);
    let output = ended(child);
    assert!(output.status.success(), "{output:?}");
    let said = messages(&output);
    let expected = [
        "started",
        "settings read again",
        "settings not understood",
        "draining",
        "drained",
        "stopped",
    ];
    let own = said.iter().filter(|it| expected.contains(&it.as_str()));
    assert_eq!(own.collect::<Vec<_>>(), expected, "{said:?}");
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(text.contains("missing field `zone`"), "{text}");
}

/// Guards against a request that states the service which had the instance's address before.
#[test]
fn the_service_of_the_instance_changes_with_the_settings() {
    let test = 4;
    serve_store(addr(test, 5), &document(&["/plain/"], 4, &json!({})));
    let stated = Arc::new(Mutex::new(String::new()));
    let last = Arc::clone(&stated);
    serve_target(addr(test, 4), move |asked, _| {
        let service = asked.header("x-caller-service").unwrap_or_default();
        service.clone_into(&mut last.lock().expect("no panic"));
        false
    });
    let child = start(&file(test, &settings(test)));
    std::thread::sleep(GATHERED);
    until_served(addr(test, 3), addr(test, 1), addr(test, 4), "/plain/1");
    assert_eq!(*stated.lock().expect("no panic"), "floatdesk");
    let mut changed = settings(test);
    changed["service"] = json!("works");
    file(test, &changed);
    tell(&child, Signal::SIGHUP);
    let answer = caller::ask(addr(test, 1), "after", "/plain/1", BOUND);
    assert_eq!(answer.status, 200);
    assert_eq!(*stated.lock().expect("no panic"), "works");
    tell(&child, Signal::SIGTERM);
    assert!(ended(child).status.success());
}

/// Requests whose clients offer another protocol, with the status that each gets.
const OFFERS: [(&str, u16); 6] = [
    (
        "GET /plain/1 HTTP/1.1\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n",
        200,
    ),
    (
        "GET /plain/1 HTTP/1.1\r\nConnection: keep-alive, Upgrade\r\nUpgrade: websocket\r\n",
        200,
    ),
    (
        "POST /plain/1 HTTP/1.1\r\nConnection: upgrade\r\nUpgrade: h2c\r\nContent-Length: 0\r\n",
        200,
    ),
    (
        "GET /plain/1 HTTP/1.1\r\nUpgrade: h2c\r\nConnection: close\r\n",
        200,
    ),
    (
        "CONNECT a.example:80 HTTP/1.1\r\nConnection: close\r\n",
        404,
    ),
    (
        "GET /plain/1 HTTP/1.1\r\nTE: trailers\r\nConnection: TE, close\r\n",
        200,
    ),
];

/// Guards against requests that get no answer since their clients offer another protocol.
#[test]
fn offers_of_another_protocol_are_ignored() {
    let test = 5;
    serve_store(addr(test, 5), &document(&["/plain/"], 4, &json!({})));
    serve_target(addr(test, 4), |_, _| false);
    let child = start(&file(test, &settings(test)));
    std::thread::sleep(GATHERED);
    until_served(addr(test, 3), addr(test, 1), addr(test, 4), "/plain/1");
    for (number, (head, status)) in OFFERS.iter().enumerate() {
        let begun = Instant::now();
        let mut stream = std::net::TcpStream::connect(addr(test, 1)).expect("it listens");
        let rest = format!("Host: a.example\r\nX-Attempt-Id: offer-{number}\r\n\r\n");
        let whole = format!("{head}{rest}");
        std::io::Write::write_all(&mut stream, whole.as_bytes()).expect("it reads");
        let answer = caller::read_answer(stream, BOUND, begun);
        assert_eq!(answer.status, *status, "{head}: {answer:?}");
    }
    tell(&child, Signal::SIGTERM);
    assert!(ended(child).status.success());
}

#[test]
fn settings_that_are_wrong_stop_the_start_with_their_place() {
    let mut wrong = settings(2);
    wrong["app_address"] = json!("nowhere");
    let output = ended(start(&file(2, &wrong)));
    assert!(!output.status.success());
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(text.contains("invalid socket address"), "{text}");
    assert!(text.contains("line 1"), "{text}");
}

/// Nobody reads what the process writes, and callers ask for paths that do not
/// exist. The pipe is full after some hundred lines; answers still come at once.
#[test]
fn a_reader_that_is_stuck_delays_no_answer() {
    let child = start(&file(3, &settings(3)));
    std::thread::sleep(GATHERED);
    let mut slowest = Duration::ZERO;
    let begun = Instant::now();
    while begun.elapsed() < Duration::from_secs(6) {
        let asked = Instant::now();
        let answer = ask(addr(3, 1));
        assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
        slowest = slowest.max(asked.elapsed());
        std::thread::sleep(Duration::from_millis(2));
    }
    assert!(slowest < Duration::from_millis(500), "{slowest:?}");
    tell(&child, Signal::SIGTERM);
    assert!(ended(child).status.success());
}

fn ask(addr: SocketAddr) -> String {
    let mut stream = std::net::TcpStream::connect(addr).expect("it listens");
    let id = "x".repeat(200);
    let text = format!(
        "GET /nowhere HTTP/1.1\r\nHost: a\r\nX-Attempt-Id: {id}\r\nX-Timeout-Ms: 500\r\n\
         Connection: close\r\n\r\n"
    );
    std::io::Write::write_all(&mut stream, text.as_bytes()).expect("it reads");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("a whole answer");
    answer
}
