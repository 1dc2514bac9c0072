//! Bytes that make no sense, on every port of every program: each gets an
//! error or a closed connection, and leaves the program and its state alone.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::Duration;

use proptest::collection::vec;
use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::TestRunner;
use stoatstep_resource::wire::StatusAnswer;

use crate::fleet::{Fleet, PEER_TOKEN, as_operator};
use crate::http::{Request, run};

const READY: Duration = Duration::from_secs(10);

/// Tries on each port or path.
const TRIES: usize = 40;

/// Longest random text, in bytes.
const LONGEST: usize = 400;

const PEER_PATHS: [&str; 6] = ["attempt", "revoke", "gossip", "push", "log", "collect"];

/// Random bytes, the same in every run.
fn samples() -> Vec<Vec<u8>> {
    let mut runner = TestRunner::deterministic();
    let bytes = vec(any::<u8>(), 0..LONGEST);
    let mut sample = || bytes.new_tree(&mut runner).expect("bytes").current();
    (0..TRIES).map(|_| sample()).collect()
}

/// Writes bytes on a connection of their own; gives what came back before the
/// other end closed it.
fn write_raw(addr: SocketAddr, bytes: &[u8]) -> Vec<u8> {
    let mut stream = TcpStream::connect(addr).expect("a connection");
    stream
        .set_read_timeout(Some(Duration::from_secs(10)))
        .expect("a time");
    // Both may fail where the other end has closed already, which is allowed.
    let _ = stream.write_all(bytes);
    let _ = stream.shutdown(Shutdown::Write);
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    answer
}

async fn fleet() -> (Fleet, StatusAnswer) {
    let mut fleet = Fleet::builder().instances(1).start();
    fleet.ready(READY).await;
    let version = fleet.apply(0, fleet.default_resources()).await;
    fleet.holds_everywhere(version, READY).await;
    let status = fleet.status(0).await.expect("a status");
    (fleet, status)
}

/// The daemon holds what it held, and still serves.
async fn assert_unharmed(fleet: &Fleet, before: &StatusAnswer) {
    let after = fleet.status(0).await.expect("a status");
    let state = |status: &StatusAnswer| (status.version_in_force, status.digest.clone());
    assert_eq!(state(&after), state(before));
    assert_eq!(after.members.len(), before.members.len());
    assert!(after.quarantine.is_empty(), "{:?}", after.quarantine);
    let answer = fleet
        .call(0, "/floatdesk/balance")
        .await
        .expect("an answer");
    answer.assert_answered();
}

/// A port scanner, or a client of another protocol, connects to each port. The
/// programs close such connections; a panic there would take the whole
/// instance out of service.
#[test]
fn bytes_that_are_no_http_harm_nobody() {
    run(async {
        let (mut fleet, before) = fleet().await;
        let instance = &fleet.instances[0];
        let ports = [
            instance.caller_addr,
            instance.peer_addr,
            instance.operator_addr,
            instance.target_addr,
            fleet.platform_addr,
        ];
        for addr in ports {
            for bytes in samples() {
                let answer = write_raw(addr, &bytes);
                let text = String::from_utf8_lossy(&answer);
                assert!(!text.starts_with("HTTP/1.1 2"), "{addr} took {bytes:?}");
            }
        }
        assert_unharmed(&fleet, &before).await;
        assert!(fleet.platform.exited().is_none());
        assert!(fleet.instances[0].target.exited().is_none());
    });
}

/// A header that never ends would fill the memory of a daemon without a limit,
/// and the instance's target with it.
#[test]
fn endless_header_is_cut_off() {
    run(async {
        let (fleet, before) = fleet().await;
        let instance = &fleet.instances[0];
        let mut bytes = b"GET /floatdesk HTTP/1.1\r\nhost: a\r\nx: ".to_vec();
        bytes.resize(1 << 20, b'x');
        for addr in [
            instance.caller_addr,
            instance.peer_addr,
            instance.operator_addr,
        ] {
            let answer = write_raw(addr, &bytes);
            let text = String::from_utf8_lossy(&answer);
            assert!(!text.starts_with("HTTP/1.1 2"), "{addr}: {text}");
        }
        assert_unharmed(&fleet, &before).await;
    });
}

/// A daemon of another version, or a broken one, sends messages that this one
/// can't read. Each is refused as bad input, and the tables stay as they were.
#[test]
fn peer_messages_that_cannot_be_read_are_refused() {
    run(async {
        let (fleet, before) = fleet().await;
        let addr = fleet.instances[0].peer_addr;
        for path in PEER_PATHS {
            for bytes in samples() {
                let answer = Request::post(addr, &format!("/peer/{path}"), bytes.clone())
                    .header("stoatstep-peer", PEER_TOKEN)
                    .send()
                    .await
                    .expect("an answer");
                let status = answer.status;
                assert!(
                    (400..500).contains(&status),
                    "{path}: {status} to {bytes:?}"
                );
            }
        }
        assert_unharmed(&fleet, &before).await;
    });
}

/// A caller finds the port on which daemons talk, or the operators' port, and
/// tries to run calls past the limits or to change the configuration. Without
/// the right token nothing is even read.
#[test]
fn ports_of_daemons_and_operators_need_their_token() {
    run(async {
        let (fleet, before) = fleet().await;
        let instance = &fleet.instances[0];
        for path in PEER_PATHS {
            let path = format!("/peer/{path}");
            let bare = Request::post(instance.peer_addr, &path, *b"x");
            let wrong = bare.clone().header("stoatstep-peer", "a-token-of-somebody");
            for req in [bare, wrong] {
                let answer = req.send().await.expect("an answer");
                assert_eq!(answer.status, 401, "{path}");
            }
        }
        for path in ["/v1/resources", "/v1/status", "/v1/watch"] {
            let bare = Request::get(instance.operator_addr, path);
            let wrong = bare.clone().header("authorization", "Bearer of-somebody");
            for req in [bare, wrong] {
                let answer = req.send().await.expect("an answer");
                assert_eq!(answer.status, 401, "{path}");
            }
        }
        for path in ["/v1/changes", "/v1/drain"] {
            let answer = Request::post(instance.operator_addr, path, *b"{}")
                .send()
                .await
                .expect("an answer");
            assert_eq!(answer.status, 401, "{path}");
        }
        assert_unharmed(&fleet, &before).await;
    });
}

/// An operator's own tool sends changes that are no JSON, have unknown fields,
/// or would leave a route without its service. Each is refused with a finding,
/// and the version stays.
#[test]
fn changes_that_make_no_sense_are_refused_with_findings() {
    run(async {
        let (fleet, before) = fleet().await;
        let addr = fleet.instances[0].operator_addr;
        let dangling = r#"{"operation": "o-1", "puts": [{"resource": {"kind": "route",
            "name": "r", "prefix": "/r", "service": "nowhere"}}]}"#;
        let unknown = r#"{"operation": "o-2", "puts": [], "colour": "red"}"#;
        let mut bodies = samples();
        bodies.extend([dangling.into(), unknown.into(), Vec::new()]);
        for body in bodies {
            let req = Request::post(addr, "/v1/changes", body.clone());
            let answer = as_operator(req).send().await.expect("an answer");
            let status = answer.status;
            assert!((400..500).contains(&status), "{status} to {body:?}");
            assert!(answer.text().contains("findings"), "{}", answer.text());
        }
        assert_unharmed(&fleet, &before).await;
    });
}

/// Callers send headers that are none of those in the interface. The answer is
/// a refusal that says so, and the call did not run.
#[test]
fn wrong_headers_of_callers_are_refused_as_not_run() {
    run(async {
        let (fleet, before) = fleet().await;
        let addr = fleet.instances[0].caller_addr;
        for (name, value) in [
            ("stoatstep-deadline-ms", "soon"),
            ("stoatstep-deadline-ms", "-5"),
            ("stoatstep-class", "royal"),
            ("stoatstep-depth", "deep"),
        ] {
            let req = Request::get(addr, "/floatdesk/balance").header(name, value);
            let answer = req.send().await.expect("an answer");
            assert!((400..500).contains(&answer.status), "{name}: {value}");
            assert_eq!(answer.header("stoatstep-outcome"), "not-run");
        }
        let long = "k".repeat(65);
        let req = Request::post(addr, "/floatdesk/claims", *b"1");
        let answer = req.header("idempotency-key", long).send().await;
        let answer = answer.expect("an answer");
        assert!((400..500).contains(&answer.status), "{}", answer.status);
        assert_eq!(answer.header("stoatstep-outcome"), "not-run");
        assert_unharmed(&fleet, &before).await;
    });
}

/// A caller sends a claim that is larger than a daemon keeps for a retry. It
/// must hear so, and that the claim did not run. Closing the connection under
/// the body would lose that answer.
#[test]
fn body_over_the_limit_is_refused_as_not_run() {
    run(async {
        let (fleet, before) = fleet().await;
        let addr = fleet.instances[0].caller_addr;
        for _ in 0..10 {
            let claim = Request::post(addr, "/floatdesk/claims", vec![b'1'; 1 << 20]);
            let answer = claim.send().await.expect("a whole refusal");
            assert_eq!(answer.status, 413);
            assert_eq!(answer.header("stoatstep-outcome"), "not-run");
        }
        assert_unharmed(&fleet, &before).await;
    });
}
