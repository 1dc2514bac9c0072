//! `get`, `status` and `drain`.

use serde_json::{Value, json};
use stoatstep_ctl::Exit;

use crate::fake::{Fake, nobody};
use crate::program::stoatctl_at;

fn route() -> Value {
    json!({"revision": 4, "resource": {
        "kind": "route", "name": "claims", "prefix": "/claims",
        "service": "floatdesk", "idempotent": false,
    }})
}

#[test]
fn get_shows_tables_and_json() {
    let fake = Fake::start();
    let upstream = json!({"revision": 2, "resource": {
        "kind": "upstream", "name": "floatdesk-1", "service": "floatdesk",
        "slots": 13, "connections": 120,
    }});
    let list = json!({"version": 5, "items": [upstream, route()]});
    fake.answer("/v1/resources", 200, list.clone());
    let done = stoatctl_at(&[fake.addr], "get");
    assert_eq!(done.exit, Exit::Success, "{}", done.err);
    let expected = "\
UPSTREAM     REVISION  SERVICE    SLOTS  CONNECTIONS
floatdesk-1  2         floatdesk  13     120

ROUTE   REVISION  PREFIX   SERVICE    POLICY  IDEMPOTENT  PUBLIC
claims  4         /claims  floatdesk  -       no          no

version 5
";
    assert_eq!(done.out, expected);
    let done = stoatctl_at(&[fake.addr], "get --output json");
    assert_eq!(serde_json::from_str::<Value>(&done.out).unwrap(), list);
}

#[test]
fn get_one() {
    let fake = Fake::start();
    fake.answer("/v1/resources/route/claims", 200, route());
    for args in ["get route/claims", "get route claims"] {
        let done = stoatctl_at(&[fake.addr], args);
        assert_eq!(done.exit, Exit::Success, "{}", done.err);
        assert!(done.out.contains("/claims"));
    }
    let done = stoatctl_at(&[fake.addr], "get route/refunds");
    assert_eq!(done.exit, Exit::NotFound);
}

#[test]
fn status_shows_where_a_version_holds_and_where_not() {
    let fake = Fake::start();
    let member = |name: &str, state: &str, version: u64| {
        json!({"instance": name, "zone": "a", "upstream": name, "incarnation": 1,
               "state": state, "version": version, "since_unix_ms": 0})
    };
    let status = json!({
        "instance": "i-1", "region": "north", "zone": "a",
        "version_held": 3, "version_in_force": 3, "digest": "00ff",
        "members": [
            member("i-1", "alive", 3), member("i-2", "alive", 2),
            member("i-3", "suspect", 2), member("i-4", "gone", 1),
        ],
        "holds": [
            {"version": 3, "instances": ["i-1"], "since_unix_ms": 0},
            {"version": 2, "instances": ["i-2", "i-3"], "since_unix_ms": 0},
        ],
        "quarantine": [{"version": 3, "reason": "digest differs", "instances": ["i-2"]}],
        "histograms": [{"tenant": "default", "class": "urgent", "stage": "queue", "count": 10,
                        "p50_us": 1, "p90_us": 2, "p99_us": 3, "max_us": 4}],
        "field_of_a_newer_daemon": true,
    });
    fake.answer("/v1/status", 200, status);
    let done = stoatctl_at(&[fake.addr], "status");
    assert_eq!(done.exit, Exit::Success, "{}", done.err);
    for part in [
        "version 3 in force, 3 held, digest 00ff",
        "i-2       2        refused version 3: digest differs",
        "i-3       2        was silent lately",
        "i-4       a     i-4       gone",
        "default  urgent  queue  10",
    ] {
        assert!(done.out.contains(part), "{part} in\n{}", done.out);
    }
}

#[test]
fn wrong_token_is_a_failure() {
    let fake = Fake::start();
    let args = "get --operator-token another-token-of-nobody";
    let done = stoatctl_at(&[fake.addr], args);
    assert_eq!(done.exit, Exit::Failure);
    assert!(done.err.contains("401"), "{}", done.err);
    assert!(!done.err.contains("another-token"), "{}", done.err);
}

#[test]
fn drain_stops_one_daemon_only() {
    let fake = Fake::start();
    fake.answer("/v1/drain", 202, Value::Null);
    let done = stoatctl_at(&[fake.addr], "drain");
    assert_eq!(done.exit, Exit::Success, "{}", done.err);
    assert_eq!(done.out, format!("{} drains\n", fake.addr));
    let done = stoatctl_at(&[fake.addr, nobody()], "drain");
    assert_eq!(done.exit, Exit::Usage);
    assert_eq!(fake.seen().len(), 1);
}
