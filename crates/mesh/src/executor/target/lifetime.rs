//! How long idle connections to the target last, as far as their failures tell.

use std::time::Duration;

use stoatstep_calls::Time;

/// A connection that was idle for less has hardly been dropped for that: its
/// failure says something about the request or the target.
const LEAST_IDLE: Duration = Duration::from_millis(100);

/// Longest time from a request to the reset of a connection that was gone
/// before. The target is on this instance, where a reset comes within 1 ms.
const RESET_TIME: Duration = Duration::from_millis(5);

/// How long a failure is remembered. The target may drop connections for a
/// while only, and each time this ends costs one call where it still does.
const MEMORY: Duration = Duration::from_mins(1);

/// Idle time after which connections are not used again.
///
/// A target can drop idle connections without notice. Whatever is sent on one
/// next is reset, and its outcome is unknown, since a target that dies resets
/// connections too. With many idle connections each would cost a call; here the
/// first one tells the age of those that are to be left alone.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Lifetime {
    learned: Option<Learned>,
}

#[derive(Clone, Copy, Debug)]
struct Learned {
    limit: Duration,
    until: Time,
}

impl Lifetime {
    /// Whether a connection that has been idle for `idle` may be used.
    pub(super) fn allows(&self, idle: Duration, now: Time) -> bool {
        self.learned(now).is_none_or(|it| idle < it.limit)
    }

    /// A connection that had been idle for `idle` failed `took` after a request
    /// was sent on it, without a byte of an answer. Returns the new limit where
    /// that tells one.
    pub(super) fn failed(&mut self, idle: Duration, took: Duration, now: Time) -> Option<Duration> {
        if idle < LEAST_IDLE || took > RESET_TIME {
            return None;
        }
        // When exactly it was dropped is not known: half of its idle time is a
        // guess that a later failure halves once more.
        let limit = idle / 2;
        let known = self.learned(now).map(|it| it.limit);
        let limit = known.map_or(limit, |it| it.min(limit));
        let until = now + MEMORY;
        self.learned = Some(Learned { limit, until });
        Some(limit)
    }

    fn learned(&self, now: Time) -> Option<Learned> {
        self.learned.filter(|it| now < it.until)
    }
}
