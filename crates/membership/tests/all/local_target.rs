use std::time::Duration;

use stoatstep_membership::{
    Heartbeat, HeartbeatOutcome, LocalTarget, StartMillis, generation_id, target_id_of,
};

const INTERVAL: Duration = Duration::from_secs(1);

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn heartbeat(upstream: &str, sequence: u64) -> Heartbeat {
    Heartbeat {
        upstream: upstream.into(),
        service: "floatdesk".into(),
        software: "v1".into(),
        slots: 13,
        sequence,
        born: None,
        draining: false,
        cold: Duration::ZERO,
    }
}

fn draining(upstream: &str, sequence: u64) -> Heartbeat {
    Heartbeat {
        draining: true,
        ..heartbeat(upstream, sequence)
    }
}

fn accepting(target: &LocalTarget, now: Duration) -> Option<&str> {
    target
        .accepting_heartbeat(now)
        .map(|it| it.upstream.as_str())
}

/// Returns a target after a heartbeat and a confirmation of each given generation, in this
/// order.
fn confirmed(generations: &[&str]) -> LocalTarget {
    let mut target = LocalTarget::new(INTERVAL);
    for generation in generations {
        target.record_heartbeat(heartbeat(generation, 1), at(0));
        target.confirm(generation);
    }
    target
}

/// A daemon that has just started does not know its target's state. The previous daemon
/// process may have acknowledged the target's drain, after which calls arrive too late.
#[test]
fn no_calls_are_accepted_before_the_first_heartbeat() {
    let mut target = LocalTarget::new(INTERVAL);
    assert_eq!(accepting(&target, at(0)), None);
    target.confirm("a");
    assert_eq!(accepting(&target, at(0)), None);
    target.record_heartbeat(heartbeat("a", 1), at(0));
    target.confirm("a");
    assert_eq!(accepting(&target, at(0)), Some("a"));
}

/// A daemon acknowledged its target's departure and was restarted. A heartbeat from before
/// the departure arrives late, and no peer has answered yet. Calls must not be sent before
/// the target itself has confirmed the generation.
#[test]
fn an_unconfirmed_target_accepts_no_calls() {
    let mut target = LocalTarget::new(INTERVAL);
    assert_eq!(
        target.record_heartbeat(heartbeat("a", 7), at(0)),
        HeartbeatOutcome::Accepted
    );
    assert_eq!(
        target.record_heartbeat(heartbeat("a", 8), at(100)),
        HeartbeatOutcome::Accepted
    );
    assert_eq!(accepting(&target, at(100)), None);
    assert_eq!(target.announced(at(100)), None);
    assert!(target.unconfirmed(at(100)).is_some());
    target.confirm("a");
    assert_eq!(accepting(&target, at(100)), Some("a"));
    assert!(target.announced(at(100)).is_some_and(|it| !it.draining));
    assert_eq!(target.unconfirmed(at(100)), None);
}

/// The target announces its drain or its departure while a confirmation is under way, and
/// its earlier answer arrives after that.
#[test]
fn a_confirmation_does_not_undo_a_drain_or_a_departure() {
    let mut drains = LocalTarget::new(INTERVAL);
    drains.record_heartbeat(heartbeat("a", 1), at(0));
    drains.record_heartbeat(draining("a", 2), at(10));
    drains.confirm("a");
    assert_eq!(accepting(&drains, at(20)), None);
    let mut leaves = LocalTarget::new(INTERVAL);
    leaves.record_heartbeat(heartbeat("a", 1), at(0));
    leaves.record_departure("a");
    leaves.confirm("a");
    assert_eq!(accepting(&leaves, at(20)), None);
    assert_eq!(leaves.unconfirmed(at(20)), None);
}

/// The target crashes while a confirmation is under way, and restarts. The answer of the
/// former generation does not apply to the current one, whichever arrives first.
#[test]
fn an_answer_for_an_earlier_generation_changes_nothing() {
    let mut target = LocalTarget::new(INTERVAL);
    target.record_heartbeat(heartbeat("a", 1), at(0));
    target.record_heartbeat(heartbeat("b", 1), at(10));
    target.confirm("a");
    assert_eq!(accepting(&target, at(20)), None);
    target.record_answer("a", "c");
    target.confirm("b");
    assert_eq!(accepting(&target, at(20)), Some("b"));
}

#[test]
fn a_target_that_drains_takes_no_new_calls_whatever_comes_late() {
    let mut target = confirmed(&["a"]);
    target.record_heartbeat(draining("a", 3), at(100));
    assert_eq!(accepting(&target, at(100)), None);
    assert_eq!(
        target.record_heartbeat(heartbeat("a", 2), at(200)),
        HeartbeatOutcome::Stale
    );
    assert_eq!(
        target.record_heartbeat(heartbeat("a", 4), at(300)),
        HeartbeatOutcome::Accepted
    );
    assert_eq!(accepting(&target, at(300)), None, "a drain is final");
}

#[test]
fn a_target_that_announced_its_departure_takes_no_new_calls() {
    let mut target = confirmed(&["a"]);
    target.record_departure("a");
    assert_eq!(accepting(&target, at(0)), None);
    assert!(target.announced(at(0)).is_some_and(|it| it.draining));
    target.record_heartbeat(heartbeat("a", 2), at(100));
    assert_eq!(accepting(&target, at(100)), None);
}

/// The target crashed and restarted. A delayed heartbeat of the earlier generation arrives
/// last; it must not bring that generation back.
#[test]
fn a_late_heartbeat_of_an_earlier_generation_changes_nothing() {
    let mut target = confirmed(&["a", "b"]);
    assert_eq!(
        target.record_heartbeat(heartbeat("a", 8), at(200)),
        HeartbeatOutcome::Stale
    );
    assert_eq!(accepting(&target, at(200)), Some("b"));
}

/// A delayed heartbeat of the earlier generation "a" arrives at a daemon that was restarted
/// and does not know that "a" is the earlier one. The target's answer tells which
/// generation is running.
#[test]
fn the_targets_own_answer_determines_the_current_generation() {
    let mut target = confirmed(&["b"]);
    target.record_heartbeat(heartbeat("a", 8), at(100));
    assert!(
        target
            .unconfirmed(at(100))
            .is_some_and(|it| it.upstream == "a")
    );
    target.record_answer("a", "b");
    assert_eq!(target.unconfirmed(at(100)), None);
    assert_eq!(accepting(&target, at(100)), Some("b"));
    assert_eq!(
        target.record_heartbeat(heartbeat("a", 9), at(200)),
        HeartbeatOutcome::Stale
    );
    assert_eq!(
        target.record_heartbeat(heartbeat("b", 2), at(300)),
        HeartbeatOutcome::Accepted
    );
}

#[test]
fn an_answer_of_an_unknown_generation_leaves_no_accepting_target() {
    let mut target = confirmed(&["a"]);
    target.record_answer("a", "c");
    assert_eq!(accepting(&target, at(0)), None);
    target.record_heartbeat(heartbeat("c", 1), at(100));
    target.confirm("c");
    assert_eq!(accepting(&target, at(100)), Some("c"));
}

/// Guards against an acknowledged drain that was dropped because its sender was not believed
/// to be the current generation.
#[test]
fn a_drain_is_noted_whatever_is_believed_of_its_sender() {
    let mut target = confirmed(&["b"]);
    target.record_heartbeat(heartbeat("a", 8), at(100));
    target.record_heartbeat(draining("b", 2), at(200));
    target.record_answer("a", "b");
    target.confirm("b");
    target.record_heartbeat(heartbeat("b", 3), at(300));
    assert_eq!(accepting(&target, at(300)), None);
}

/// Guards against an acknowledged drain that was dropped because a heartbeat with a higher
/// number had arrived.
#[test]
fn a_drain_with_a_lower_number_is_noted() {
    let mut target = confirmed(&["a"]);
    target.record_heartbeat(heartbeat("a", 9), at(100));
    target.record_heartbeat(draining("a", 8), at(200));
    assert_eq!(accepting(&target, at(200)), None);
}

/// Guards against a departure notice that binds no generation because another one was
/// believed to be current.
#[test]
fn a_departure_without_a_start_time_binds_the_known_generation_of_its_sender() {
    let mut target = started_at_1000();
    target.record_heartbeat(heartbeat("x", 8), at(100));
    assert_eq!(target.departing_generation("a", None), "a#1000");
}

/// Guards against one late heartbeat after which a target gets no calls for as long as its
/// daemon runs.
#[test]
fn a_generation_that_goes_on_reporting_is_current_again() {
    let mut target = LocalTarget::new(INTERVAL);
    target.record_heartbeat(heartbeat("b", 1), at(0));
    target.record_heartbeat(heartbeat("a", 41), at(500));
    target.record_heartbeat(heartbeat("b", 2), at(1_000));
    assert!(
        target
            .unconfirmed(at(1_000))
            .is_some_and(|it| it.upstream == "b")
    );
    target.confirm("b");
    assert_eq!(accepting(&target, at(1_000)), Some("b"));
}

/// Guards against a late heartbeat that stops the calls to a target which has confirmed itself.
#[test]
fn a_confirmed_target_gets_calls_while_it_is_asked_about_another_generation() {
    let mut target = confirmed(&["b"]);
    assert_eq!(
        target.record_heartbeat(heartbeat("a", 8), at(100)),
        HeartbeatOutcome::Disputed
    );
    assert!(
        target
            .unconfirmed(at(100))
            .is_some_and(|it| it.upstream == "a")
    );
    assert_eq!(accepting(&target, at(100)), Some("b"));
    target.record_answer("a", "a");
    assert_eq!(accepting(&target, at(100)), None, "it takes no calls yet");
    target.confirm("a");
    assert_eq!(accepting(&target, at(100)), Some("a"));
}

/// Guards against a caller's service that an unconfirmed or an old heartbeat names.
#[test]
fn only_a_live_target_that_confirmed_itself_has_a_service() {
    let mut target = LocalTarget::new(INTERVAL);
    target.record_heartbeat(heartbeat("a", 1), at(0));
    assert_eq!(target.confirmed_service(at(0)), None);
    target.confirm("a");
    assert!(
        target
            .confirmed_service(at(0))
            .is_some_and(|it| it == "floatdesk")
    );
    let other = Heartbeat {
        service: "refundhall".into(),
        ..heartbeat("b", 1)
    };
    target.record_heartbeat(other, at(100));
    assert!(
        target
            .confirmed_service(at(100))
            .is_some_and(|it| it == "floatdesk")
    );
    assert_eq!(target.confirmed_service(at(3_100)), None);
}

/// Guards against a target whose clock was set back before its restart, and which gets no
/// calls for as long as its daemon runs.
#[test]
fn an_earlier_start_time_counts_once_the_later_one_is_silent() {
    let mut target = started_at_1000();
    let restarted = |sequence| heartbeat_started_at(500, sequence);
    assert_eq!(
        target.record_heartbeat(restarted(1), at(1_000)),
        HeartbeatOutcome::Stale
    );
    assert_eq!(
        target.record_heartbeat(restarted(4), at(4_000)),
        HeartbeatOutcome::Accepted
    );
    target.confirm("a#500");
    assert_eq!(accepting(&target, at(4_000)), Some("a#500"));
}

/// Guards against one heartbeat with a far too high number after which all others are stale.
#[test]
fn a_lower_number_counts_once_the_target_is_silent() {
    let mut target = confirmed(&["a"]);
    target.record_heartbeat(heartbeat("a", 1_000_000), at(100));
    assert_eq!(
        target.record_heartbeat(heartbeat("a", 3), at(2_000)),
        HeartbeatOutcome::Stale
    );
    assert_eq!(
        target.record_heartbeat(heartbeat("a", 5), at(4_000)),
        HeartbeatOutcome::Accepted
    );
    assert_eq!(accepting(&target, at(4_000)), None, "not confirmed yet");
    target.confirm("a");
    assert_eq!(accepting(&target, at(4_000)), Some("a"));
}

/// Guards against one wrong answer after which a target gets no calls for as long as its
/// daemon runs.
#[test]
fn a_generation_that_an_answer_ruled_out_is_asked_about_again() {
    let mut target = confirmed(&["b"]);
    target.record_heartbeat(heartbeat("a", 8), at(100));
    target.record_answer("a", "b");
    assert_eq!(
        target.record_heartbeat(heartbeat("a", 9), at(1_000)),
        HeartbeatOutcome::Stale
    );
    target.record_heartbeat(heartbeat("b", 9), at(3_000));
    assert_eq!(
        target.record_heartbeat(heartbeat("a", 12), at(4_000)),
        HeartbeatOutcome::Disputed
    );
    assert_eq!(accepting(&target, at(4_000)), Some("b"));
    target.record_answer("a", "a");
    target.confirm("a");
    assert_eq!(accepting(&target, at(4_000)), Some("a"));
}

#[test]
fn a_target_that_falls_silent_is_gone_until_its_next_heartbeat() {
    let mut target = confirmed(&["a"]);
    assert_eq!(accepting(&target, at(3_000)), Some("a"));
    assert_eq!(accepting(&target, at(3_100)), None);
    assert_eq!(target.announced(at(3_100)), None);
    target.record_heartbeat(heartbeat("a", 2), at(3_200));
    assert_eq!(accepting(&target, at(3_200)), Some("a"));
}

/// The first message that a restarted daemon gets is its target's departure notice, which
/// it acknowledges. A delayed heartbeat from before the departure arrives next, and looks
/// like one of a new target that accepts calls.
#[test]
fn a_departure_applies_to_a_generation_that_was_not_known_before() {
    let mut target = LocalTarget::new(INTERVAL);
    target.record_departure("a");
    assert_eq!(
        target.record_heartbeat(heartbeat("a", 7), at(100)),
        HeartbeatOutcome::Stale
    );
    assert_eq!(accepting(&target, at(100)), None);
    target.record_heartbeat(heartbeat("b", 1), at(200));
    target.confirm("b");
    assert_eq!(accepting(&target, at(200)), Some("b"));
}

fn heartbeat_started_at(start: StartMillis, sequence: u64) -> Heartbeat {
    Heartbeat {
        born: Some(start),
        ..heartbeat(&generation_id("a", Some(start)), sequence)
    }
}

/// Returns the state after the generation of target "a" that started at 1000 was confirmed.
fn started_at_1000() -> LocalTarget {
    let mut target = LocalTarget::new(INTERVAL);
    target.record_heartbeat(heartbeat_started_at(1_000, 70), at(0));
    target.confirm("a#1000");
    target
}

#[test]
fn a_generation_is_named_by_id_and_start_time() {
    assert_eq!(generation_id("i-7", Some(5)), "i-7#5");
    assert_eq!(generation_id("i-7", None), "i-7");
    assert_eq!(target_id_of("i-7#5"), "i-7");
    assert_eq!(target_id_of("i-7"), "i-7");
}

/// A target crashes and restarts under its id, and its heartbeats count from one again. By
/// their sequence numbers alone they would all be stale, and the target would get no calls
/// for as long as the former generation had lasted.
#[test]
fn a_target_that_restarts_under_its_id_is_another_generation() {
    let mut target = started_at_1000();
    assert_eq!(
        target.record_heartbeat(heartbeat_started_at(2_000, 1), at(100)),
        HeartbeatOutcome::Accepted
    );
    assert_eq!(accepting(&target, at(100)), None, "not confirmed yet");
    target.confirm("a#2000");
    assert_eq!(accepting(&target, at(100)), Some("a#2000"));
}

/// A target restarted under its id, and a heartbeat of the former generation was delayed by
/// a partition.
#[test]
fn a_late_heartbeat_with_an_earlier_start_time_changes_nothing() {
    let mut target = started_at_1000();
    target.record_heartbeat(heartbeat_started_at(2_000, 1), at(100));
    target.confirm("a#2000");
    assert_eq!(
        target.record_heartbeat(heartbeat_started_at(1_000, 71), at(200)),
        HeartbeatOutcome::Stale
    );
    assert_eq!(
        target.record_heartbeat(heartbeat_started_at(500, 99), at(200)),
        HeartbeatOutcome::Stale
    );
    assert_eq!(
        target.record_heartbeat(heartbeat("a", 99), at(200)),
        HeartbeatOutcome::Stale
    );
    assert_eq!(accepting(&target, at(200)), Some("a#2000"));
}

/// A target announced its departure, got an acknowledgement, and restarts under its id. The
/// departure still holds for the former generation and must not affect the new one.
#[test]
fn a_departure_applies_to_its_generation_only_and_for_good() {
    let mut target = started_at_1000();
    let left = target.departing_generation("a", None);
    assert_eq!(left, "a#1000");
    assert!(target.record_departure(&left));
    assert_eq!(accepting(&target, at(0)), None);
    assert_eq!(
        target.record_heartbeat(heartbeat_started_at(2_000, 1), at(100)),
        HeartbeatOutcome::Accepted
    );
    target.confirm("a#2000");
    assert_eq!(accepting(&target, at(100)), Some("a#2000"));
    assert_eq!(
        target.record_heartbeat(heartbeat_started_at(1_000, 71), at(200)),
        HeartbeatOutcome::Stale
    );
    assert_eq!(target.departing_generation("a", Some(1_000)), "a#1000");
    assert!(!target.record_departure("a#1000"), "it is known already");
    assert_eq!(accepting(&target, at(200)), Some("a#2000"));
}

/// The target answers with its id alone, which does not identify a generation.
#[test]
fn an_answer_under_the_same_id_keeps_the_current_generation() {
    let mut target = started_at_1000();
    target.record_answer("a#1000", "a");
    assert_eq!(accepting(&target, at(0)), Some("a#1000"));
}
