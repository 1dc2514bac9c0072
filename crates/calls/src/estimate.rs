//! Running estimate of a duration.

use std::time::Duration;

/// Share of a new sample in the mean, as a divisor (the smoothing of TCP's
/// round-trip estimate).
const MEAN_GAIN: u32 = 8;

/// Share of a new sample in the deviation, as a divisor.
const DEVIATION_GAIN: u32 = 4;

/// Exponentially weighted mean and mean deviation of the samples.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Estimate {
    mean: Option<Duration>,
    deviation: Duration,
}

impl Estimate {
    /// Takes in one sample.
    pub fn record(&mut self, sample: Duration) {
        let Some(mean) = self.mean else {
            self.mean = Some(sample);
            self.deviation = sample / 2;
            return;
        };
        let off = mean.abs_diff(sample);
        if sample < mean / 2 {
            // A target that was frozen and is well again must not be judged by
            // the freeze for long: it would get no calls to show that by.
            self.deviation = blend(self.deviation, off, DEVIATION_GAIN);
            self.mean = Some((mean + sample) / 2);
            return;
        }
        self.deviation = blend(self.deviation, off, DEVIATION_GAIN);
        self.mean = Some(blend(mean, sample, MEAN_GAIN));
    }

    /// The mean; zero before the first sample, so that nothing is refused on a
    /// guess.
    #[must_use]
    pub fn mean(&self) -> Duration {
        self.mean.unwrap_or_default()
    }

    /// A value that few samples exceed.
    #[must_use]
    pub fn high(&self) -> Duration {
        self.mean() + self.deviation * 4
    }
}

fn blend(old: Duration, new: Duration, gain: u32) -> Duration {
    old.saturating_sub(old / gain) + new / gain
}
