//! Load that was admitted in the last seconds, from which the near future is forecast.

use std::time::Duration;

use crate::ids::Time;

/// Time constant of the present load.
const PRESENT: Duration = Duration::from_secs(1);

/// Time constant of the usual load: longer than bursts, which last for some seconds, so that a
/// burst is not taken for what follows it.
const USUAL: Duration = Duration::from_secs(8);

/// Amounts that were admitted, such as run time or bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct RecentLoad {
    present: Decayed,
    usual: Decayed,
}

impl RecentLoad {
    pub(crate) fn record(&mut self, amount: f64, now: Time) {
        self.present.record(amount, PRESENT, now);
        self.usual.record(amount, USUAL, now);
    }

    /// The amount per second that the next seconds are not expected to exceed. For what is promised
    /// and can't be taken back.
    pub(crate) fn most_per_second(&self, now: Time) -> f64 {
        let present = self.present.per_second(PRESENT, now);
        present.max(self.usual.per_second(USUAL, now))
    }

    /// The amount per second that is expected for the next seconds. A burst ends, and when it has
    /// ended, what was before it matters no longer.
    pub(crate) fn expected_per_second(&self, now: Time) -> f64 {
        let present = self.present.per_second(PRESENT, now);
        present.min(self.usual.per_second(USUAL, now))
    }
}

/// Exponentially decayed sum of amounts.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Decayed {
    sum: f64,
    updated_at: Time,
}

impl Decayed {
    pub(crate) fn record(&mut self, amount: f64, decay: Duration, now: Time) {
        self.sum = self.sum(decay, now) + amount;
        self.updated_at = self.updated_at.max(now);
    }

    pub(crate) fn per_second(&self, decay: Duration, now: Time) -> f64 {
        self.sum(decay, now) / decay.as_secs_f64()
    }

    fn sum(&self, decay: Duration, now: Time) -> f64 {
        let passed = now.saturating_sub(self.updated_at);
        self.sum * (-passed.as_secs_f64() / decay.as_secs_f64()).exp()
    }
}
