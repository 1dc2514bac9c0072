//! Learns from failures how long the target keeps idle connections.

use std::time::Duration;

use stoatstep_calls::Time;

/// Shortest idle time for which a target is assumed to drop a connection. If one that was
/// idle for less fails, the cause is the request or the target.
const MIN_IDLE: Duration = Duration::from_millis(100);

/// Longest time from sending a request to the reset of a connection that the target had
/// already dropped. The target is on this instance, where a reset arrives within 1 ms.
const MAX_RESET_TIME: Duration = Duration::from_millis(5);

/// How long a learned limit is valid. The target may drop connections only for a while. If
/// it still does when the limit expires, one call fails.
const LIMIT_VALIDITY: Duration = Duration::from_mins(1);

/// Idle time after which connections are not reused.
///
/// A target may drop idle connections without notice. The next request on such a connection
/// is reset, and its outcome is unknown, since a target that crashes resets connections too.
/// Every dropped connection would fail one call; here the first failure limits the idle time
/// of the others.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct IdleLimit {
    learned: Option<LearnedLimit>,
}

#[derive(Clone, Copy, Debug)]
struct LearnedLimit {
    limit: Duration,
    until: Time,
}

impl IdleLimit {
    /// Whether a connection that has been idle for `idle` may be used.
    pub(super) fn allows(&self, idle: Duration, now: Time) -> bool {
        self.learned(now).is_none_or(|it| idle < it.limit)
    }

    /// Records that a connection which had been idle for `idle` failed `took` after a request
    /// was sent on it, without a byte of an answer. Returns the new limit if the failure
    /// suggests that the target had dropped the connection.
    pub(super) fn failed(&mut self, idle: Duration, took: Duration, now: Time) -> Option<Duration> {
        if idle < MIN_IDLE || took > MAX_RESET_TIME {
            return None;
        }
        // When exactly the connection was dropped is unknown. Half of its idle time is an
        // estimate that a later failure halves again.
        let limit = idle / 2;
        let known = self.learned(now).map(|it| it.limit);
        let limit = known.map_or(limit, |it| it.min(limit));
        let until = now + LIMIT_VALIDITY;
        self.learned = Some(LearnedLimit { limit, until });
        Some(limit)
    }

    fn learned(&self, now: Time) -> Option<LearnedLimit> {
        self.learned.filter(|it| now < it.until)
    }
}
