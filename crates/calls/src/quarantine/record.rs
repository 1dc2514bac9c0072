//! The record of one request in the quarantine.

use std::time::Duration;

use super::{
    ANSWER_VALIDITY, GenerationHash, MAX_CRASHES, QuarantineFinding, SUSPICION_TTL, quarantine_time,
};
use crate::fingerprint::Fingerprint;
use crate::ids::Time;

#[derive(Clone, Debug)]
pub(super) enum Record {
    Suspected(Suspected),
    /// A target answered the request at this time.
    Answered(Time),
}

#[derive(Clone, Debug)]
pub(super) struct Suspected {
    /// Target generations that ended while they ran the request.
    pub(super) crashed: Vec<GenerationHash>,
    /// When this record last changed.
    pub(super) changed: Time,
    /// Time between the latest crash and `changed`. The crash may have happened before this
    /// process started, so its time cannot be given as a reading of this process's clock.
    age_at_change: Duration,
}

impl Suspected {
    pub(super) fn new(ago: Duration, now: Time) -> Self {
        Self {
            crashed: Vec::new(),
            changed: now,
            age_at_change: ago,
        }
    }

    /// Adds generations, the last of which ended `ago` before `now`. Returns whether any of
    /// them is new.
    pub(super) fn add(&mut self, crashed: &[GenerationHash], ago: Duration, now: Time) -> bool {
        let before = self.crashed.len();
        for generation in crashed {
            if self.crashed.len() < MAX_CRASHES && !self.crashed.contains(generation) {
                self.crashed.push(*generation);
            }
        }
        let is_new = self.crashed.len() > before;
        if is_new {
            // The age is only updated here. If two daemons took over each other's age in
            // every exchange, it would drift by the transmission time each time.
            self.age_at_change = self.time_since_crash(now).min(ago);
            self.changed = now;
        }
        is_new
    }

    /// Returns the time since the latest crash.
    pub(super) fn time_since_crash(&self, now: Time) -> Duration {
        self.age_at_change + now.saturating_sub(self.changed)
    }

    /// Returns how long the request is still refused.
    pub(super) fn left(&self, threshold: usize, now: Time) -> Option<Duration> {
        let left = quarantine_time(self.crashed.len(), threshold)?
            .saturating_sub(self.time_since_crash(now));
        (!left.is_zero()).then_some(left)
    }

    /// Returns whether the record can be dropped. After a quarantine it is kept for as long
    /// again, so that one more crash is enough to refuse the request again.
    fn is_expired(&self, threshold: usize, now: Time) -> bool {
        let kept_for =
            quarantine_time(self.crashed.len(), threshold).map_or(SUSPICION_TTL, |it| it * 2);
        self.time_since_crash(now) > kept_for
    }
}

impl Record {
    pub(super) fn is_expired(&self, threshold: usize, now: Time) -> bool {
        match self {
            Self::Suspected(it) => it.is_expired(threshold, now),
            Self::Answered(at) => now > *at + ANSWER_VALIDITY,
        }
    }

    /// Returns the priority for keeping and gossiping this record. The record with the
    /// lowest priority is dropped first.
    pub(super) fn priority(&self) -> (usize, Time) {
        match self {
            Self::Suspected(it) => (it.crashed.len(), it.changed),
            Self::Answered(at) => (0, *at),
        }
    }

    /// Returns the record as a finding for peers.
    pub(super) fn finding(&self, request: Fingerprint, now: Time) -> QuarantineFinding {
        match self {
            Self::Suspected(it) => QuarantineFinding::Ended {
                request,
                lives: it.crashed.clone(),
                ago: it.time_since_crash(now),
            },
            Self::Answered(at) => QuarantineFinding::Answered {
                request,
                ago: now.saturating_sub(*at),
            },
        }
    }
}
