//! Conversion of change requests, which collects all findings.

use stoatstep_resource::wire::{Change, ChangeRequest};

fn findings(text: &str) -> Vec<String> {
    let req: ChangeRequest = serde_json::from_str(text).expect("the request decodes");
    match Change::try_from(req) {
        Ok(_) => Vec::new(),
        Err(findings) => findings.iter().map(ToString::to_string).collect(),
    }
}

#[test]
fn good_change() {
    let text = r#"{
        "operation": "op-1",
        "puts": [{"resource": {"kind": "service", "name": "floatdesk"}, "expected": 0}],
        "deletes": [{"key": {"kind": "route", "name": "claims"}, "expected": null}]
    }"#;
    let req: ChangeRequest = serde_json::from_str(text).unwrap();
    let change = Change::try_from(req).unwrap();
    assert_eq!(change.puts[0].1, Some(0));
    assert_eq!(change.deletes[0].1, None);
}

#[test]
fn every_finding_is_reported() {
    let text = r#"{
        "operation": "op 1",
        "puts": [
            {"resource": {"kind": "policy", "name": "a", "timeout": "soon"}},
            {"resource": {"kind": "policy", "name": "b", "timeout": "99999999999999999m"}},
            {"resource": {"kind": "service", "name": "c"}}
        ],
        "deletes": [{"key": {"kind": "service", "name": "c"}}]
    }"#;
    let found = findings(text);
    assert_eq!(found.len(), 4, "{found:#?}");
    assert!(found[0].starts_with("operation: must have 1 to 64 characters"));
    assert_eq!(found[1], "service/c: stands twice in one change");
    assert!(found[2].starts_with("policy/a: timeout: \"soon\" is no duration"));
    assert!(found[3].starts_with("policy/b: timeout:"));
}

#[test]
fn empty_change_is_refused() {
    assert_eq!(
        findings(r#"{"operation": "op-1"}"#),
        ["the change is empty"]
    );
}
