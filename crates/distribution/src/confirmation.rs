//! The time until which the configuration that a daemon holds was known to be the store's newest.
//!
//! A revoked key must stop working within a stated time, even at a daemon that cannot reach the
//! store. A daemon therefore accepts keys only while it knows that its configuration was the newest
//! a short time ago. All times are local and monotonic, and continue while the instance is
//! suspended; daemons send each other ages, not times.

use std::time::Duration;

use stoatstep_membership::Time;

/// Maximum drift of two monotonic clocks, as a divisor: one part in a thousand.
const DRIFT: u32 = 1000;

/// The last time at which the configuration that is held was known to be the store's newest.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Confirmation {
    at: Option<Time>,
}

impl Confirmation {
    /// Records that the configuration was the newest at this time.
    pub fn confirm(&mut self, at: Time) {
        self.at = self.at.max(Some(at));
    }

    /// Records a peer's answer to a question that was sent at `asked_at`: a configuration no newer
    /// than the one held here was the newest `age` ago. The peer answered after the question was
    /// sent, so the configuration was the newest no earlier than `age` before the question.
    pub fn confirm_by_peer(&mut self, asked_at: Time, age: Duration) {
        let allowed = age + age / DRIFT;
        if let Some(at) = asked_at.checked_sub(allowed) {
            self.confirm(at);
        }
    }

    /// Returns the time since the last confirmation.
    #[must_use]
    pub fn age(&self, now: Time) -> Option<Duration> {
        self.at.map(|at| now.saturating_sub(at))
    }

    /// Returns whether the last confirmation is younger than `bound`, whatever the drift of the
    /// clocks.
    #[must_use]
    pub fn is_within(&self, bound: Duration, now: Time) -> bool {
        self.age(now).is_some_and(|age| age + age / DRIFT < bound)
    }
}

/// Finds the local time at which an answer of the store was given.
///
/// The time of the request says little about an answer that waited for a change. But the store
/// includes the reading of its own clock in each answer: the time that passed there since an
/// earlier answer passed here as well.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreClock {
    anchor: Option<Anchor>,
}

/// An answer that was given no earlier than `local`, when the store's clock read `store_time`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Anchor {
    local: Time,
    store_time: Duration,
}

impl StoreClock {
    /// Returns the earliest time at which an answer was given whose request was sent at `asked_at`
    /// and that was received at `now`.
    pub fn given_at(&mut self, asked_at: Time, now: Time, store_time: Option<Duration>) -> Time {
        let Some(store_time) = store_time else {
            return asked_at;
        };
        let by_anchor = self.anchor.and_then(|it| it.local_time_at(store_time));
        let earliest = asked_at.max(by_anchor.unwrap_or_default()).min(now);
        if by_anchor.is_none_or(|it| it <= asked_at) {
            self.anchor = Some(Anchor {
                local: asked_at,
                store_time,
            });
        }
        earliest
    }

    /// Drops the anchor, because the store's clock may have restarted.
    pub fn reset(&mut self) {
        self.anchor = None;
    }
}

impl Anchor {
    /// Returns the earliest local time at which the store's clock reads `store_time`; `None` if the
    /// clock went back.
    fn local_time_at(&self, store_time: Duration) -> Option<Time> {
        let passed = store_time.checked_sub(self.store_time)?;
        Some(self.local + passed.saturating_sub(passed / DRIFT))
    }
}
