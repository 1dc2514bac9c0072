//! Run times and admitted shares of the calls of each kind.

use std::collections::HashMap;
use std::time::Duration;

use smol_str::SmolStr;

use crate::ids::Time;

/// Weight of a new sample in the mean run time, once there are enough. A kind
/// gets tens of samples a second, so a change shows within a second.
const MEAN_GAIN: f64 = 1.0 / 16.0;

/// Number of kinds with statistics of their own; the others use the mean over all kinds.
const MAX_KINDS: usize = 256;

/// Time constant with which requested and admitted calls of a kind decay.
const SHARE_DECAY: Duration = Duration::from_secs(2);

/// Steps to which shares are rounded before they are compared. With exact shares, the
/// deadline, which decides between equal shares, would hardly ever be compared.
const SHARE_STEPS: u8 = 10;

/// Exponentially weighted mean of run times.
#[derive(Clone, Copy, Debug, Default)]
struct Mean {
    seconds: f64,
    samples: u32,
}

impl Mean {
    fn record(&mut self, sample: Duration) {
        self.samples = self.samples.saturating_add(1);
        let gain = MEAN_GAIN.max(1.0 / f64::from(self.samples));
        self.seconds += (sample.as_secs_f64() - self.seconds) * gain;
    }

    fn get(&self) -> Option<Duration> {
        (self.samples > 0).then(|| Duration::from_secs_f64(self.seconds))
    }
}

/// Statistics of the calls of one kind.
#[derive(Clone, Copy, Debug, Default)]
struct Kind {
    service: Mean,
    requested: f64,
    started: f64,
    updated_at: Time,
}

impl Kind {
    fn decay(&mut self, now: Time) {
        let passed = now.saturating_sub(self.updated_at);
        let kept = (-passed.as_secs_f64() / SHARE_DECAY.as_secs_f64()).exp();
        self.requested *= kept;
        self.started *= kept;
        self.updated_at = now;
    }

    /// Share of the recent calls of this kind that were admitted, in tenths. Without it
    /// the kind with the shortest deadlines would get all the slots that are left for its
    /// rank, and the other kinds of the rank none.
    fn share(&self) -> u8 {
        let steps = self.started / self.requested.max(1.0) * f64::from(SHARE_STEPS);
        let mut reached = 1..=SHARE_STEPS;
        reached
            .rfind(|step| steps >= f64::from(*step))
            .unwrap_or_default()
    }
}

/// Statistics of all kinds of calls at one executor.
#[derive(Clone, Debug, Default)]
pub(super) struct Kinds {
    kinds: HashMap<SmolStr, Kind>,
    all: Mean,
}

impl Kinds {
    /// Counts a call of this kind that requests a slot.
    pub(super) fn record_request(&mut self, kind: &SmolStr, now: Time) {
        if let Some(kind) = self.get_mut(kind) {
            kind.decay(now);
            kind.requested += 1.0;
        }
    }

    /// Counts a call of this kind that got a slot.
    pub(super) fn record_start(&mut self, kind: &SmolStr) {
        if let Some(kind) = self.get_mut(kind) {
            kind.started += 1.0;
        }
    }

    /// Records the run time of a call of this kind.
    pub(super) fn record_run(&mut self, kind: &SmolStr, took: Duration) {
        self.all.record(took);
        if let Some(kind) = self.get_mut(kind) {
            kind.service.record(took);
        }
    }

    /// Mean run time of a kind, or over all kinds before its first run. It is zero before
    /// the first run of any kind, so that no call is refused without a measurement.
    pub(super) fn service(&self, kind: &str) -> Duration {
        let own = self.kinds.get(kind).and_then(|it| it.service.get());
        own.unwrap_or_else(|| self.mean())
    }

    /// Mean run time over all kinds.
    pub(super) fn mean(&self) -> Duration {
        self.all.get().unwrap_or_default()
    }

    /// Share of the recent calls of a kind that were admitted, in tenths.
    pub(super) fn share(&self, kind: &str) -> u8 {
        self.kinds.get(kind).map_or(0, Kind::share)
    }

    fn get_mut(&mut self, kind: &SmolStr) -> Option<&mut Kind> {
        let has_room = self.kinds.len() < MAX_KINDS || self.kinds.contains_key(kind);
        has_room.then(|| self.kinds.entry(kind.clone()).or_default())
    }
}
