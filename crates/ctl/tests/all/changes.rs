//! `apply` and `delete`.

use serde_json::json;
use stoatstep_ctl::Exit;

use crate::fake::{Fake, dies_before_answering, nobody};
use crate::program::{TempFile, stoatctl_at};

const SERVICE: &str = "[[service]]\nname = \"floatdesk\"\npolicy = \"standard\"\n";

#[test]
fn apply_sends_one_change() {
    let fake = Fake::start();
    fake.answer("/v1/changes", 200, json!({"version": 7}));
    let file = TempFile::new(&format!("{SERVICE}\n[[service]]\nname = \"refundhall\"\n"));
    let args = format!(
        "apply {} --operation op-1 --expect service/floatdesk=3 --output json",
        file.path()
    );
    let done = stoatctl_at(&[fake.addr], &args);
    assert_eq!(done.exit, Exit::Success, "{}", done.err);
    assert_eq!(done.out, "{\"version\":7,\"operation\":\"op-1\"}\n");
    let seen = fake.seen();
    assert_eq!(seen.len(), 1);
    assert_eq!(
        seen[0].body,
        json!({
            "operation": "op-1",
            "puts": [
                {"resource": {"kind": "service", "name": "floatdesk", "policy": "standard"}, "expected": 3},
                {"resource": {"kind": "service", "name": "refundhall"}, "expected": null},
            ],
            "deletes": [],
        })
    );
}

#[test]
fn conflict_and_refusal_show_findings_with_file_and_line() {
    let file = TempFile::new(SERVICE);
    for (status, exit) in [(409, Exit::Conflict), (422, Exit::Invalid)] {
        let fake = Fake::start();
        let finding = |field: &str, message: &str| {
            let key = json!({"kind": "service", "name": "floatdesk"});
            json!({"place": {"resource": key, "field": field}, "message": message})
        };
        let findings = [finding("policy", "first"), finding("name", "second")];
        fake.answer("/v1/changes", status, json!({"findings": findings}));
        let done = stoatctl_at(&[fake.addr], &format!("apply {}", file.path()));
        assert_eq!(done.exit, exit);
        let first = format!("{}:3: service/floatdesk: policy: first", file.path());
        let second = format!("{}:2: service/floatdesk: name: second", file.path());
        assert!(done.err.contains(&first), "{}", done.err);
        assert!(done.err.contains(&second), "{}", done.err);
    }
}

// A file cannot be read as it stands, and another finding only shows together
// with what the daemons hold. The operator sees both at once; nothing is sent.
#[test]
fn unreadable_files_are_checked_on_top_of_the_held_state() {
    let fake = Fake::start();
    let held = json!({"revision": 1, "resource": {
        "kind": "policy", "name": "standard", "timeout": "1s",
        "retry": {"attempts": 2, "budget_percent": 20},
    }});
    fake.answer("/v1/resources", 200, json!({"version": 1, "items": [held]}));
    let upstream = "[[upstream]]\nname = \"u\"\nservice = \"nosuch\"\nslots = 1\n";
    let file = TempFile::new(&format!("{SERVICE}\n{upstream}"));
    let done = stoatctl_at(&[fake.addr], &format!("apply {}", file.path()));
    assert_eq!(done.exit, Exit::Invalid);
    assert!(done.err.contains("connections: is missing"), "{}", done.err);
    assert!(
        done.err.contains("service/nosuch does not exist"),
        "{}",
        done.err
    );
    assert!(!done.err.contains("policy/standard"), "{}", done.err);
    assert!(fake.seen().iter().all(|seen| seen.path == "/v1/resources"));
}

// The first daemon dies after it got the change and before it answered, so
// nobody knows whether the change took effect. The next daemon is sent the same
// operation id, by which the daemons settle it; the operator sees one result.
#[test]
fn lost_answer_is_settled_at_the_next_daemon_by_the_same_operation() {
    let (dead, request) = dies_before_answering();
    let fake = Fake::start();
    fake.answer("/v1/changes", 200, json!({"version": 8}));
    let file = TempFile::new(SERVICE);
    let done = stoatctl_at(&[dead, fake.addr], &format!("apply {}", file.path()));
    assert_eq!(done.exit, Exit::Success, "{}", done.err);
    let request = request.join().unwrap();
    let first = &request[request.find("\r\n\r\n").unwrap()..];
    let first: serde_json::Value = serde_json::from_str(first).unwrap();
    assert_eq!(first["operation"], fake.seen()[0].body["operation"]);
}

// The platform is out, and every daemon says so with 503. Once it is back the
// same change is accepted, within the operator's timeout.
#[test]
fn busy_daemon_is_asked_again() {
    let fake = Fake::start();
    let findings = json!({"findings": [{"message": "the platform is out"}]});
    fake.answer("/v1/changes", 503, findings.clone())
        .answer("/v1/changes", 503, findings)
        .answer("/v1/changes", 200, json!({"version": 9}));
    let file = TempFile::new(SERVICE);
    let done = stoatctl_at(&[fake.addr], &format!("apply {}", file.path()));
    assert_eq!(done.exit, Exit::Success, "{}", done.err);
    assert_eq!(done.out, "version 9 accepted\n");
    let seen = fake.seen();
    assert_eq!(seen.len(), 3);
    assert_eq!(seen[0].body, seen[2].body);
}

#[test]
fn unreachable_daemons_are_named() {
    let file = TempFile::new(SERVICE);
    let daemons = [nobody(), nobody()];
    let done = stoatctl_at(&daemons, &format!("apply {} --timeout 500ms", file.path()));
    assert_eq!(done.exit, Exit::Failure);
    for daemon in daemons {
        assert!(done.err.contains(&daemon.to_string()), "{}", done.err);
    }
    assert!(done.err.contains("refused"), "{}", done.err);
    assert!(!done.err.contains("may have taken effect"), "{}", done.err);
}

// The only daemon dies before it answered. The operator is told that the
// change may have taken effect and how to learn it without applying it twice.
#[test]
fn unsettled_change_names_its_operation() {
    let (dead, request) = dies_before_answering();
    let file = TempFile::new(SERVICE);
    let args = format!("apply {} --timeout 500ms --operation op-2", file.path());
    let done = stoatctl_at(&[dead], &args);
    assert_eq!(done.exit, Exit::Failure);
    assert!(done.err.contains("may have taken effect"), "{}", done.err);
    assert!(done.err.contains("--operation op-2"), "{}", done.err);
    request.join().unwrap();
}

#[test]
fn expectation_outside_of_the_change_is_refused() {
    let file = TempFile::new(SERVICE);
    let args = format!("apply {} --expect service/flotdesk=3", file.path());
    let done = stoatctl_at(&[nobody()], &args);
    assert_eq!(done.exit, Exit::Usage);
    assert!(done.err.contains("service/flotdesk"), "{}", done.err);
}

#[test]
fn delete_sends_keys_and_expectations() {
    let fake = Fake::start();
    fake.answer("/v1/resources/route/claims", 200, json!({}))
        .answer("/v1/changes", 200, json!({"version": 4}));
    let done = stoatctl_at(&[fake.addr], "delete route/claims --expect route/claims=2");
    assert_eq!(done.exit, Exit::Success, "{}", done.err);
    let seen = fake.seen();
    let key = json!({"kind": "route", "name": "claims"});
    assert_eq!(
        seen[1].body["deletes"],
        json!([{"key": key, "expected": 2}])
    );
}

#[test]
fn delete_of_what_is_not_there() {
    let fake = Fake::start();
    let done = stoatctl_at(&[fake.addr], "delete route/claims service/floatdesk");
    assert_eq!(done.exit, Exit::NotFound);
    assert!(
        done.err.contains("route/claims: does not exist"),
        "{}",
        done.err
    );
    assert!(
        done.err.contains("service/floatdesk: does not exist"),
        "{}",
        done.err
    );
}
