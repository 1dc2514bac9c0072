use std::time::Duration;

use stoatstep_calls::Shutdown;

const GRACE: Duration = Duration::from_secs(6);
const MS: Duration = Duration::from_millis(1);

fn at(ms: u32) -> Duration {
    MS * ms
}

fn begun() -> Shutdown {
    let mut shutdown = Shutdown::new(GRACE);
    shutdown.begin(Duration::ZERO);
    shutdown
}

#[test]
fn a_serving_daemon_accepts_every_call_and_does_not_exit() {
    let shutdown = Shutdown::new(GRACE);
    assert!(shutdown.accepts(Duration::from_hours(1), at(0)));
    assert!(!shutdown.may_exit(0, Duration::from_hours(1)));
}

/// Callers keep using an open connection until they notice that the daemon is not
/// ready. Refusing calls before that would lose calls that the daemon has time for.
#[test]
fn early_in_the_grace_period_calls_are_still_accepted() {
    assert!(begun().accepts(at(20_000), at(2_900)));
}

/// A call arrives 4.8 s after the shutdown began. The process exits at 5.4 s. If the
/// call were still running then, its caller would see a closed connection and could
/// not tell whether it ran. Such a call is refused when it arrives.
#[test]
fn late_in_the_grace_period_no_call_is_accepted_that_may_outlive_the_process() {
    let shutdown = begun();
    assert!(!shutdown.accepts(at(4_800 + 1_000), at(4_800)));
    assert!(shutdown.accepts(at(4_800 + 500), at(4_800)));
}

#[test]
fn it_exits_when_idle_after_the_notice_time_or_at_the_end_of_the_grace_period() {
    let shutdown = begun();
    assert!(
        !shutdown.may_exit(0, at(2_000)),
        "callers may not have noticed"
    );
    assert!(shutdown.may_exit(0, at(2_600)));
    assert!(!shutdown.may_exit(1, at(2_600)));
    assert!(shutdown.may_exit(1, at(5_400)));
}

#[test]
fn a_second_stop_request_does_not_extend_the_grace_period() {
    let mut shutdown = begun();
    shutdown.begin(at(5_000));
    assert!(shutdown.may_exit(1, at(5_400)));
}

/// Guards against calls that are passed on with a deadline later than their entry's exit.
#[test]
fn answers_are_due_before_the_exit() {
    let shutdown = begun();
    let due = shutdown.answers_due().expect("it stops");
    assert_eq!(shutdown.answer_by(at(4_000)), at(4_000));
    assert_eq!(shutdown.answer_by(at(8_000)), due);
    assert!(due < at(5_400), "they have to be written before the exit");
    assert!(!shutdown.may_exit(1, due));
    assert_eq!(Shutdown::new(GRACE).answer_by(at(8_000)), at(8_000));
}
