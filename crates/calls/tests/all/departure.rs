use std::time::Duration;

use stoatstep_calls::Departure;

const GRACE: Duration = Duration::from_secs(6);
const MS: Duration = Duration::from_millis(1);

fn at(ms: u32) -> Duration {
    MS * ms
}

fn begun() -> Departure {
    let mut departure = Departure::new(GRACE);
    departure.begin(Duration::ZERO);
    departure
}

#[test]
fn a_serving_daemon_takes_everything_and_does_not_end() {
    let departure = Departure::new(GRACE);
    assert!(departure.takes(Duration::from_hours(1), at(0)));
    assert!(!departure.may_end(0, Duration::from_hours(1)));
}

/// Callers that keep a connection go on using it until they notice that the
/// daemon is not ready. A refusal in that time loses calls that it has time for.
#[test]
fn early_in_the_grace_calls_are_still_taken() {
    assert!(begun().takes(at(20_000), at(2_900)));
}

/// A caller sends a call 4.8 s after the word to stop. The process ends 5.4 s
/// after it, with the call at its target: the caller sees a closed connection,
/// and can't tell whether it ran. So it is refused when it comes.
#[test]
fn late_in_the_grace_no_call_is_taken_that_may_outlive_the_process() {
    let departure = begun();
    assert!(!departure.takes(at(4_800 + 1_000), at(4_800)));
    assert!(departure.takes(at(4_800 + 500), at(4_800)));
}

#[test]
fn it_ends_once_idle_and_noticed_or_at_the_end_of_the_grace() {
    let departure = begun();
    assert!(!departure.may_end(0, at(2_000)), "callers still come");
    assert!(departure.may_end(0, at(2_600)));
    assert!(!departure.may_end(1, at(2_600)));
    assert!(departure.may_end(1, at(5_400)));
}

#[test]
fn a_second_word_to_stop_does_not_prolong_the_grace() {
    let mut departure = begun();
    departure.begin(at(5_000));
    assert!(departure.may_end(1, at(5_400)));
}
