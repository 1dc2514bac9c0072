use std::time::Duration;

use stoatstep_calls::{Drain, DrainStep};

const TIME_LIMIT: Duration = Duration::from_secs(20);

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn announced(time_limit: Duration) -> Drain {
    let mut drain = Drain::new(time_limit);
    drain.begin(Duration::ZERO);
    assert_eq!(drain.tick(1, at(0)), DrainStep::Announce);
    drain
}

/// Guards against calls whose connections close without an answer at the end of the drain's time.
#[test]
fn calls_are_ended_before_the_time_limit_and_only_then() {
    let mut drain = announced(TIME_LIMIT);
    assert_eq!(drain.tick(2, at(16_980)), DrainStep::Wait);
    assert!(!drain.ends_calls());
    assert_eq!(drain.tick(2, at(17_000)), DrainStep::EndCalls(2));
    assert!(drain.ends_calls());
    assert_eq!(drain.tick(1, at(17_020)), DrainStep::Wait);
    assert_eq!(drain.tick(0, at(17_040)), DrainStep::Leave);
    assert!(drain.ends_calls());
}

/// Guards against a drain that outlasts its time because a call can't be ended.
#[test]
fn drain_ends_at_its_time_limit() {
    let mut drain = announced(TIME_LIMIT);
    assert_eq!(drain.tick(1, at(17_000)), DrainStep::EndCalls(1));
    assert_eq!(drain.tick(1, at(19_980)), DrainStep::Wait);
    assert_eq!(drain.tick(1, at(20_000)), DrainStep::LeaveUnfinished(1));
    assert_eq!(drain.tick(1, at(20_020)), DrainStep::Wait);
}

/// Guards against entries that find a closed port because they do not know of the drain yet.
#[test]
fn drain_without_calls_waits_until_its_announcement_has_spread() {
    let mut drain = announced(TIME_LIMIT);
    assert_eq!(drain.tick(0, at(1_980)), DrainStep::Wait);
    assert!(!drain.admits());
    assert_eq!(drain.tick(0, at(2_000)), DrainStep::Leave);
}

/// Guards against a time limit that leaves no time for the announcement and the final answers.
#[test]
fn short_time_limit_still_leaves_time_for_the_final_answers() {
    let mut drain = announced(Duration::ZERO);
    assert_eq!(drain.tick(1, at(1_980)), DrainStep::Wait);
    assert_eq!(drain.tick(1, at(2_000)), DrainStep::EndCalls(1));
    assert_eq!(drain.tick(1, at(4_980)), DrainStep::Wait);
    assert_eq!(drain.tick(1, at(5_000)), DrainStep::LeaveUnfinished(1));
}
