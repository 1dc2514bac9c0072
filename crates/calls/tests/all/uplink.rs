use std::time::Duration;

use stoatstep_calls::Uplink;

const MS: Duration = Duration::from_millis(1);

/// A link of 9 Mbit/s, of which 1,012,500 bytes a second are used.
fn thin() -> Uplink {
    Uplink::new(Some(1_125_000.0))
}

#[test]
fn pieces_follow_the_pace_of_the_link() {
    let mut link = thin();
    let piece = link.piece_bytes();
    assert!((8_000..8_200).contains(&piece), "{piece}");
    let now = MS * 1_000;
    assert_eq!(link.until_free(now), Duration::ZERO);
    link.sent(piece, now);
    let wait = link.until_free(now);
    assert!(wait > MS * 5 && wait < MS * 8, "{wait:?}");
    assert_eq!(link.until_free(now + MS * 8), Duration::ZERO);
}

/// Downloads of 90 KB come faster than the link carries them. The first ones are taken;
/// from where one would arrive after its objective, it is refused before its target works
/// for it, and told when there will be room.
#[test]
fn what_the_link_cannot_deliver_in_time_is_refused() {
    let mut link = thin();
    let (run, objective) = (MS * 100, MS * 600);
    let mut taken = 0;
    let after = loop {
        match link.takes(90_000.0, run, objective) {
            Ok(()) => link.expects(taken, 90_000.0),
            Err(after) => break after,
        }
        taken += 1;
        assert!(taken < 100, "nothing is refused");
    };
    assert_eq!(taken, 6, "six times 89 ms");
    assert!(after < MS * 89, "{after:?}");
    link.ended(0);
    assert_eq!(link.takes(90_000.0, run, objective), Ok(()));
}

#[test]
fn small_answers_are_never_refused_for_the_link() {
    let mut link = thin();
    for attempt in 0..20 {
        link.expects(attempt, 90_000.0);
    }
    assert!(link.takes(90_000.0, MS, MS * 600).is_err());
    assert_eq!(link.takes(5_000.0, MS, MS * 600), Ok(()));
}

/// An answer that takes longer than its objective even on an idle link is tried all the
/// same: late is better than never, and nobody else waits.
#[test]
fn an_idle_link_takes_one_whatever_its_size() {
    let mut link = thin();
    assert_eq!(link.takes(5_000_000.0, MS, MS * 600), Ok(()));
    link.waits(90_000);
    assert!(link.takes(5_000_000.0, MS, MS * 600).is_err());
    link.waits_no_more(90_000);
    assert_eq!(link.takes(5_000_000.0, MS, MS * 600), Ok(()));
}

#[test]
fn a_link_of_unknown_rate_holds_nothing_up() {
    let mut link = Uplink::new(None);
    link.sent(50_000_000, MS);
    assert_eq!(link.until_free(MS), Duration::ZERO);
    link.expects(1, 5e9);
    assert_eq!(link.backlog(), Duration::ZERO);
    assert_eq!(link.takes(5e9, MS, MS), Ok(()));
}
