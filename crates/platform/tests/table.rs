//! Tests of the decoding of table messages and of the rate limit.

use std::time::Duration;

use proptest::prelude::*;
use stoatstep_platform::{
    CommitRequest, Condition, RateLimit, Write, decode_commit, decode_commit_answer, decode_names,
    decode_read, decode_read_answer, encode_commit,
};

fn condition() -> impl Strategy<Value = Condition> {
    let key = "[a-z/]{1,20}";
    prop_oneof![
        key.prop_map(|key| Condition::Absent(key.into())),
        key.prop_map(|key| Condition::Exists(key.into())),
        (key, any::<u64>()).prop_map(|(key, revision)| Condition::AtRevision(key.into(), revision)),
    ]
}

fn write() -> impl Strategy<Value = Write> {
    let key = "[a-z/]{1,20}";
    prop_oneof![
        (key, any::<Vec<u8>>()).prop_map(|(key, value)| Write::Put {
            key: key.into(),
            value,
        }),
        key.prop_map(|key| Write::Delete { key: key.into() }),
    ]
}

proptest! {
    #[test]
    fn any_bytes_decode_or_are_refused(bytes: Vec<u8>) {
        let _ = decode_read(&bytes);
        let _ = decode_read_answer(&bytes);
        let _ = decode_commit(&bytes);
        let _ = decode_commit_answer(&bytes);
        let _ = decode_names(&bytes);
    }

    #[test]
    fn a_transaction_survives_the_wire(
        conditions in prop::collection::vec(condition(), 0..8),
        writes in prop::collection::vec(write(), 0..8),
    ) {
        let req = CommitRequest { conditions, writes };
        prop_assert_eq!(decode_commit(&encode_commit(req.clone())), Ok(req));
    }

    #[test]
    fn damaged_bytes_never_panic(
        writes in prop::collection::vec(write(), 1..8),
        position: prop::sample::Index,
        byte: u8,
    ) {
        let mut bytes = encode_commit(CommitRequest { conditions: Vec::new(), writes });
        let position = position.index(bytes.len());
        bytes[position] = byte;
        let _ = decode_commit(&bytes);
    }
}

#[test]
fn a_limit_lets_through_its_rate_and_no_more() {
    let mut limit = RateLimit::new(10);
    let mut passed = 0;
    for millis in 0..2_000 {
        if limit.take(Duration::from_millis(millis), 1).is_ok() {
            passed += 1;
        }
    }
    // The bucket starts with the tokens of one second and is refilled for two seconds.
    assert!((28..=30).contains(&passed), "{passed} passed");
}

#[test]
fn a_large_transaction_passes_and_is_paid_for() {
    let mut limit = RateLimit::new(10);
    assert_eq!(limit.take(Duration::ZERO, 30), Ok(()));
    let wait = limit.take(Duration::from_secs(1), 1).unwrap_err();
    assert_eq!(wait, Duration::from_millis(1_100));
}
