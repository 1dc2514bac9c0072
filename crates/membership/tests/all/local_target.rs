use std::time::Duration;

use stoatstep_membership::{Heard, Heartbeat, LocalTarget};

const INTERVAL: Duration = Duration::from_secs(1);

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn beat(upstream: &str, sequence: u64) -> Heartbeat {
    Heartbeat {
        upstream: upstream.into(),
        service: "floatdesk".into(),
        slots: 13,
        sequence,
        draining: false,
        cold: Duration::ZERO,
    }
}

fn draining(upstream: &str, sequence: u64) -> Heartbeat {
    Heartbeat {
        draining: true,
        ..beat(upstream, sequence)
    }
}

fn admitted(target: &LocalTarget, now: Duration) -> Option<&str> {
    target.admits(now).map(|it| it.upstream.as_str())
}

/// A daemon that has just started knows nothing of its target. The target may
/// have been told by the daemon before it that its drain is known, and a call
/// sent to it then comes too late.
#[test]
fn nothing_is_admitted_before_the_first_heartbeat() {
    let mut target = LocalTarget::new(INTERVAL);
    assert_eq!(admitted(&target, at(0)), None);
    target.hear(beat("a", 1), at(0));
    assert_eq!(admitted(&target, at(0)), Some("a"));
}

#[test]
fn a_target_that_drains_takes_no_new_calls_whatever_comes_late() {
    let mut target = LocalTarget::new(INTERVAL);
    target.hear(beat("a", 1), at(0));
    target.hear(draining("a", 3), at(100));
    assert_eq!(admitted(&target, at(100)), None);
    assert_eq!(target.hear(beat("a", 2), at(200)), Heard::Stale);
    assert_eq!(target.hear(beat("a", 4), at(300)), Heard::Taken);
    assert_eq!(admitted(&target, at(300)), None, "a drain is final");
}

#[test]
fn a_target_that_said_good_bye_takes_no_new_calls() {
    let mut target = LocalTarget::new(INTERVAL);
    target.hear(beat("a", 1), at(0));
    target.leave("a");
    assert_eq!(admitted(&target, at(0)), None);
    assert!(target.announced(at(0)).is_some_and(|it| it.draining));
    target.hear(beat("a", 2), at(100));
    assert_eq!(admitted(&target, at(100)), None);
}

/// The target crashed and started again. A heartbeat of its earlier life was
/// held up on the way and comes in last; it must not bring that life back.
#[test]
fn a_late_heartbeat_of_an_earlier_life_changes_nothing() {
    let mut target = LocalTarget::new(INTERVAL);
    target.hear(beat("a", 7), at(0));
    target.hear(beat("b", 1), at(100));
    assert_eq!(target.hear(beat("a", 8), at(200)), Heard::Stale);
    assert_eq!(admitted(&target, at(200)), Some("b"));
}

/// The same, but the daemon was restarted in between and does not know that "a"
/// is the earlier life. The target's own refusal names the life that it is.
#[test]
fn the_targets_own_answer_settles_which_life_is_the_present_one() {
    let mut target = LocalTarget::new(INTERVAL);
    target.hear(beat("b", 1), at(0));
    target.hear(beat("a", 8), at(100));
    assert_eq!(admitted(&target, at(100)), Some("a"));
    target.answered_as("b");
    assert_eq!(admitted(&target, at(100)), Some("b"));
    assert_eq!(target.hear(beat("a", 9), at(200)), Heard::Stale);
    assert_eq!(target.hear(beat("b", 2), at(300)), Heard::Taken);
}

#[test]
fn an_unknown_life_that_answers_leaves_nobody_admitted() {
    let mut target = LocalTarget::new(INTERVAL);
    target.hear(beat("a", 1), at(0));
    target.answered_as("c");
    assert_eq!(admitted(&target, at(0)), None);
    target.hear(beat("c", 1), at(100));
    assert_eq!(admitted(&target, at(100)), Some("c"));
}

#[test]
fn a_target_that_falls_silent_is_gone_until_it_is_heard_again() {
    let mut target = LocalTarget::new(INTERVAL);
    target.hear(beat("a", 1), at(0));
    assert_eq!(admitted(&target, at(3_000)), Some("a"));
    assert_eq!(admitted(&target, at(3_100)), None);
    assert_eq!(target.announced(at(3_100)), None);
    target.hear(beat("a", 2), at(3_200));
    assert_eq!(admitted(&target, at(3_200)), Some("a"));
}

/// A daemon was restarted, and the first that it hears is its target's good-bye,
/// which it acks. A heartbeat from before the good-bye was held up and comes in
/// next: it looks like one of a new target that takes calls.
#[test]
fn a_good_bye_holds_for_a_life_that_was_not_known_before() {
    let mut target = LocalTarget::new(INTERVAL);
    target.leave("a");
    assert_eq!(target.hear(beat("a", 7), at(100)), Heard::Stale);
    assert_eq!(admitted(&target, at(100)), None);
    target.hear(beat("b", 1), at(200));
    assert_eq!(admitted(&target, at(200)), Some("b"));
}
