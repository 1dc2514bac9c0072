//! How long a call may still take.

use std::time::Duration;

use crate::ids::Time;

/// Longest deadline that a daemon accepts. The ledger's and the tickets' memory
/// is sized by it.
const LONGEST: Duration = Duration::from_mins(1);

/// Least time held back at each hop for the answer's way back.
const LEAST_MARGIN: Duration = Duration::from_micros(500);

/// Largest share of the time left that the margin takes, as a divisor. With 8
/// hops and a deadline of a few milliseconds a fixed margin would eat it all.
const MARGIN_SHARE: u32 = 16;

/// The moment at which a caller stops waiting, on this process's own clock.
///
/// Only the time *left* travels between machines: their clocks are not
/// comparable, and each hop subtracts what it spent itself. The time on the
/// wire is not seen by either end, which is what the margin is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Deadline {
    expires: Time,
}

impl Deadline {
    /// The deadline `left` from `now`, at most a minute.
    #[must_use]
    pub fn after(left: Duration, now: Time) -> Self {
        let expires = now + left.min(LONGEST);
        Self { expires }
    }

    /// When it passes, on this process's clock.
    #[must_use]
    pub fn expires(self) -> Time {
        self.expires
    }

    /// Time left; zero once it has passed.
    #[must_use]
    pub fn left(self, now: Time) -> Duration {
        self.expires.saturating_sub(now)
    }

    /// Whether it has passed.
    #[must_use]
    pub fn passed(self, now: Time) -> bool {
        self.left(now).is_zero()
    }

    /// Time that the next hop may use, or `None` where nothing is left for it.
    /// Without the margin the last hop's answer would be in time there and late
    /// everywhere else: work done for a caller that has gone.
    #[must_use]
    pub fn for_next_hop(self, now: Time) -> Option<Duration> {
        let left = self.left(now);
        let margin = LEAST_MARGIN.min(left / MARGIN_SHARE);
        let given = left.saturating_sub(margin);
        (!given.is_zero()).then_some(given)
    }
}
