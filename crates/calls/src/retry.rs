//! Retry rules: which attempts are retried, how often and when.

use std::time::Duration;

use rand::{Rng, RngExt};

use crate::refusal::{Outcome, Reason, Refusal};

/// Retries that a service may use before it has earned any, and the most that it can save
/// up. Without them, a service with few calls could hardly be retried.
const RESERVE_MILLI: u64 = 10_000;

/// One retry, in thousandths.
const ONE_MILLI: u64 = 1_000;

/// Limits the retries of one service to a share of its first attempts.
///
/// Without a budget, refusals under overload cause more attempts and these more refusals,
/// so the overload outlasts its cause. With a share of `p` percent, the number of attempts
/// is at most `1 + p/100` times the number of calls in the long run.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RetryBudget {
    milli: u64,
    reserve_milli: u64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            milli: RESERVE_MILLI,
            reserve_milli: RESERVE_MILLI,
        }
    }
}

impl RetryBudget {
    /// Creates a budget that saves up at most `retries`. If one reserve is shared by all
    /// daemons, each must get its part of it: with a full reserve in each, a fleet of 12
    /// could use 12 reserves at once.
    #[must_use]
    pub fn with_reserve(retries: u32) -> Self {
        let reserve_milli = u64::from(retries.max(1)) * ONE_MILLI;
        Self {
            milli: reserve_milli,
            reserve_milli,
        }
    }

    /// Changes the reserve. Saved retries above the new reserve are dropped.
    pub fn set_reserve(&mut self, retries: u32) {
        self.reserve_milli = u64::from(retries.max(1)) * ONE_MILLI;
        self.milli = self.milli.min(self.reserve_milli);
    }

    /// Counts a first attempt, which earns `percent` hundredths of a retry.
    pub fn earn(&mut self, percent: u32) {
        let earned = u64::from(percent) * ONE_MILLI / 100;
        self.milli = (self.milli + earned).min(self.reserve_milli);
    }

    /// Takes one retry from the budget. Returns false if none is left.
    pub fn take(&mut self) -> bool {
        let Some(rest) = self.milli.checked_sub(ONE_MILLI) else {
            return false;
        };
        self.milli = rest;
        true
    }
}

/// Whether an attempt without an answer may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum UnansweredOutcome {
    /// It did not run and never will.
    NotRun,
    /// It may have run.
    Unknown,
}

/// Whether another attempt may follow after `made` of `allowed` attempts.
///
/// Only the first entry of a chain of calls (`depth` 0) retries. If each of 8 hops made
/// three attempts, a failing target at the end of the chain would get 3^8 attempts for one
/// call. The other hops pass the refusal up to the first entry, which has the retry budget.
#[must_use]
pub fn may_retry(
    outcome: UnansweredOutcome,
    idempotent: bool,
    depth: u32,
    made: u32,
    allowed: u32,
) -> bool {
    if depth > 0 || made >= allowed {
        return false;
    }
    match outcome {
        UnansweredOutcome::NotRun => true,
        UnansweredOutcome::Unknown => idempotent,
    }
}

/// Combines the refusals of the attempts of one call.
///
/// An idempotent call is retried even if an earlier attempt may have run. If the last
/// attempt then finds no upstream, its refusal states "not run", which is true of that
/// attempt only. Passed on alone, it would tell the caller that the call did not run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct RefusedAttempts {
    may_have_run: Option<Refusal>,
    /// Shortest retry delay of the attempts that a limit refused.
    limited: Option<Duration>,
}

impl RefusedAttempts {
    /// Records the refusal of an attempt, and returns the refusal of the call if no other
    /// attempt follows. It states "not run" only if no attempt may have run.
    pub fn refused(&mut self, refusal: Refusal) -> Refusal {
        if refusal.outcome() != Outcome::NotRun {
            self.may_have_run = Some(refusal);
        }
        let refusal = self.soonest(refusal);
        let Some(earlier) = self.may_have_run else {
            return refusal;
        };
        Refusal {
            reason: earlier.reason,
            retry_after: refusal.retry_after.or(earlier.retry_after),
        }
    }

    /// The refusal with the shortest delay of all attempts that a limit refused. The delays
    /// of targets with different limits differ by seconds, and the soonest one serves the call.
    fn soonest(&mut self, refusal: Refusal) -> Refusal {
        let (Reason::Limited, Some(delay)) = (refusal.reason, refusal.retry_after) else {
            return refusal;
        };
        let delay = self.limited.map_or(delay, |it| it.min(delay));
        self.limited = Some(delay);
        Refusal::retry(Reason::Limited, delay)
    }
}

/// Exponential backoff with full jitter, bounded by the deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Backoff {
    base: Duration,
    longest: Duration,
}

impl Default for Backoff {
    fn default() -> Self {
        Self {
            base: Duration::from_millis(5),
            longest: Duration::from_millis(500),
        }
    }
}

impl Backoff {
    /// Creates a backoff whose upper bound doubles from `base` to `longest`.
    #[must_use]
    pub fn new(base: Duration, longest: Duration) -> Self {
        Self { base, longest }
    }

    /// Delay before the next attempt after `made` attempts, at least `floor`. `None` if less
    /// than `needed` of the time `left` would remain for the attempt; the caller is then
    /// refused now instead of after a useless wait.
    pub fn pause(
        &self,
        made: u32,
        floor: Duration,
        needed: Duration,
        left: Duration,
        rng: &mut dyn Rng,
    ) -> Option<Duration> {
        let doublings = made.saturating_sub(1).min(16);
        let ceiling = (self.base * (1 << doublings)).min(self.longest);
        let delay = floor + ceiling.mul_f64(rng.random::<f64>());
        (delay + needed < left).then_some(delay)
    }
}
