//! What the answers of a route are like.
//!
//! Nothing in a request tells how long it will run or how many bytes its answer will
//! have, and routes to one service differ in both by a factor of ten and more. Answers
//! of one route are alike, so those before tell it well enough to decide where a call
//! goes.

use std::time::Duration;

use crate::estimate::Estimate;

/// Weight of a new size in the mean, once there are enough. Sizes of one route vary by
/// their mean, and the mean itself hardly changes.
const SIZE_GAIN: f64 = 1.0 / 32.0;

/// Answers of one route, as one entry sees them.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Answers {
    bytes: f64,
    samples: u32,
    run: Estimate,
}

impl Answers {
    /// An answer had a body of so many bytes, after a run of `run`.
    pub fn record(&mut self, bytes: usize, run: Duration) {
        self.samples = self.samples.saturating_add(1);
        let gain = SIZE_GAIN.max(1.0 / f64::from(self.samples));
        let bytes = u32::try_from(bytes).unwrap_or(u32::MAX);
        self.bytes += (f64::from(bytes) - self.bytes) * gain;
        self.run.record(run);
    }

    /// Mean bytes of a body; zero before the first answer, so that a call whose size is
    /// not known is placed like a small one.
    #[must_use]
    pub fn bytes(&self) -> f64 {
        self.bytes
    }

    /// Mean time of a run, if one was seen.
    #[must_use]
    pub fn run(&self) -> Option<Duration> {
        (self.samples > 0).then(|| self.run.mean())
    }
}
