//! Requests under which targets end.

use std::time::Duration;

use stoatstep_calls::{
    ANSWERED_FOR, Finding, Fingerprint, LIVES, Learned, Quarantine, RecentAnswers, life_mark,
};

const LETHAL: Fingerprint = Fingerprint(1);
const HARMLESS: Fingerprint = Fingerprint(2);

fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn ended(request: Fingerprint, upstream: &str) -> Finding {
    Finding::Ended {
        request,
        lives: vec![life_mark(upstream)],
        ago: Duration::ZERO,
    }
}

fn answered(request: Fingerprint) -> Finding {
    let ago = Duration::ZERO;
    Finding::Answered { request, ago }
}

/// A daemon that heard of the ends of `lives` targets under the request, the last at `now`.
fn after(lives: usize, now: Duration) -> Quarantine {
    let mut known = Quarantine::default();
    for life in 0..lives {
        known.hear(&ended(LETHAL, &format!("i-{life}")), now);
    }
    known
}

/// Callers send a request again and again under which targets end. From the third one on
/// it is refused, with the time until it may be tried again.
#[test]
fn a_request_is_refused_once_enough_targets_ended_under_it() {
    let known = after(LIVES - 1, s(1));
    assert_eq!(known.holds(LETHAL, s(1)), None);
    let mut known = after(LIVES - 1, s(1));
    let learned = known.hear(&ended(LETHAL, "i-9"), s(2));
    assert_eq!(learned, Learned::Held(s(600)));
    assert_eq!(known.holds(LETHAL, s(62)), Some(s(540)));
    assert_eq!(known.holds(HARMLESS, s(2)), None);
}

/// The end of one target is told by several daemons, and told again for as long as it is
/// news. That is one end all the same.
#[test]
fn the_end_of_one_target_counts_once() {
    let mut known = after(LIVES - 1, s(1));
    for at in 2..20 {
        let again = known.hear(&ended(LETHAL, "i-0"), s(at));
        assert_eq!(again, Learned::Nothing);
    }
    assert_eq!(known.holds(LETHAL, s(20)), None);
}

/// What runs beside a lethal request is lost with the target and tried elsewhere, maybe
/// beside the same one again. Once it is answered, it is not suspected any more.
#[test]
fn an_answer_clears_what_ran_beside_a_lethal_request() {
    let mut known = after(LIVES - 1, s(1));
    let learned = known.hear(&answered(LETHAL), s(2));
    assert_eq!(learned, Learned::Cleared { was_held: false });
    known.hear(&ended(LETHAL, "i-8"), s(3));
    known.hear(&ended(LETHAL, "i-9"), s(3));
    assert_eq!(known.holds(LETHAL, s(3)), None);
}

/// A daemon may hear of an answer before it hears of the ends that it speaks against.
#[test]
fn an_answer_that_comes_first_counts_as_well() {
    let mut known = Quarantine::default();
    known.hear(&answered(LETHAL), s(1));
    for life in 0..LIVES {
        known.hear(&ended(LETHAL, &format!("i-{life}")), s(2));
    }
    assert_eq!(known.holds(LETHAL, s(2)), None);
}

/// A change of data may make a request lethal that was answered until then. What it was
/// answered before that speaks for it for a moment only.
#[test]
fn an_old_answer_does_not_speak_for_a_request() {
    let mut known = Quarantine::default();
    known.hear(&answered(LETHAL), s(1));
    let later = s(1) + ANSWERED_FOR + s(1);
    for life in 0..LIVES {
        known.hear(&ended(LETHAL, &format!("i-{life}")), later);
    }
    assert!(known.holds(LETHAL, later).is_some());
}

/// The target has been mended, or not: after the pause the request may run, and where one
/// more target ends under it, it is refused for twice as long.
#[test]
fn after_the_pause_one_more_end_is_enough() {
    let mut known = after(LIVES, s(1));
    assert_eq!(known.holds(LETHAL, s(601)), None);
    known.tick(s(700));
    let learned = known.hear(&ended(LETHAL, "i-9"), s(700));
    assert_eq!(learned, Learned::Held(s(1200)));
    known.tick(s(700 + 2401));
    assert!(known.is_empty());
}

/// A daemon that starts hears of what is refused in its first exchange, however long ago
/// the targets ended; its pause ends with that of the others.
#[test]
fn whoever_starts_later_learns_what_is_refused() {
    let known = after(LIVES, s(1));
    let news = known.news(s(301));
    let mut started = Quarantine::default();
    for finding in &news {
        started.hear(finding, s(350));
    }
    assert_eq!(started.holds(LETHAL, s(350)), Some(s(300)));
}

/// The targets may have ended before the daemon began that hears of them. Its callers are
/// refused for no longer than those of the others.
#[test]
fn the_pause_of_a_young_daemon_ends_with_that_of_the_others() {
    let known = after(LIVES, s(1000));
    let mut young = Quarantine::default();
    for finding in &known.news(s(1300)) {
        young.hear(finding, s(5));
    }
    assert_eq!(young.holds(LETHAL, s(5)), Some(s(300)));
    assert_eq!(young.holds(LETHAL, s(306)), None);
}

/// Two daemons tell each other of a request each second. The pause must not grow by it.
#[test]
fn telling_each_other_does_not_prolong_the_pause() {
    let mut one = after(LIVES, s(1));
    let mut other = Quarantine::default();
    for at in 2..500 {
        let on_the_way = Duration::from_millis(100);
        for finding in one.news(s(at)) {
            other.hear(&finding, s(at) + on_the_way);
        }
        for finding in other.news(s(at)) {
            one.hear(&finding, s(at) + on_the_way);
        }
    }
    let left = other.holds(LETHAL, s(500)).expect("still refused");
    assert!(left <= s(101) + Duration::from_millis(100), "{left:?}");
}

/// Many targets end for other reasons; what they ran must not push out what is refused.
#[test]
fn what_is_refused_is_remembered_before_what_is_suspected() {
    let mut known = after(LIVES, s(1));
    for request in 10..5000 {
        known.hear(&ended(Fingerprint(request), "i-x"), s(2));
    }
    assert!(known.holds(LETHAL, s(3)).is_some());
    assert!(known.news(s(3)).len() <= 64);
}

/// The memory is full. More word of a request that is known takes no other one's place.
#[test]
fn more_word_of_a_known_request_pushes_out_no_other() {
    let mut known = Quarantine::default();
    let requests = 10..10 + 1024;
    for request in requests.clone() {
        known.hear(&ended(Fingerprint(request), "i-0"), s(1));
    }
    known.hear(&ended(Fingerprint(10), "i-1"), s(2));
    let forgotten = requests.filter(|it| known.lives(Fingerprint(*it)) == 0);
    assert_eq!(forgotten.count(), 0);
}

/// A rack of targets ends at once, and the request that most callers send ran at each of
/// them. Each of those targets had just answered it, so its end tells nothing about it.
#[test]
fn what_a_target_has_just_answered_is_not_what_ended_it() {
    let mut recent = RecentAnswers::default();
    recent.note(HARMLESS, s(1));
    assert!(recent.has(HARMLESS, s(2)));
    assert!(!recent.has(LETHAL, s(2)));
    assert!(!recent.has(HARMLESS, s(2) + ANSWERED_FOR));
}
