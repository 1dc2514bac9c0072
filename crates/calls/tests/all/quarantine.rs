//! Quarantine of requests that crash their targets.

use std::time::Duration;

use stoatstep_calls::{
    ANSWER_VALIDITY, CRASH_THRESHOLD, FindingEffect, Fingerprint, Quarantine, QuarantineFinding,
    RecentAnswers, generation_hash,
};

const LETHAL: Fingerprint = Fingerprint(1);
const HARMLESS: Fingerprint = Fingerprint(2);

fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn ended(request: Fingerprint, upstream: &str) -> QuarantineFinding {
    QuarantineFinding::Ended {
        request,
        lives: vec![generation_hash(upstream)],
        ago: Duration::ZERO,
    }
}

fn answered(request: Fingerprint) -> QuarantineFinding {
    let ago = Duration::ZERO;
    QuarantineFinding::Answered { request, ago }
}

/// The quarantine of a daemon that was told at `now` that `crashes` targets crashed while
/// they ran the lethal request.
fn after(crashes: usize, now: Duration) -> Quarantine {
    let mut known = Quarantine::default();
    for crash in 0..crashes {
        known.apply(&ended(LETHAL, &format!("i-{crash}")), now);
    }
    known
}

/// Callers keep sending a request that crashes targets. After the third crash it is
/// refused, and the refusal tells after which time it may be retried.
#[test]
fn a_request_is_refused_after_enough_crashes() {
    let known = after(CRASH_THRESHOLD - 1, s(1));
    assert_eq!(known.refused_for(LETHAL, s(1)), None);
    let mut known = after(CRASH_THRESHOLD - 1, s(1));
    let effect = known.apply(&ended(LETHAL, "i-9"), s(2));
    assert_eq!(effect, FindingEffect::Quarantined(s(600)));
    assert_eq!(known.refused_for(LETHAL, s(62)), Some(s(540)));
    assert_eq!(known.refused_for(HARMLESS, s(2)), None);
}

/// Several daemons report the crash of one target, and gossip repeats the report for a
/// while. The crash still counts once.
#[test]
fn the_crash_of_one_target_counts_once() {
    let mut known = after(CRASH_THRESHOLD - 1, s(1));
    for at in 2..20 {
        let again = known.apply(&ended(LETHAL, "i-0"), s(at));
        assert_eq!(again, FindingEffect::Nothing);
    }
    assert_eq!(known.refused_for(LETHAL, s(20)), None);
}

/// A harmless request that runs at the same target as a lethal one is lost with the target
/// and retried elsewhere, maybe again together with the lethal one. Once it is answered, it
/// is not suspected any more.
#[test]
fn an_answer_clears_a_request_that_ran_beside_a_lethal_one() {
    let mut known = after(CRASH_THRESHOLD - 1, s(1));
    let effect = known.apply(&answered(LETHAL), s(2));
    assert_eq!(
        effect,
        FindingEffect::Cleared {
            was_quarantined: false
        }
    );
    known.apply(&ended(LETHAL, "i-8"), s(3));
    known.apply(&ended(LETHAL, "i-9"), s(3));
    assert_eq!(known.refused_for(LETHAL, s(3)), None);
}

/// The report of an answer may arrive before the crash reports that it refutes.
#[test]
fn an_answer_reported_before_the_crashes_counts_as_well() {
    let mut known = Quarantine::default();
    known.apply(&answered(LETHAL), s(1));
    for crash in 0..CRASH_THRESHOLD {
        known.apply(&ended(LETHAL, &format!("i-{crash}")), s(2));
    }
    assert_eq!(known.refused_for(LETHAL, s(2)), None);
}

/// A change of data may make a request lethal that was answered until then. Its earlier
/// answers must not keep it from being quarantined for long.
#[test]
fn an_old_answer_does_not_clear_a_request() {
    let mut known = Quarantine::default();
    known.apply(&answered(LETHAL), s(1));
    let later = s(1) + ANSWER_VALIDITY + s(1);
    for crash in 0..CRASH_THRESHOLD {
        known.apply(&ended(LETHAL, &format!("i-{crash}")), later);
    }
    assert!(known.refused_for(LETHAL, later).is_some());
}

/// After the quarantine the request may run, whether or not the targets were repaired. If
/// it crashes one more target, it is refused for twice as long.
#[test]
fn after_the_quarantine_one_more_crash_is_enough() {
    let mut known = after(CRASH_THRESHOLD, s(1));
    assert_eq!(known.refused_for(LETHAL, s(601)), None);
    known.tick(s(700));
    let effect = known.apply(&ended(LETHAL, "i-9"), s(700));
    assert_eq!(effect, FindingEffect::Quarantined(s(1200)));
    known.tick(s(700 + 2401));
    assert!(known.is_empty());
}

/// A daemon that starts learns in its first gossip exchange which requests are refused,
/// however long ago the targets crashed. The quarantine ends there when it ends elsewhere.
#[test]
fn a_daemon_that_starts_later_learns_what_is_refused() {
    let known = after(CRASH_THRESHOLD, s(1));
    let gossip = known.gossip(s(301));
    let mut started = Quarantine::default();
    for finding in &gossip {
        started.apply(finding, s(350));
    }
    assert_eq!(started.refused_for(LETHAL, s(350)), Some(s(300)));
}

/// The targets may have crashed before the daemon started that is told of it. The
/// quarantine must not last longer there than at the other daemons.
#[test]
fn the_quarantine_ends_at_the_same_time_for_a_daemon_that_started_later() {
    let known = after(CRASH_THRESHOLD, s(1000));
    let mut started = Quarantine::default();
    for finding in &known.gossip(s(1300)) {
        started.apply(finding, s(5));
    }
    assert_eq!(started.refused_for(LETHAL, s(5)), Some(s(300)));
    assert_eq!(started.refused_for(LETHAL, s(306)), None);
}

/// Two daemons gossip about a request each second. That must not extend the quarantine.
#[test]
fn gossip_does_not_extend_the_quarantine() {
    let mut one = after(CRASH_THRESHOLD, s(1));
    let mut other = Quarantine::default();
    for at in 2..500 {
        let transmission = Duration::from_millis(100);
        for finding in one.gossip(s(at)) {
            other.apply(&finding, s(at) + transmission);
        }
        for finding in other.gossip(s(at)) {
            one.apply(&finding, s(at) + transmission);
        }
    }
    let left = other.refused_for(LETHAL, s(500)).expect("still refused");
    assert!(left <= s(101) + Duration::from_millis(100), "{left:?}");
}

/// Many targets end for other reasons. The requests that they ran must not evict those that
/// are refused.
#[test]
fn refused_requests_are_kept_before_suspected_ones() {
    let mut known = after(CRASH_THRESHOLD, s(1));
    for request in 10..5000 {
        known.apply(&ended(Fingerprint(request), "i-x"), s(2));
    }
    assert!(known.refused_for(LETHAL, s(3)).is_some());
    assert!(known.gossip(s(3)).len() <= 64);
}

/// The quarantine is full. Another report about a recorded request must not evict any other.
#[test]
fn another_report_of_a_known_request_evicts_no_other() {
    let mut known = Quarantine::default();
    let requests = 10..10 + 1024;
    for request in requests.clone() {
        known.apply(&ended(Fingerprint(request), "i-0"), s(1));
    }
    known.apply(&ended(Fingerprint(10), "i-1"), s(2));
    let evicted = requests.filter(|it| known.crash_count(Fingerprint(*it)) == 0);
    assert_eq!(evicted.count(), 0);
}

/// All targets of a rack end at once, and a popular request was running at each of them.
/// Each of those targets had just answered it, so it is not the cause of the crash.
#[test]
fn a_request_that_a_target_just_answered_is_not_the_cause_of_its_crash() {
    let mut recent = RecentAnswers::default();
    recent.record(HARMLESS, s(1));
    assert!(recent.contains(HARMLESS, s(2)));
    assert!(!recent.contains(LETHAL, s(2)));
    assert!(!recent.contains(HARMLESS, s(2) + ANSWER_VALIDITY));
}
