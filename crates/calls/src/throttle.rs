//! Adaptive throttling of a route whose recent calls mostly failed.
//!
//! A target may call other services while it handles a call. If one of those is
//! overloaded, the target fails after it has done most of its work, and its calls to the
//! other services are wasted too. Refusing some of the calls at the entry leaves the
//! overloaded service enough capacity for the rest.

use std::time::Duration;

use crate::ids::Time;

/// Calls admitted for each success. Below 2, calls would be refused while one of a few
/// targets fails and the others work. At 2, up to half of the work can be wasted before
/// any call is refused.
const ADMITTED_PER_SUCCESS: f64 = 2.0;

/// Time constant with which the counts decay. A busy route has some dozens of calls in
/// that time. The number of admitted calls doubles in that time once all of them succeed.
const DECAY_TIME: Duration = Duration::from_secs(1);

/// Calls that are always admitted, so that a route with few calls is not throttled after
/// one or two failures.
const ALWAYS_ADMITTED: f64 = 5.0;

/// Recent calls of one route at one entry, and how many of them succeeded.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Throttle {
    requests: f64,
    successes: f64,
    updated_at: Time,
}

impl Throttle {
    /// Whether a call is admitted; `draw` is a random number from 0 to 1. Refused calls
    /// count as requests too, so the refused share grows until most of the admitted calls
    /// succeed.
    pub fn admits(&mut self, draw: f64, now: Time) -> bool {
        self.decay(now);
        self.requests += 1.0;
        let excess = self.requests - ADMITTED_PER_SUCCESS * self.successes - ALWAYS_ADMITTED;
        draw >= excess / self.requests
    }

    /// Whether a call of a route is admitted whose calls may wait for long. Calls under way don't
    /// count: as many of them as a burst brings would look like failures until they end.
    /// Admitted calls count once they [end](Self::record_end).
    pub fn admits_waiting(&mut self, draw: f64, now: Time) -> bool {
        self.decay(now);
        let excess = self.requests - ADMITTED_PER_SUCCESS * self.successes - ALWAYS_ADMITTED;
        let is_admitted = draw >= excess / self.requests.max(1.0);
        self.requests += f64::from(u8::from(!is_admitted));
        is_admitted
    }

    /// A call that [`admits_waiting`](Self::admits_waiting) admitted was run by its target.
    pub fn record_end(&mut self, is_success: bool, now: Time) {
        self.decay(now);
        self.requests += 1.0;
        self.successes += f64::from(u8::from(is_success));
    }

    /// An admitted call ended in another way than by a failure of its target.
    pub fn record_success(&mut self, now: Time) {
        self.decay(now);
        self.successes += 1.0;
    }

    /// An admitted call ended in a way that says nothing about its target, so it is no
    /// longer counted.
    pub fn discard_request(&mut self) {
        self.requests = (self.requests - 1.0).max(0.0);
    }

    /// Recent requests; older ones have less weight.
    #[must_use]
    pub fn requests(&self) -> f64 {
        self.requests
    }

    /// Recent successes; older ones have less weight.
    #[must_use]
    pub fn successes(&self) -> f64 {
        self.successes
    }

    fn decay(&mut self, now: Time) {
        let passed = now.saturating_sub(self.updated_at);
        let kept = (-passed.as_secs_f64() / DECAY_TIME.as_secs_f64()).exp();
        self.requests *= kept;
        self.successes *= kept;
        self.updated_at = now;
    }
}
