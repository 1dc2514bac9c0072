//! Encoding and validation of messages.

use stoatstep_membership::{ConfigId, Exchange, Member, Row, RowError, starting_incarnation};

use crate::fleet::{key, member};

#[test]
fn an_exchange_comes_back_as_it_was() {
    let message = Exchange {
        from: key(0, 0),
        incarnation: 1_700_000_000_000,
        mark: ConfigId {
            version: 2100,
            digest: 77,
        },
        floor: 2100,
        head_age: 1,
        table: 5,
        introduce: false,
        words: Vec::new(),
        rows: vec![Row::from(&member(0, 1, 5))],
        drained: Some("i-7".into()),
    };
    let bytes = rmp_serde::to_vec(&message).expect("encodes");
    assert_eq!(
        rmp_serde::from_slice::<Exchange>(&bytes).expect("decodes"),
        message
    );
}

#[test]
fn a_row_that_makes_no_sense_is_refused() {
    let mut row = Row::from(&member(0, 0, 5));
    row.incarnation = 4;
    assert_eq!(Member::try_from(row.clone()), Err(RowError::BeforeBirth));
    row.incarnation = 5;
    row.zone = "z".repeat(200).into();
    assert_eq!(Member::try_from(row), Err(RowError::BadLabel));
}

#[test]
fn a_clock_that_went_back_does_not_lower_the_incarnation() {
    let clock = std::time::Duration::from_millis(500);
    assert_eq!(starting_incarnation(clock, None), 500);
    assert_eq!(starting_incarnation(clock, Some(900)), 901);
}
