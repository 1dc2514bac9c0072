//! Stop of a daemon whose callers have to be weaned off it.
//!
//! Callers keep connections open and go on using them until they notice that
//! the daemon is not ready, so a daemon that stops still takes calls and ends
//! each connection with its answer. Refusing them all would lose calls that it
//! has time for.

use std::time::Duration;

use crate::ids::Time;

/// Time in which callers and peers notice: two checks of readiness, a second
/// apart, and the half second that an answer to one may take.
const LINGER: Duration = Duration::from_millis(2500);

/// What is left of the grace when the process ends in any case, so that it ends
/// by itself and its last answers are written.
const MARGIN: Duration = Duration::from_millis(600);

/// Share of the grace, as a divisor, after which only calls are taken that end
/// within it. Until then callers may not have noticed, and most calls end long
/// before their deadlines.
const EARLY: u32 = 2;

/// Whether a daemon stops, and what it still takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Departure {
    grace: Duration,
    begun: Option<Time>,
}

impl Departure {
    /// A serving daemon that has `grace` between the word to stop and its end by
    /// force.
    #[must_use]
    pub fn new(grace: Duration) -> Self {
        Self { grace, begun: None }
    }

    /// The daemon was told to stop; a second word changes nothing.
    pub fn begin(&mut self, now: Time) {
        self.begun = self.begun.or(Some(now));
    }

    /// Whether it was told to stop.
    #[must_use]
    pub fn has_begun(&self) -> bool {
        self.begun.is_some()
    }

    /// Whether a call that may last until `expires` is taken.
    ///
    /// A call that is taken and still runs when the process ends is lost: its
    /// caller sees a closed connection and cannot tell whether it ran. Late in
    /// the grace only calls are taken that end before it in any case; the others
    /// are refused as not run, which is true.
    #[must_use]
    pub fn takes(&self, expires: Time, now: Time) -> bool {
        let Some(begun) = self.begun else {
            return true;
        };
        now < begun + self.grace / EARLY || expires <= self.end(begun)
    }

    /// Whether the process may end, with `in_flight` calls that are not answered
    /// yet.
    #[must_use]
    pub fn may_end(&self, in_flight: u32, now: Time) -> bool {
        let Some(begun) = self.begun else {
            return false;
        };
        let is_idle = in_flight == 0 && now >= begun + LINGER;
        is_idle || now >= self.end(begun)
    }

    fn end(&self, begun: Time) -> Time {
        begun + self.grace.saturating_sub(MARGIN)
    }
}
