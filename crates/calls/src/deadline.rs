//! Deadlines of calls.

use std::time::Duration;

use crate::ids::Time;

/// Longest deadline that a daemon accepts. The limits of the ledger and of its
/// tickets depend on it.
const MAX_DEADLINE: Duration = Duration::from_mins(1);

/// Largest margin that a hop reserves for the way back of the answer.
const MAX_MARGIN: Duration = Duration::from_micros(500);

/// Divisor that bounds the margin to a fraction of the remaining time. With 8
/// hops and a deadline of a few milliseconds, a fixed margin would use it up.
const MARGIN_DIVISOR: u32 = 16;

/// The time at which a caller stops waiting, on this process's own clock.
///
/// Only the *remaining* time is sent between machines, because their clocks are not
/// comparable. Each hop subtracts the time that it took itself. Neither end can
/// measure the time on the network; the margin covers it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Deadline {
    expires: Time,
}

impl Deadline {
    /// Creates a deadline that expires `left` after `now`, but at most one minute after.
    #[must_use]
    pub fn after(left: Duration, now: Time) -> Self {
        let expires = now + left.min(MAX_DEADLINE);
        Self { expires }
    }

    /// Returns when the deadline passes, on this process's clock.
    #[must_use]
    pub fn expires(self) -> Time {
        self.expires
    }

    /// Returns the remaining time, which is zero once the deadline has passed.
    #[must_use]
    pub fn left(self, now: Time) -> Duration {
        self.expires.saturating_sub(now)
    }

    /// Returns whether the deadline has passed.
    #[must_use]
    pub fn passed(self, now: Time) -> bool {
        self.left(now).is_zero()
    }

    /// Returns the time that the next hop may use, or `None` if there is none left.
    /// Without the margin, the last hop could finish in time while its answer reaches
    /// the other hops too late, so that it worked for a caller that has gone.
    #[must_use]
    pub fn for_next_hop(self, now: Time) -> Option<Duration> {
        let left = self.left(now);
        let margin = MAX_MARGIN.min(left / MARGIN_DIVISOR);
        let for_hop = left.saturating_sub(margin);
        (!for_hop.is_zero()).then_some(for_hop)
    }
}
