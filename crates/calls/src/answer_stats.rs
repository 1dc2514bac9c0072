//! Statistics on the answers of a route.
//!
//! A request does not tell how long it will run or how large its answer will be, and the
//! routes of one service differ in both by a factor of ten and more. Answers of one route
//! are similar, so earlier answers predict both well enough for placing a call.

use std::time::Duration;

use crate::estimate::Estimate;

/// Minimum weight of a new size in the mean. Single sizes of one route deviate from their
/// mean by as much as the mean itself, while the mean hardly changes over time.
const SIZE_GAIN: f64 = 1.0 / 32.0;

/// Mean size and run time of the answers of one route.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AnswerStats {
    mean_bytes: f64,
    samples: u32,
    run: Estimate,
}

impl AnswerStats {
    /// Records an answer with a body of `bytes` bytes after a run time of `run`.
    pub fn record(&mut self, bytes: usize, run: Duration) {
        self.samples = self.samples.saturating_add(1);
        let gain = SIZE_GAIN.max(1.0 / f64::from(self.samples));
        let bytes = u32::try_from(bytes).unwrap_or(u32::MAX);
        self.mean_bytes += (f64::from(bytes) - self.mean_bytes) * gain;
        self.run.record(run);
    }

    /// Returns the mean size of a body in bytes. It is zero before the first answer, so
    /// that a call whose answer size is unknown is placed like one with a small answer.
    #[must_use]
    pub fn bytes(&self) -> f64 {
        self.mean_bytes
    }

    /// Returns the mean run time, or `None` before the first answer.
    #[must_use]
    pub fn run(&self) -> Option<Duration> {
        (self.samples > 0).then(|| self.run.mean())
    }
}
