//! What is known of the calls of each kind.

use std::collections::HashMap;
use std::time::Duration;

use smol_str::SmolStr;

use crate::ids::Time;

/// Weight of a new sample in the mean run time, once there are enough. A kind
/// gets tens of samples a second, so a change shows within a second.
const GAIN: f64 = 1.0 / 16.0;

/// Kinds whose run times are kept; the others go by the mean of all.
const MAX_KINDS: usize = 256;

/// Time in which the share of a kind that was taken loses most of its weight.
const SHARE_MEMORY: Duration = Duration::from_secs(2);

/// Steps in which shares are compared. Within one step the earlier deadline
/// decides, which would otherwise hardly ever do.
const SHARE_STEPS: u8 = 10;

/// Mean of run times, which follows changes.
#[derive(Clone, Copy, Debug, Default)]
struct Mean {
    seconds: f64,
    samples: u32,
}

impl Mean {
    fn record(&mut self, sample: Duration) {
        self.samples = self.samples.saturating_add(1);
        let gain = GAIN.max(1.0 / f64::from(self.samples));
        self.seconds += (sample.as_secs_f64() - self.seconds) * gain;
    }

    fn get(&self) -> Option<Duration> {
        (self.samples > 0).then(|| Duration::from_secs_f64(self.seconds))
    }
}

/// What is known of the calls of one kind.
#[derive(Clone, Copy, Debug, Default)]
struct Kind {
    service: Mean,
    asked: f64,
    taken: f64,
    at: Time,
}

impl Kind {
    fn forget(&mut self, now: Time) {
        let passed = now.saturating_sub(self.at);
        let kept = (-passed.as_secs_f64() / SHARE_MEMORY.as_secs_f64()).exp();
        self.asked *= kept;
        self.taken *= kept;
        self.at = now;
    }

    /// Tenths of the calls of this kind that were taken lately. Without it the
    /// kind with the shortest deadlines would get all that its rank is left
    /// with, and the others of the rank nothing.
    fn share(&self) -> u8 {
        let steps = self.taken / self.asked.max(1.0) * f64::from(SHARE_STEPS);
        let mut reached = 1..=SHARE_STEPS;
        reached
            .rfind(|step| steps >= f64::from(*step))
            .unwrap_or_default()
    }
}

/// The kinds of calls that came here.
#[derive(Clone, Debug, Default)]
pub(super) struct Kinds {
    kinds: HashMap<SmolStr, Kind>,
    all: Mean,
}

impl Kinds {
    /// A call of this kind came.
    pub(super) fn asked(&mut self, kind: &SmolStr, now: Time) {
        if let Some(kind) = self.get_mut(kind) {
            kind.forget(now);
            kind.asked += 1.0;
        }
    }

    /// A call of this kind got a slot.
    pub(super) fn taken(&mut self, kind: &SmolStr) {
        if let Some(kind) = self.get_mut(kind) {
            kind.taken += 1.0;
        }
    }

    /// A run of this kind took so long.
    pub(super) fn ran(&mut self, kind: &SmolStr, took: Duration) {
        self.all.record(took);
        if let Some(kind) = self.get_mut(kind) {
            kind.service.record(took);
        }
    }

    /// Mean run time of a kind; of all kinds before its first run, and zero
    /// before any, so that nothing is refused on a guess.
    pub(super) fn service(&self, kind: &str) -> Duration {
        let own = self.kinds.get(kind).and_then(|it| it.service.get());
        own.unwrap_or_else(|| self.mean())
    }

    /// Mean run time over all kinds.
    pub(super) fn mean(&self) -> Duration {
        self.all.get().unwrap_or_default()
    }

    /// Tenths of the calls of a kind that were taken lately.
    pub(super) fn share(&self, kind: &str) -> u8 {
        self.kinds.get(kind).map_or(0, Kind::share)
    }

    fn get_mut(&mut self, kind: &SmolStr) -> Option<&mut Kind> {
        let has_room = self.kinds.len() < MAX_KINDS || self.kinds.contains_key(kind);
        has_room.then(|| self.kinds.entry(kind.clone()).or_default())
    }
}
