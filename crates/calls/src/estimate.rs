//! Exponentially weighted estimate of a duration.

use std::time::Duration;

/// Divisor that gives the weight of a new sample in the mean, as in TCP's round-trip
/// time estimate.
const MEAN_GAIN: u32 = 8;

/// Divisor that gives the weight of a new sample in the deviation.
const DEVIATION_GAIN: u32 = 4;

/// Exponentially weighted mean and mean deviation of the samples.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Estimate {
    mean: Option<Duration>,
    deviation: Duration,
}

impl Estimate {
    /// Adds one sample.
    pub fn record(&mut self, sample: Duration) {
        let Some(mean) = self.mean else {
            self.mean = Some(sample);
            self.deviation = sample / 2;
            return;
        };
        let difference = mean.abs_diff(sample);
        if sample < mean / 2 {
            // The mean falls quickly, because a target that has recovered from a freeze
            // would otherwise get no calls that could correct the estimate.
            self.deviation = blend(self.deviation, difference, DEVIATION_GAIN);
            self.mean = Some((mean + sample) / 2);
            return;
        }
        self.deviation = blend(self.deviation, difference, DEVIATION_GAIN);
        self.mean = Some(blend(mean, sample, MEAN_GAIN));
    }

    /// The mean. It is zero before the first sample, so that no call is refused without a
    /// measurement.
    #[must_use]
    pub fn mean(&self) -> Duration {
        self.mean.unwrap_or_default()
    }

    /// The mean plus four deviations, which few samples exceed.
    #[must_use]
    pub fn high(&self) -> Duration {
        self.mean() + self.deviation * 4
    }
}

fn blend(old: Duration, new: Duration, gain: u32) -> Duration {
    old.saturating_sub(old / gain) + new / gain
}
