//! Graceful shutdown of a daemon while callers still send calls to it.
//!
//! Callers keep using their open connections until they notice that the daemon is
//! not ready any more. A daemon that shuts down therefore still accepts calls and
//! closes each connection after its answer. Refusing all of them would lose calls
//! that it has time for.

use std::time::Duration;

use crate::ids::Time;

/// Time in which callers and peers notice the shutdown: two readiness checks one
/// second apart, and half a second for the answer to a check.
const NOTICE_TIME: Duration = Duration::from_millis(2500);

/// Time before the end of the grace period at which the process exits in any case,
/// so that it writes its last answers and is not killed.
const EXIT_MARGIN: Duration = Duration::from_millis(600);

/// Time before the exit by which answers have to reach this daemon, so that it can write them to
/// its callers.
const WRITE_TIME: Duration = Duration::from_millis(200);

/// Divisor of the grace period. After this part of it, only calls are accepted whose
/// deadlines are within the period. Before, callers may not have noticed the
/// shutdown, and most calls end long before their deadlines.
const EARLY_DIVISOR: u32 = 2;

/// Whether a daemon is shutting down, and which calls it still accepts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Shutdown {
    grace: Duration,
    begun: Option<Time>,
}

impl Shutdown {
    /// Creates the state of a serving daemon that will be killed `grace` after it was
    /// told to stop.
    #[must_use]
    pub fn new(grace: Duration) -> Self {
        Self { grace, begun: None }
    }

    /// Begins the shutdown. Further calls change nothing.
    pub fn begin(&mut self, now: Time) {
        self.begun = self.begun.or(Some(now));
    }

    /// Returns whether the shutdown has begun.
    #[must_use]
    pub fn has_begun(&self) -> bool {
        self.begun.is_some()
    }

    /// Returns whether a call with the deadline `expires` is accepted.
    ///
    /// An accepted call that is still running when the process exits is lost: its
    /// caller sees a closed connection and cannot tell whether it ran. Late in the
    /// grace period, only calls whose deadlines are before the exit are accepted. The
    /// others are refused as not run, which is certain at that point.
    #[must_use]
    pub fn accepts(&self, expires: Time, now: Time) -> bool {
        let Some(begun) = self.begun else {
            return true;
        };
        now < begun + self.grace / EARLY_DIVISOR || expires <= self.exit_time(begun)
    }

    /// Returns the time by which a call with the deadline `expires` has to be answered: its
    /// deadline, or earlier if this daemon exits before it.
    #[must_use]
    pub fn answer_by(&self, expires: Time) -> Time {
        self.answers_due().map_or(expires, |it| it.min(expires))
    }

    /// Returns the time by which all answers have to reach this daemon; `None` if it is not
    /// shutting down.
    #[must_use]
    pub fn answers_due(&self) -> Option<Time> {
        let begun = self.begun?;
        Some(self.exit_time(begun).saturating_sub(WRITE_TIME))
    }

    /// Returns whether the process may exit while `in_flight` calls are unanswered.
    #[must_use]
    pub fn may_exit(&self, in_flight: u32, now: Time) -> bool {
        let Some(begun) = self.begun else {
            return false;
        };
        let is_idle = in_flight == 0 && now >= begun + NOTICE_TIME;
        is_idle || now >= self.exit_time(begun)
    }

    fn exit_time(&self, begun: Time) -> Time {
        begun + self.grace.saturating_sub(EXIT_MARGIN)
    }
}
