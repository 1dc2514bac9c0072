//! Until when the configuration that a daemon holds was the host's newest.
//!
//! A key that was taken away must not open anything for longer than a stated time, also at
//! a daemon that the host cannot reach. So a daemon acts on keys only while it knows that
//! its configuration was the newest a short time ago. All times are local steady ones that
//! go on while the instance is suspended; between daemons travel ages, not times.

use std::time::Duration;

use stoatstep_membership::Time;

/// Most by which two steady clocks drift apart, as a divisor: one part in a thousand.
const DRIFT: u32 = 1000;

/// When the configuration that is held was last known to be the host's newest.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Confirmation {
    at: Option<Time>,
}

impl Confirmation {
    /// It was the newest at this time.
    pub fn confirm(&mut self, at: Time) {
        self.at = self.at.max(Some(at));
    }

    /// A peer that was asked at `asked_at` said that a configuration no newer than the one
    /// held here was the newest `age` ago. Its answer came later than the question, so it
    /// was so `age` before the question at the earliest.
    pub fn confirm_by_peer(&mut self, asked_at: Time, age: Duration) {
        let allowed = age + age / DRIFT;
        if let Some(at) = asked_at.checked_sub(allowed) {
            self.confirm(at);
        }
    }

    /// Time since then.
    #[must_use]
    pub fn age(&self, now: Time) -> Option<Duration> {
        self.at.map(|at| now.saturating_sub(at))
    }

    /// Whether that is less than `bound` ago, whatever the drift of the clocks.
    #[must_use]
    pub fn is_within(&self, bound: Duration, now: Time) -> bool {
        self.age(now).is_some_and(|age| age + age / DRIFT < bound)
    }
}

/// Tells when an answer of the host was given, in local time.
///
/// An answer that waited for a change says nothing by when it was asked for. But the host
/// tells its own clock in each answer: the time that passed there since an earlier answer
/// passed here as well.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreClock {
    anchor: Option<Anchor>,
}

/// An answer that was given at `local` at the earliest, when the host's clock showed `host`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Anchor {
    local: Time,
    host: Duration,
}

impl StoreClock {
    /// The earliest time at which an answer was given that was asked for at `asked_at` and
    /// came at `now`.
    pub fn given_at(&mut self, asked_at: Time, now: Time, host: Option<Duration>) -> Time {
        let Some(host) = host else {
            return asked_at;
        };
        let by_anchor = self.anchor.and_then(|it| it.reads(host));
        let earliest = asked_at.max(by_anchor.unwrap_or_default()).min(now);
        if by_anchor.is_none_or(|it| it <= asked_at) {
            self.anchor = Some(Anchor {
                local: asked_at,
                host,
            });
        }
        earliest
    }

    /// Forgets what the host's clock showed: it may have begun anew.
    pub fn reset(&mut self) {
        self.anchor = None;
    }
}

impl Anchor {
    /// The earliest local time when the host's clock shows `host`; none where it went back.
    fn reads(&self, host: Duration) -> Option<Time> {
        let passed = host.checked_sub(self.host)?;
        Some(self.local + passed.saturating_sub(passed / DRIFT))
    }
}
