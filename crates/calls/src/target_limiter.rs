//! Keeps the requests that an executor sends to its target within the rate that the target
//! states as its limit. See `docs/design/target-limits.md`.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::Time;
use crate::statement::{LimitStatement, RateLimit};

/// Requests of this time may be sent at once after a pause. Calls arrive unevenly, and without
/// it most of them would wait although the limit is not used up.
const BURST_TIME: Duration = Duration::from_millis(200);

/// Longest time between two requests, whatever the limit. The target states only in its answers
/// that its limit has changed, so a limit of zero would never end.
const MAX_INTERVAL: Duration = Duration::from_secs(2);

/// Time for which a limit holds after the last answer that named it. Answers of one target
/// overtake each other, so single ones without the limit don't end it.
const MIN_HOLD: Duration = Duration::from_secs(1);

/// Time in which the rate doubles once the target no longer names a limit. All calls at once
/// would make the target name it again.
const DOUBLING_TIME: Duration = Duration::from_secs(1);

/// Time after the end of a limit until the rate is unlimited: ten doublings, which no limit that
/// binds outlasts.
const RECOVERY_TIME: Duration = Duration::from_secs(10);

/// Longest time between two requests when the rate starts to rise.
const MAX_RECOVERY_INTERVAL: Duration = Duration::from_secs(1);

/// What an executor knows about the limit of its target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum KnownLimit {
    /// Nothing: no answer of this generation of the target has been seen.
    #[default]
    #[serde(rename = "u")]
    Unknown,
    /// The target states no limit.
    #[serde(rename = "n")]
    Unlimited,
    /// The target states this limit.
    #[serde(rename = "l")]
    Limited(RateLimit),
}

/// The rate at which an executor sends requests to its target, as reported to entries.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LimitReport {
    /// The limit that is known.
    pub known: KnownLimit,
    /// Time between two requests; zero if the rate is not limited.
    pub interval: Duration,
    /// Time until one more request may be sent, after those that wait.
    pub wait: Duration,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum State {
    #[default]
    Unknown,
    Unlimited,
    Limited {
        limit: RateLimit,
        named_at: Time,
    },
    /// The target no longer names the limit, and the rate rises.
    Recovering {
        limit: RateLimit,
        since: Time,
    },
}

/// Rate limiter of the requests to one generation of a target, by the generic cell rate
/// algorithm.
///
/// All requests to the target pass its executor, so the limit is kept whatever the entries know.
/// A restarted executor learns the limit from the first answer, or before it from an entry that
/// [was told](Self::adopt).
#[derive(Clone, Debug, Default)]
pub struct TargetLimiter {
    state: State,
    /// When the next request is due if none may be sent ahead of time.
    due_at: Time,
}

impl TargetLimiter {
    /// Forgets everything, for another generation of the target.
    pub fn reset(&mut self) {
        *self = Self::default();
    }

    /// Records what an answer states. An answer to a request that did not run may leave the
    /// limit out and must then not be recorded.
    pub fn record(&mut self, stated: LimitStatement, now: Time) {
        match (stated, self.state) {
            (LimitStatement::Limit(limit), _)
            | (LimitStatement::Invalid, State::Limited { limit, .. }) => self.limit(limit, now),
            (LimitStatement::Absent, State::Unknown) => self.state = State::Unlimited,
            (LimitStatement::Absent, State::Limited { limit, named_at })
                if now.saturating_sub(named_at) >= MIN_HOLD =>
            {
                self.state = State::Recovering { limit, since: now };
            }
            (LimitStatement::Invalid | LimitStatement::Absent, _) => {}
        }
    }

    /// Applies the limit that an entry was told, unless an answer has been seen since this
    /// process started.
    pub fn adopt(&mut self, limit: RateLimit, now: Time) {
        if self.state == State::Unknown {
            self.limit(limit, now);
        }
    }

    /// What is known about the limit.
    #[must_use]
    pub fn known(&self) -> KnownLimit {
        match self.state {
            State::Unknown => KnownLimit::Unknown,
            State::Unlimited | State::Recovering { .. } => KnownLimit::Unlimited,
            State::Limited { limit, .. } => KnownLimit::Limited(limit),
        }
    }

    /// Whether requests are limited now.
    #[must_use]
    pub fn is_active(&self, now: Time) -> bool {
        self.interval(now).is_some()
    }

    /// Time until a request may be sent that goes after `ahead` others.
    #[must_use]
    pub fn wait(&self, ahead: usize, now: Time) -> Duration {
        let Some(interval) = self.interval(now) else {
            return Duration::ZERO;
        };
        let ahead = u32::try_from(ahead).unwrap_or(u32::MAX);
        let due_at = self.due_at.max(now) + interval.saturating_mul(ahead);
        due_at.saturating_sub(now + tolerance(interval))
    }

    /// Records a request that is sent to the target now.
    pub fn record_sent(&mut self, now: Time) {
        if let Some(interval) = self.interval(now) {
            self.due_at = self.due_at.max(now) + interval;
        }
    }

    /// What entries are told, if `waiting` calls wait for the target.
    #[must_use]
    pub fn report(&self, waiting: usize, now: Time) -> LimitReport {
        LimitReport {
            known: self.known(),
            interval: self.interval(now).unwrap_or_default(),
            wait: self.wait(waiting, now),
        }
    }

    /// Limits the rate from now on. No request may be sent ahead of time at first: the target
    /// has just had those that went to it by the rate before, or before a restart of this process.
    fn limit(&mut self, limit: RateLimit, now: Time) {
        let before = self.interval(now);
        let wait = self.wait(0, now);
        let named_at = now;
        self.state = State::Limited { limit, named_at };
        if let Some(interval) = self.interval(now).filter(|it| before != Some(*it)) {
            let wait = before.map_or(interval, |_| wait.min(interval));
            self.due_at = now + wait + tolerance(interval);
        }
    }

    fn interval(&self, now: Time) -> Option<Duration> {
        match self.state {
            State::Unknown | State::Unlimited => None,
            State::Limited { limit, .. } => Some(limit.interval().min(MAX_INTERVAL)),
            State::Recovering { limit, since } => {
                let passed = now.saturating_sub(since);
                let doublings = passed.as_secs_f64() / DOUBLING_TIME.as_secs_f64();
                let first = limit.interval().min(MAX_RECOVERY_INTERVAL);
                (passed < RECOVERY_TIME).then(|| first.mul_f64((-doublings).exp2()))
            }
        }
    }
}

/// Time by which a request may be sent before it is due.
fn tolerance(interval: Duration) -> Duration {
    BURST_TIME.saturating_sub(interval)
}
