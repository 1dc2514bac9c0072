//! What customers were lately served, for their order while there is too little room.
//!
//! It answers contention in which one customer asks for a multiple of the others. If the customer
//! that was served least goes first, customers get max-min shares of the room, however much that
//! is: one that asks for little is served, and the large ones share the rest.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::Duration;

use crate::ids::Time;
use crate::recent_load::Decayed;

/// Time constant of the served rate: a customer that had a burst is behind the others for some
/// seconds afterwards.
const DECAY_TIME: Duration = Duration::from_secs(2);

/// Age at which the rate in another zone expires.
const MAX_AGE: Duration = Duration::from_secs(3);

/// Served rate of a customer in steps of powers of two, which are compared: customers whose rates
/// differ by less are served in the order of their kinds and deadlines.
pub type UsageLevel = u8;

/// Returns the level of a rate in calls per second.
#[must_use]
pub fn usage_level(calls_per_s: f64) -> UsageLevel {
    let mut reached = 0..UsageLevel::MAX;
    let exceeds = |level: &UsageLevel| calls_per_s >= f64::from(*level).exp2();
    reached
        .find(|level| !exceeds(level))
        .unwrap_or(UsageLevel::MAX)
}

/// What one customer was served, as its home in one zone knows it. `K` identifies the homes of
/// other zones.
#[derive(Clone, Debug)]
pub struct CustomerUsage<K> {
    own: Decayed,
    others: HashMap<K, (f64, Time)>,
}

impl<K> Default for CustomerUsage<K> {
    fn default() -> Self {
        Self {
            own: Decayed::default(),
            others: HashMap::new(),
        }
    }
}

impl<K: Eq + Hash> CustomerUsage<K> {
    /// Records calls that may run.
    pub fn record(&mut self, calls: u32, now: Time) {
        self.own.record(f64::from(calls), DECAY_TIME, now);
    }

    /// Calls per second in the own zone.
    #[must_use]
    pub fn own_rate(&self, now: Time) -> f64 {
        self.own.per_second(DECAY_TIME, now)
    }

    /// Records the rate that the home of another zone states.
    pub fn record_other(&mut self, home: K, calls_per_s: f64, now: Time) {
        if calls_per_s.is_finite() {
            self.others.insert(home, (calls_per_s.max(0.0), now));
        }
    }

    /// The level of all zones together, as far as their rates are known.
    pub fn level(&mut self, now: Time) -> UsageLevel {
        let is_recent = |at: Time| now.saturating_sub(at) < MAX_AGE;
        self.others.retain(|_, (_, at)| is_recent(*at));
        let others: f64 = self.others.values().map(|(rate, _)| rate).sum();
        usage_level(self.own_rate(now) + others)
    }
}
