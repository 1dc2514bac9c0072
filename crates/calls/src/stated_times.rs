//! The times that callers state in their first tries of a route's calls.
//!
//! A caller whose first try went to another daemon, or ended without a refusal, is not
//! [recognised](crate::ReturningCalls) when it comes back. It states less than first tries do.

use std::time::Duration;

/// Share of first tries that state less than the learnt time. Callers that state far less than
/// others, on purpose or not, do not move it as long as they are fewer.
const QUANTILE: f64 = 0.05;

/// Size of the steps by which the learnt time moves, as a share of it.
const GAIN: f64 = 0.02;

/// Number of tries after which the learnt time is used.
const MIN_SAMPLES: u32 = 30;

/// The time that nearly all first tries of one route state at least.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StatedTimes {
    low_s: f64,
    samples: u32,
}

impl StatedTimes {
    /// Records the time that a call states which is not known to be a later try.
    pub fn record(&mut self, stated: Duration) {
        let stated = stated.as_secs_f64();
        self.samples = self.samples.saturating_add(1);
        if self.samples == 1 {
            self.low_s = stated;
        }
        if stated < self.low_s {
            self.low_s -= GAIN * self.low_s * (1.0 - QUANTILE);
        } else {
            self.low_s += GAIN * stated * QUANTILE;
        }
    }

    /// The time that the caller of a call has already waited, if it states less than first tries.
    #[must_use]
    pub fn spent(&self, stated: Duration) -> Duration {
        if self.samples < MIN_SAMPLES {
            return Duration::ZERO;
        }
        let low = Duration::try_from_secs_f64(self.low_s).unwrap_or_default();
        low.saturating_sub(stated)
    }
}
