//! Wire types preserve everything that the domain types hold.

use proptest::prelude::*;
use stoatstep_resource::wire::{
    DeltaWire, ResourceWire, SnapshotWire, duration_text, parse_duration,
};
use stoatstep_resource::{Delta, Key, KeyError, Kind, Resource, SnapshotError, State};

use crate::support::{any_resource, service, state_of, upstream};

proptest! {
    #[test]
    fn json_round_trip(resource in any_resource()) {
        let text = serde_json::to_string(&ResourceWire::from(&resource)).unwrap();
        let wire: ResourceWire = serde_json::from_str(&text).unwrap();
        prop_assert_eq!(Resource::try_from(wire), Ok(resource));
    }

    #[test]
    fn delta_round_trip(puts in proptest::collection::vec(any_resource(), 0..4)) {
        let delta = State::default().delta(puts, Vec::new());
        let bytes = rmp_serde::to_vec(&DeltaWire::from(&delta)).unwrap();
        let wire: DeltaWire = rmp_serde::from_slice(&bytes).unwrap();
        prop_assert_eq!(Delta::from(wire), delta);
    }

    #[test]
    fn durations_round_trip(nanos: u64) {
        let duration = std::time::Duration::from_nanos(nanos);
        prop_assert_eq!(parse_duration(&duration_text(duration)), Ok(duration));
    }
}

// During an upgrade, daemons of two builds run side by side, and the platform stores deltas for a
// long time. After an unnoticed change of the encoding, a daemon would refuse every version that
// the other build wrote.
#[test]
fn delta_bytes_stay_as_they_are() {
    let key = Key {
        kind: Kind::Route,
        name: "claims".into(),
    };
    let mut delta = State::default().delta(vec![upstream("f-1", "f")], vec![key]);
    delta.digest.0 = [0xee; 16];
    let bytes = rmp_serde::to_vec(&DeltaWire::from(&delta)).unwrap();
    let expected = [
        b"\x94\x01\x91\x81\xa1u\x94\xa3f-1\xa1f\x0d\x78\x91\x81\xa1r\xa6claims\xc4\x10".as_slice(),
        &[0xee; 16],
    ];
    assert_eq!(bytes, expected.concat());
}

#[test]
fn snapshot_round_trip() {
    let state = state_of(vec![
        service("floatdesk"),
        upstream("floatdesk-1", "floatdesk"),
    ]);
    let bytes = rmp_serde::to_vec(&SnapshotWire::from(&state)).unwrap();
    let wire: SnapshotWire = rmp_serde::from_slice(&bytes).unwrap();
    assert_eq!(State::try_from(wire), Ok(state));
}

// A daemon that starts without a state reads a snapshot in which a bit was flipped. It must refuse
// it, since the state is not one that an operator wrote.
#[test]
fn damaged_snapshot_is_refused() {
    let state = state_of(vec![
        service("floatdesk"),
        upstream("floatdesk-1", "floatdesk"),
    ]);
    let mut bytes = rmp_serde::to_vec(&SnapshotWire::from(&state)).unwrap();
    let slots = bytes.iter().position(|byte| *byte == 13).unwrap();
    bytes[slots] = 12;
    let wire: SnapshotWire = rmp_serde::from_slice(&bytes).unwrap();
    let refused = State::try_from(wire);
    assert!(matches!(refused, Err(SnapshotError::DigestMismatch { .. })));
}

#[test]
fn unknown_and_duplicate_fields_are_refused() {
    let refused = [
        r#"{"kind":"service","name":"a","polcy":"b"}"#,
        r#"{"kind":"service","name":"a","name":"b"}"#,
        r#"{"kind":"service","kind":"route","name":"a"}"#,
        r#"{"kind":"listener","name":"a"}"#,
        r#"{"kind":"upstream","name":"a","service":"b","slots":-1,"connections":1}"#,
    ];
    for text in refused {
        assert!(
            serde_json::from_str::<ResourceWire>(text).is_err(),
            "{text}"
        );
    }
}

#[test]
fn absent_fields_have_their_documented_defaults() {
    let text = r#"{"kind":"policy","name":"p","timeout":"2s","limits":[{"tenant":"t"}]}"#;
    let wire: ResourceWire = serde_json::from_str(text).unwrap();
    let Ok(Resource::Policy(policy)) = Resource::try_from(wire) else {
        panic!("a policy is expected");
    };
    assert_eq!(policy.retry.attempts, 2);
    assert_eq!(policy.retry.budget_percent, 20);
    assert_eq!(policy.limits[0].weight, 1);
    assert_eq!(policy.limits[0].concurrency, None);
}

#[test]
fn keys_read_what_they_write() {
    for kind in Kind::ALL {
        let key = Key {
            kind,
            name: "floatdesk-1".into(),
        };
        assert_eq!(key.to_string().parse(), Ok(key));
    }
    assert_eq!("floatdesk".parse::<Key>(), Err(KeyError::NoSlash));
    assert!(matches!(
        "listener/a".parse::<Key>(),
        Err(KeyError::Kind(_))
    ));
    assert!(matches!(
        "service/../a".parse::<Key>(),
        Err(KeyError::Name(_))
    ));
}
