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

/// A target of which each life given was heard and confirmed, in this order.
fn after(lives: &[&str]) -> LocalTarget {
    let mut target = LocalTarget::new(INTERVAL);
    for life in lives {
        target.hear(beat(life, 1), at(0));
        target.confirm(life);
    }
    target
}

/// A daemon that has just started knows nothing of its target. The target may
/// have been told by the daemon before it that its drain is known, and a call
/// sent to it then comes too late.
#[test]
fn nothing_is_admitted_before_the_first_heartbeat() {
    let mut target = LocalTarget::new(INTERVAL);
    assert_eq!(admitted(&target, at(0)), None);
    target.confirm("a");
    assert_eq!(admitted(&target, at(0)), None);
    target.hear(beat("a", 1), at(0));
    target.confirm("a");
    assert_eq!(admitted(&target, at(0)), Some("a"));
}

/// A daemon acked its target's good-bye and was restarted. A heartbeat from before
/// the good-bye arrives late, and no peer has answered yet. It is no reason to
/// send calls: only the target's own word is.
#[test]
fn a_heartbeat_alone_admits_nothing() {
    let mut target = LocalTarget::new(INTERVAL);
    assert_eq!(target.hear(beat("a", 7), at(0)), Heard::Taken);
    assert_eq!(target.hear(beat("a", 8), at(100)), Heard::Taken);
    assert_eq!(admitted(&target, at(100)), None);
    assert_eq!(target.announced(at(100)), None);
    assert!(target.unconfirmed(at(100)).is_some());
    target.confirm("a");
    assert_eq!(admitted(&target, at(100)), Some("a"));
    assert!(target.announced(at(100)).is_some_and(|it| !it.draining));
    assert_eq!(target.unconfirmed(at(100)), None);
}

/// The target says that it drains, or good-bye, while it is being asked, and its
/// answer from just before comes in after that.
#[test]
fn a_confirmation_does_not_undo_a_drain_or_a_good_bye() {
    let mut drains = LocalTarget::new(INTERVAL);
    drains.hear(beat("a", 1), at(0));
    drains.hear(draining("a", 2), at(10));
    drains.confirm("a");
    assert_eq!(admitted(&drains, at(20)), None);
    let mut leaves = LocalTarget::new(INTERVAL);
    leaves.hear(beat("a", 1), at(0));
    leaves.leave("a");
    leaves.confirm("a");
    assert_eq!(admitted(&leaves, at(20)), None);
    assert_eq!(leaves.unconfirmed(at(20)), None);
}

/// The target crashes while it is being asked, and starts again. The answer of the
/// life before says nothing about the present one, whichever comes in first.
#[test]
fn an_answer_for_an_earlier_life_changes_nothing() {
    let mut target = LocalTarget::new(INTERVAL);
    target.hear(beat("a", 1), at(0));
    target.hear(beat("b", 1), at(10));
    target.confirm("a");
    assert_eq!(admitted(&target, at(20)), None);
    target.answered_as("a", "c");
    target.confirm("b");
    assert_eq!(admitted(&target, at(20)), Some("b"));
}

#[test]
fn a_target_that_drains_takes_no_new_calls_whatever_comes_late() {
    let mut target = after(&["a"]);
    target.hear(draining("a", 3), at(100));
    assert_eq!(admitted(&target, at(100)), None);
    assert_eq!(target.hear(beat("a", 2), at(200)), Heard::Stale);
    assert_eq!(target.hear(beat("a", 4), at(300)), Heard::Taken);
    assert_eq!(admitted(&target, at(300)), None, "a drain is final");
}

#[test]
fn a_target_that_said_good_bye_takes_no_new_calls() {
    let mut target = after(&["a"]);
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
    let mut target = after(&["a", "b"]);
    assert_eq!(target.hear(beat("a", 8), at(200)), Heard::Stale);
    assert_eq!(admitted(&target, at(200)), Some("b"));
}

/// The same, but the daemon was restarted in between and does not know that "a"
/// is the earlier life. The target's own answer names the life that it is.
#[test]
fn the_targets_own_answer_settles_which_life_is_the_present_one() {
    let mut target = after(&["b"]);
    target.hear(beat("a", 8), at(100));
    assert_eq!(admitted(&target, at(100)), None);
    target.answered_as("a", "b");
    assert_eq!(admitted(&target, at(100)), Some("b"));
    assert_eq!(target.hear(beat("a", 9), at(200)), Heard::Stale);
    assert_eq!(target.hear(beat("b", 2), at(300)), Heard::Taken);
}

#[test]
fn an_unknown_life_that_answers_leaves_nobody_admitted() {
    let mut target = after(&["a"]);
    target.answered_as("a", "c");
    assert_eq!(admitted(&target, at(0)), None);
    target.hear(beat("c", 1), at(100));
    target.confirm("c");
    assert_eq!(admitted(&target, at(100)), Some("c"));
}

#[test]
fn a_target_that_falls_silent_is_gone_until_it_is_heard_again() {
    let mut target = after(&["a"]);
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
    target.confirm("b");
    assert_eq!(admitted(&target, at(200)), Some("b"));
}
