use std::time::Duration;

use rand::SeedableRng;
use rand_xoshiro::Xoshiro256PlusPlus;
use stoatstep_calls::{
    Backoff, Deadline, Drain, DrainStep, Outcome, Reason, Refusal, RefusedAttempts, RetryBudget,
    UnansweredOutcome, may_retry,
};

const MS: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);

// Every attempt of a service fails. Retries must stay at the budget's share of first
// attempts, so that they cannot prolong an overload.
#[test]
fn retries_stay_within_their_share() {
    let mut budget = RetryBudget::default();
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.earn(20);
        while budget.take() {
            retries += 1;
        }
    }
    // A reserve of 10 and a fifth of 1,000, less one: the first call earns nothing because
    // the reserve is full.
    assert_eq!(retries, 209);
}

// The last target of a chain of 8 hops fails. Only the first daemon may retry.
#[test]
fn chain_does_not_multiply_attempts() {
    assert!(may_retry(UnansweredOutcome::NotRun, false, 0, 1, 3));
    for depth in 1..8 {
        assert!(!may_retry(UnansweredOutcome::NotRun, true, depth, 1, 3));
    }
}

// An idempotent call ran and its executor died, and the next attempt finds no upstream. The
// call must end as "unknown", because "not run" is only true of the last attempt.
#[test]
fn call_is_not_run_only_if_no_attempt_may_have_run() {
    let no_upstream = Refusal::retry(Reason::NoUpstream, MS);
    let lost = Refusal::permanent(Reason::LostAnswer);
    let mut attempts = RefusedAttempts::default();
    assert_eq!(attempts.refused(no_upstream), no_upstream);
    assert_eq!(attempts.refused(lost), lost);
    let end = attempts.refused(no_upstream);
    assert_eq!(end, Refusal::retry(Reason::LostAnswer, MS));
    assert_eq!(end.outcome(), Outcome::Unknown);
}

// A call that posts a claim ends as unknown. Another attempt could post the claim twice.
#[test]
fn unknown_is_retried_only_if_idempotent() {
    assert!(!may_retry(UnansweredOutcome::Unknown, false, 0, 1, 3));
    assert!(may_retry(UnansweredOutcome::Unknown, true, 0, 1, 3));
    assert!(!may_retry(UnansweredOutcome::Unknown, true, 0, 3, 3));
}

#[test]
fn pause_is_jittered_and_inside_the_deadline() {
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(1);
    let backoff = Backoff::new(10 * MS, 40 * MS);
    for made in 1..8 {
        let pause = backoff.pause(made, MS, MS, SECOND, &mut rng);
        assert!(pause.is_some_and(|it| it >= MS && it <= 41 * MS));
    }
    assert_eq!(backoff.pause(1, 5 * MS, 5 * MS, 9 * MS, &mut rng), None);
}

// Each of 8 hops reserves some time for the answer's way back, and the last one must still
// get a usable part of a short deadline.
#[test]
fn deadline_shrinks_hop_by_hop() {
    let mut left = 20 * MS;
    for _ in 0..8 {
        let next = Deadline::after(left, SECOND).for_next_hop(SECOND + MS);
        let next = next.expect("20 ms last for 8 hops");
        assert!(next + MS < left);
        left = next;
    }
    assert!(left >= 6 * MS, "{left:?}");
    let passed = Deadline::after(MS, SECOND).for_next_hop(2 * SECOND);
    assert_eq!(passed, None);
}

// A target leaves with calls in flight. It must announce that first, wait for entries that
// have not received the announcement, and leave when the last answer was sent.
#[test]
fn drain_answers_all_before_it_leaves() {
    let mut drain = Drain::new(30 * SECOND);
    assert!(drain.admits());
    drain.begin(SECOND);
    assert!(!drain.admits());
    assert_eq!(drain.tick(0, SECOND), DrainStep::Announce);
    assert_eq!(drain.tick(0, 2 * SECOND), DrainStep::Wait);
    assert_eq!(drain.tick(1, 4 * SECOND), DrainStep::Wait);
    drain.begin(5 * SECOND);
    assert_eq!(drain.tick(0, 5 * SECOND), DrainStep::Leave);
}

#[test]
fn drain_is_bounded() {
    let mut drain = Drain::new(30 * SECOND);
    drain.begin(SECOND);
    drain.tick(2, SECOND);
    assert_eq!(drain.tick(2, 31 * SECOND), DrainStep::LeaveUnfinished(2));
}

/// Twelve daemons that each saved up ten retries would send 120 at once, where 60 are
/// allowed for the whole fleet. Each must only save up its part of the reserve.
#[test]
fn a_budget_saves_up_no_more_than_its_reserve() {
    let mut budget = RetryBudget::with_reserve(3);
    for _ in 0..1_000 {
        budget.earn(20);
    }
    let taken = (0..100).filter(|_| budget.take()).count();
    assert_eq!(taken, 3);
}

#[test]
fn a_smaller_reserve_drops_what_is_saved_beyond_it() {
    let mut budget = RetryBudget::with_reserve(10);
    budget.set_reserve(2);
    let taken = (0..100).filter(|_| budget.take()).count();
    assert_eq!(taken, 2);
}

/// The last of several limited targets that are tried is the one with the longest wait.
#[test]
fn callers_come_back_for_the_soonest_of_several_limited_targets() {
    let mut attempts = RefusedAttempts::default();
    let limited = |ms| Refusal::retry(Reason::Limited, Duration::from_millis(ms));
    assert_eq!(attempts.refused(limited(90)), limited(90));
    assert_eq!(attempts.refused(limited(2_000)), limited(90));
    assert_eq!(attempts.refused(limited(40)), limited(40));
}
