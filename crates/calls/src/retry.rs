//! What is tried again, how often and when.

use std::time::Duration;

use rand::{Rng, RngExt};

use crate::refusal::{Outcome, Refusal};

/// Retries that a service may use before it has earned any, and the most that
/// it can save up. Lets a service with few calls be retried at all.
const RESERVE_MILLI: u64 = 10_000;

/// One retry, in thousandths.
const ONE_MILLI: u64 = 1_000;

/// Retries as a share of first attempts, one bucket for each service.
///
/// Without it, refusals under overload turn into more attempts, these into more
/// refusals, and the overload outlives its cause. With a share of `p` percent
/// the attempts are at most `1 + p/100` times the calls over any long stretch.
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
    /// A budget that saves up at most `retries`. Where all daemons
    /// together are held to one reserve, each gets its part of it: with a
    /// reserve of its own in each, a fleet of 12 would use 12 of them at once.
    #[must_use]
    pub fn with_reserve(retries: u32) -> Self {
        let reserve_milli = u64::from(retries.max(1)) * ONE_MILLI;
        Self {
            milli: reserve_milli,
            reserve_milli,
        }
    }

    /// Takes another reserve; what is saved beyond it is dropped.
    pub fn set_reserve(&mut self, retries: u32) {
        self.reserve_milli = u64::from(retries.max(1)) * ONE_MILLI;
        self.milli = self.milli.min(self.reserve_milli);
    }

    /// Counts a first attempt, which earns `percent` hundredths of a retry.
    pub fn earn(&mut self, percent: u32) {
        let earned = u64::from(percent) * ONE_MILLI / 100;
        self.milli = (self.milli + earned).min(self.reserve_milli);
    }

    /// Takes one retry, or says that none is left.
    pub fn take(&mut self) -> bool {
        let Some(rest) = self.milli.checked_sub(ONE_MILLI) else {
            return false;
        };
        self.milli = rest;
        true
    }
}

/// What is known about an attempt that brought no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Settlement {
    /// It did not run and never will.
    NotRun,
    /// It may have run.
    Unknown,
}

/// Whether another attempt may follow.
///
/// Only the entry of a chain retries (`depth` 0). If each of 8 hops tried three
/// times, one failing target at the end would see 3^8 attempts for one call.
/// The hops below pass the refusal up, where the one budget is.
#[must_use]
pub fn may_retry(
    settlement: Settlement,
    idempotent: bool,
    depth: u32,
    made: u32,
    allowed: u32,
) -> bool {
    if depth > 0 || made >= allowed {
        return false;
    }
    match settlement {
        Settlement::NotRun => true,
        Settlement::Unknown => idempotent,
    }
}

/// What the refused attempts of one call add up to.
///
/// An idempotent call is tried again although an attempt of it may have run. If
/// the last attempt finds nobody, its own refusal says "not run", which holds for
/// that attempt alone: the caller would take a call that ran for one that did not.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Attempts {
    may_have_run: Option<Refusal>,
}

impl Attempts {
    /// Takes in how an attempt was refused and returns how the call ends if no
    /// other one follows: as not run only where every attempt did not run.
    pub fn refused(&mut self, refusal: Refusal) -> Refusal {
        if refusal.outcome() != Outcome::NotRun {
            self.may_have_run = Some(refusal);
        }
        let Some(earlier) = self.may_have_run else {
            return refusal;
        };
        Refusal {
            reason: earlier.reason,
            retry_after: refusal.retry_after.or(earlier.retry_after),
        }
    }
}

/// Exponential back-off with full jitter, inside the deadline.
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
    /// Doubles from `base` up to `longest`.
    #[must_use]
    pub fn new(base: Duration, longest: Duration) -> Self {
        Self { base, longest }
    }

    /// Pause before the attempt after `made`, at least `floor`. `None` where the
    /// deadline would leave less than `needed` for the attempt itself: the
    /// refusal then goes out now instead of after a pointless wait.
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
        let pause = floor + ceiling.mul_f64(rng.random::<f64>());
        (pause + needed < left).then_some(pause)
    }
}
