//! Answers of targets whose status is none, at both daemons as processes.

use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use nix::sys::signal::Signal;
use serde_json::json;

use crate::fleet::Fleet;
use crate::http::run;
use crate::support::caller::{Answer, ask, until_served};
use crate::support::process::{addr, ended, file, settings, start, tell};
use crate::support::serving::{Asked, serve, serve_target, signed};
use crate::support::store::{document, serve_store};

/// Not a number, not of three digits, or outside the classes that HTTP defines.
const INVALID: [&str; 18] = [
    "000", "001", "042", "099", "0", "00", "20", "1000", "2000", "-200", "+200", "2x0", "600",
    "999", // Nobody asked for an interim answer, or for another protocol.
    "100", "101", "103", "199",
];

const VALID: [u16; 4] = [299, 404, 500, 599];

const TIMEOUT: Duration = Duration::from_secs(3);

/// Answers a request for `/status/CODE` with this status. One for `/status/CODE/second` is answered
/// after the answer to another request.
fn answer(asked: &Asked, id: &str, out: &mut TcpStream) -> bool {
    let Some(path) = asked.path().strip_prefix("/status/") else {
        return false;
    };
    let answer = |status: &str, id: &str| {
        format!(
            "HTTP/1.1 {status} Status\r\n{}Content-Length: 4\r\n\r\nbody",
            signed(id)
        )
    };
    let (status, is_second) = match path.split_once('/') {
        Some((status, _)) => (status, true),
        None => (path, false),
    };
    let first = if is_second {
        answer("200", "another")
    } else {
        String::new()
    };
    let _ = out.write_all((first + &answer(status, id)).as_bytes());
    let _ = out.shutdown(std::net::Shutdown::Both);
    true
}

fn is_sealed(answer: &Answer) -> bool {
    let head = answer.head.to_ascii_lowercase();
    head.contains("x-response-seal")
}

/// Guards against a status that is none and reaches a caller as the answer.
#[test]
fn a_status_that_is_none_is_not_passed_on_by_the_sidecar() {
    let test = 21;
    let prefixes = ["/plain/", "/status/"];
    serve_store(addr(test, 5), &document(&prefixes, 4, &json!({})));
    serve_target(addr(test, 4), |asked, out| {
        let id = asked.header("x-attempt-id").unwrap_or_default();
        answer(asked, id, out)
    });
    let child = start(&file(test, &settings(test)));
    thread::sleep(Duration::from_millis(500));
    let callers = addr(test, 1);
    until_served(addr(test, 3), callers, addr(test, 4), "/plain/1");
    let get = |path: &str| ask(callers, &path.replace('/', "-"), path, TIMEOUT);
    for status in INVALID {
        for path in [
            format!("/status/{status}"),
            format!("/status/{status}/second"),
        ] {
            let answer = get(&path);
            assert_eq!(answer.status, 502, "{path}: {answer:?}");
            assert!(!is_sealed(&answer), "{path}: {answer:?}");
        }
    }
    for status in VALID {
        let answer = get(&format!("/status/{status}"));
        assert_eq!(answer.status, status, "{answer:?}");
        assert!(is_sealed(&answer), "{answer:?}");
    }
    assert_eq!(get("/plain/1").status, 200);
    tell(&child, Signal::SIGTERM);
    assert!(ended(child).status.success());
}

/// The same at `stoatstepd`, whose target is reached with another HTTP client.
#[test]
fn a_status_that_is_none_is_not_passed_on_by_stoatstepd() {
    run(async {
        let mut fleet = Fleet::builder().instances(1).start();
        fleet.ready(Duration::from_secs(10)).await;
        let version = fleet.apply(0, fleet.default_resources()).await;
        let bound = Duration::from_secs(10);
        fleet.holds_everywhere(version, bound).await;
        let instance = &mut fleet.instances[0];
        instance.target.kill();
        serve(instance.target_addr, |asked, out| {
            let path = asked.path().trim_start_matches("/floatdesk");
            let asked = Asked {
                head: asked.head.replace(asked.path(), path),
                body: Vec::new(),
            };
            if !answer(&asked, "none", out) {
                let _ = out.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
            }
        });
        for status in INVALID {
            let answer = fleet.call(0, &format!("/floatdesk/status/{status}")).await;
            let answer = answer.map(|it| it.status);
            // Its GETs are repeated until their deadline.
            assert!(matches!(answer, Ok(502 | 504)), "{status}: {answer:?}");
        }
        for status in VALID {
            let answer = fleet.call(0, &format!("/floatdesk/status/{status}")).await;
            assert_eq!(answer.map(|it| it.status), Ok(status));
        }
    });
}
