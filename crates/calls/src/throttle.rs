//! Calls that are better not started, told by how those before them ended.
//!
//! A target may need calls of its own to other services. Where one of those is
//! overloaded, the target answers with a failure after it has done most of its
//! work, and what its other calls used is wasted as well. Refusing part of the
//! calls where they enter leaves the overloaded service room for the rest.

use std::time::Duration;

use crate::ids::Time;

/// Calls let through for each good answer. Below 2, calls are refused while one
/// of a few targets fails and the others do well; at 2, half of the work may be
/// wasted before any is.
const THROUGH_FOR_EACH_GOOD: f64 = 2.0;

/// Time in which what was seen loses most of its weight: some dozens of calls of
/// a busy route. What is let through doubles in it once all of it succeeds.
const MEMORY: Duration = Duration::from_secs(1);

/// Calls that are let through whatever became of those before them, so that a
/// route with few calls is never refused for one or two failures.
const ALWAYS: f64 = 5.0;

/// How the calls of one route ended lately, as one entry sees them.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Throttle {
    asked: f64,
    good: f64,
    at: Time,
}

impl Throttle {
    /// Whether a call is let through; `draw` is a random number from 0 to 1. All
    /// calls count as asked, also those that are refused, so the share that is
    /// refused grows until what is let through mostly succeeds.
    pub fn admits(&mut self, draw: f64, now: Time) -> bool {
        self.forget(now);
        self.asked += 1.0;
        let excess = self.asked - THROUGH_FOR_EACH_GOOD * self.good - ALWAYS;
        draw >= excess / self.asked
    }

    /// A call ended otherwise than by a failure of its target.
    pub fn good(&mut self, now: Time) {
        self.forget(now);
        self.good += 1.0;
    }

    /// A call ended without telling anything about its target.
    pub fn unknown(&mut self) {
        self.asked = (self.asked - 1.0).max(0.0);
    }

    /// Calls asked for lately; older ones weigh less.
    #[must_use]
    pub fn asked(&self) -> f64 {
        self.asked
    }

    /// Those of them that ended well.
    #[must_use]
    pub fn ended_well(&self) -> f64 {
        self.good
    }

    fn forget(&mut self, now: Time) {
        let passed = now.saturating_sub(self.at);
        let kept = (-passed.as_secs_f64() / MEMORY.as_secs_f64()).exp();
        self.asked *= kept;
        self.good *= kept;
        self.at = now;
    }
}
