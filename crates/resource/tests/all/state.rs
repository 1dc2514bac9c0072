//! A state changes only by whole deltas that pass all checks.

use std::sync::Arc;

use stoatstep_resource::{
    ApplyError, Key, Kind, SnapshotError, State, VersionedResource, validate,
};

use crate::support::{service, state_of, upstream};

fn key(kind: Kind, name: &str) -> Key {
    let name = name.into();
    Key { kind, name }
}

// Two updates are reordered on the way, so that a daemon receives the older one last. Applying it
// would take the daemon back to an older version, so it must be refused.
#[test]
fn older_or_skipping_delta_is_refused() {
    let first = state_of(vec![service("a")]);
    let delta = first.delta(vec![service("b")], Vec::new());
    let second = first.apply(&delta).unwrap();
    let again = second.apply(&delta);
    assert!(matches!(
        again,
        Err(ApplyError::OutOfOrder {
            held: 2,
            offered: 2
        })
    ));
    let early = State::default().apply(&delta);
    assert!(matches!(
        early,
        Err(ApplyError::OutOfOrder {
            held: 0,
            offered: 2
        })
    ));
}

// A delta is based on a state that differs from the local one, as after a lost push that was
// mistaken for applied. The digest must reveal this before a mixture of both is used for calls.
#[test]
fn delta_on_another_base_is_refused() {
    let ours = state_of(vec![service("a")]);
    let theirs = state_of(vec![service("b")]);
    let delta = theirs.delta(vec![service("c")], Vec::new());
    let refused = ours.apply(&delta);
    assert!(matches!(refused, Err(ApplyError::DigestMismatch { .. })));
}

// A delta deletes a service to which an upstream still refers. It must be refused as a whole, since
// calls would be routed to a service that does not exist.
#[test]
fn delta_that_leaves_a_reference_dangling_is_refused() {
    let state = state_of(vec![service("a"), upstream("a-1", "a")]);
    let delta = state.delta(Vec::new(), vec![key(Kind::Service, "a")]);
    let refused = state.apply(&delta);
    assert!(matches!(refused, Err(ApplyError::DanglingReference { .. })));
}

#[test]
fn revisions_are_the_versions_of_the_last_change() {
    let first = state_of(vec![service("a"), service("b")]);
    let delta = first.delta(vec![service("b")], Vec::new());
    let second = first.apply(&delta).unwrap();
    assert_eq!(second.get(&key(Kind::Service, "a")).unwrap().revision, 1);
    assert_eq!(second.get(&key(Kind::Service, "b")).unwrap().revision, 2);
}

#[test]
fn digest_tells_versions_and_contents_apart() {
    let a = state_of(vec![service("a")]);
    let b = state_of(vec![service("b")]);
    assert_ne!(a.digest(), b.digest());
    let same_resources = a.apply(&a.delta(Vec::new(), Vec::new())).unwrap();
    assert_ne!(a.digest(), same_resources.digest());
    assert_eq!(a.digest(), state_of(vec![service("a")]).digest());
}

#[test]
fn snapshot_items_are_checked() {
    let item = |revision| VersionedResource {
        revision,
        resource: Arc::new(service("a")),
    };
    let twice = State::from_snapshot(3, [item(1), item(2)]);
    assert!(matches!(twice, Err(SnapshotError::DuplicateKey { .. })));
    let ahead = State::from_snapshot(3, [item(4)]);
    assert!(matches!(ahead, Err(SnapshotError::RevisionAhead { .. })));
}

// A decoded state has a resource under the key of another one, so that a lookup of that key would
// return the wrong resource.
#[test]
fn resource_under_another_key_is_a_finding() {
    let state = state_of(vec![service("a")]);
    let mut bytes = rmp_serde::to_vec(&state).unwrap();
    let key_name = bytes.iter().position(|byte| *byte == b'a').unwrap();
    bytes[key_name] = b'z';
    let state: State = rmp_serde::from_slice(&bytes).unwrap();
    let findings = validate(&state);
    assert_eq!(findings.len(), 1);
    assert_eq!(
        findings[0].to_string(),
        "service/z: holds service/a under another key"
    );
}
