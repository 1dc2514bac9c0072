use std::time::Duration;

use proptest::prelude::*;
use stoatstep_calls::{KnownLimit, LimitStatement, RateLimit, TargetLimiter};

const MS: Duration = Duration::from_millis(1);

/// Span in which requests are counted against the limit.
const SPAN: Duration = Duration::from_secs(4);

fn rate(text: &str) -> RateLimit {
    text.parse().expect("a rate")
}

fn named(text: &str) -> LimitStatement {
    LimitStatement::Limit(rate(text))
}

fn limited(text: &str) -> TargetLimiter {
    let mut limiter = TargetLimiter::default();
    limiter.record(named(text), Duration::ZERO);
    limiter
}

/// Sends whenever the limiter allows it, at each millisecond of the time.
fn send_all(limiter: &mut TargetLimiter, from: Duration, to: Duration) -> Vec<Duration> {
    let mut sent = Vec::new();
    let mut now = from;
    while now < to {
        while limiter.wait(0, now).is_zero() && sent.len() < 1_000_000 {
            limiter.record_sent(now);
            sent.push(now);
        }
        now += MS;
    }
    sent
}

/// Most requests in any [`SPAN`].
fn most_in_span(sent: &[Duration]) -> usize {
    let in_span = |first: usize| {
        sent[first..]
            .iter()
            .take_while(move |it| **it < sent[first] + SPAN)
    };
    (0..sent.len())
        .map(|it| in_span(it).count())
        .max()
        .unwrap_or_default()
}

/// Requests that a target with this limit may get in [`SPAN`]: one and a half times what the
/// limit allows, and five more.
fn allowed(per_second: f64) -> f64 {
    1.5 * per_second * SPAN.as_secs_f64() + 5.0
}

fn count(requests: usize) -> f64 {
    f64::from(u32::try_from(requests).expect("a few thousand"))
}

#[test]
fn the_rate_is_the_stated_one() {
    for per_second in [0.5, 4.5, 47.5, 300.0] {
        let mut limiter = limited(&per_second.to_string());
        let sent = send_all(&mut limiter, Duration::ZERO, Duration::from_secs(20));
        let expected = 20.0 * per_second;
        let difference = count(sent.len()) - expected;
        assert!(
            difference.abs() <= 1.0 + expected * 0.01,
            "{per_second}: {}",
            sent.len()
        );
        assert!(count(most_in_span(&sent)) <= allowed(per_second));
    }
}

/// After a restart of the daemon, entries that were told of the limit send their calls before
/// the target has answered anything.
#[test]
fn a_restarted_executor_keeps_the_limit_that_entries_were_told() {
    let mut limiter = limited("4.5");
    let mut sent = send_all(&mut limiter, Duration::ZERO, Duration::from_secs(8));
    for restart in 8..12 {
        limiter = TargetLimiter::default();
        let from = Duration::from_secs(restart);
        limiter.adopt(rate("4.5"), from);
        sent.extend(send_all(&mut limiter, from, from + Duration::from_secs(1)));
    }
    let most = most_in_span(&sent);
    assert!(count(most) <= allowed(4.5), "{most}");
}

/// An entry may have been told of a limit that has ended since.
#[test]
fn an_answer_counts_more_than_what_an_entry_was_told() {
    let mut limiter = TargetLimiter::default();
    limiter.record(LimitStatement::Absent, Duration::ZERO);
    limiter.adopt(rate("1"), MS);
    assert_eq!(limiter.known(), KnownLimit::Unlimited);
    assert_eq!(limiter.wait(100, MS), Duration::ZERO);
}

#[test]
fn another_generation_starts_without_a_limit() {
    let mut limiter = limited("1");
    limiter.reset();
    assert_eq!(limiter.known(), KnownLimit::Unknown);
    assert_eq!(limiter.wait(100, Duration::ZERO), Duration::ZERO);
}

/// Some answers lack the limit or name one that is no number, while the target still needs it.
#[test]
fn single_answers_without_a_rate_do_not_end_the_limit() {
    let mut limiter = limited("4.5");
    let mut now = Duration::ZERO;
    for answer in 0..100 {
        now += 100 * MS;
        limiter.record(
            match answer % 4 {
                0 => named("4.5"),
                1 => LimitStatement::Invalid,
                _ => LimitStatement::Absent,
            },
            now,
        );
        assert_eq!(limiter.known(), KnownLimit::Limited(rate("4.5")));
    }
}

/// If all calls came back at once, the target would name its limit again.
#[test]
fn after_its_end_the_rate_rises_without_a_step() {
    let mut limiter = limited("10");
    let end = Duration::from_secs(5);
    limiter.record(LimitStatement::Absent, end);
    let sent = send_all(&mut limiter, end, end + Duration::from_secs(9));
    let in_second = |second: u64| {
        let from = end + Duration::from_secs(second);
        let sent = sent
            .iter()
            .filter(|it| **it >= from && **it < from + Duration::from_secs(1));
        count(sent.count())
    };
    for second in 1..7 {
        let ratio = in_second(second) / in_second(second - 1);
        assert!((1.5..=2.5).contains(&ratio), "second {second}: {ratio}");
    }
    assert!(!limiter.is_active(end + Duration::from_secs(10)));
}

/// A target that accepts nothing answers nothing, so it could not say that it accepts calls
/// again.
#[test]
fn a_limit_of_zero_lets_a_request_through_now_and_then() {
    let mut limiter = limited("0");
    let sent = send_all(&mut limiter, Duration::ZERO, Duration::from_secs(20));
    assert!((5..=10).contains(&sent.len()), "{sent:?}");
    assert!(count(most_in_span(&sent)) <= allowed(0.0));
    limiter.record(LimitStatement::Absent, Duration::from_secs(20));
    assert_eq!(limiter.known(), KnownLimit::Unlimited);
    assert!(limiter.wait(0, Duration::from_secs(21)) < Duration::from_secs(1));
}

/// A rate for the length of a long wait must not hold back calls after it has risen.
#[test]
fn a_raised_limit_holds_at_once() {
    let mut limiter = limited("0.5");
    limiter.record_sent(Duration::ZERO);
    limiter.record(named("100"), MS);
    assert!(limiter.wait(0, MS) <= 300 * MS);
}

/// One step of an executor and its target.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// Calls arrive, and as many are sent as the limit allows.
    Calls(u32),
    /// An answer names the limit.
    Named,
    /// An answer lacks the limit.
    Absent,
    /// The daemon is restarted, and the next call carries what its entry was told.
    Restart,
    /// The daemon is suspended for this time in milliseconds.
    Freeze(u32),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (1_u32..200).prop_map(Step::Calls),
        3 => Just(Step::Named),
        1 => Just(Step::Absent),
        1 => Just(Step::Restart),
        1 => (1_u32..3_000).prop_map(Step::Freeze),
    ]
}

proptest! {
    /// Whatever arrives, is lost or restarts, the target gets no more than the rule allows.
    #[test]
    fn no_span_has_more_requests_than_allowed(
        per_second in prop_oneof![Just(0.0), 0.01_f64..2.0, 2.0_f64..60.0],
        steps in proptest::collection::vec((step(), 1_u64..150), 1..200),
    ) {
        let text = per_second.to_string();
        let mut limiter = limited(&text);
        let (mut now, mut named_at) = (Duration::ZERO, Duration::ZERO);
        let mut sent = Vec::new();
        for (step, gap_ms) in steps {
            now += Duration::from_millis(gap_ms);
            // The target is in need all the time: longer than this it names its limit.
            if now.saturating_sub(named_at) > 500 * MS {
                limiter.record(named(&text), now);
                named_at = now;
            }
            match step {
                Step::Calls(calls) => for _ in 0..calls {
                    if limiter.wait(0, now).is_zero() {
                        limiter.record_sent(now);
                        sent.push(now);
                    }
                },
                Step::Named => {
                    limiter.record(named(&text), now);
                    named_at = now;
                }
                Step::Absent => limiter.record(LimitStatement::Absent, now),
                Step::Restart => {
                    limiter.reset();
                    limiter.adopt(rate(&text), now);
                }
                Step::Freeze(millis) => {
                    now += MS * millis;
                    named_at = now;
                    limiter.record(named(&text), now);
                }
            }
        }
        prop_assert!(count(most_in_span(&sent)) <= allowed(per_second), "{sent:?}");
    }
}
