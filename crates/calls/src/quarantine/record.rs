//! What is known of one request.

use std::time::Duration;

use super::{ANSWERED_FOR, Finding, LifeMark, MAX_LIVES, SUSPECTED_FOR, hold};
use crate::fingerprint::Fingerprint;
use crate::ids::Time;

#[derive(Clone, Debug)]
pub(super) enum Record {
    Suspected(Suspected),
    /// A target answered it then.
    Answered(Time),
}

#[derive(Clone, Debug)]
pub(super) struct Suspected {
    /// Lives of targets that ended while they ran it.
    pub(super) lives: Vec<LifeMark>,
    /// When this record last changed.
    pub(super) changed: Time,
    /// Time from the end of the last of the lives until then. It may have ended before this
    /// process began, so no reading of its clock could say when.
    ago: Duration,
}

impl Suspected {
    pub(super) fn new(ago: Duration, now: Time) -> Self {
        Self {
            lives: Vec::new(),
            changed: now,
            ago,
        }
    }

    /// Adds lives, the last of which ended so long ago, and says whether one is news.
    pub(super) fn add(&mut self, lives: &[LifeMark], ago: Duration, now: Time) -> bool {
        let before = self.lives.len();
        for life in lives {
            if self.lives.len() < MAX_LIVES && !self.lives.contains(life) {
                self.lives.push(*life);
            }
        }
        let is_news = self.lives.len() > before;
        if is_news {
            // Only then: between two daemons that tell each other, an age that is taken
            // over each time would creep by the time on the way.
            self.ago = self.since(now).min(ago);
            self.changed = now;
        }
        is_news
    }

    /// Time since the last of the lives ended.
    pub(super) fn since(&self, now: Time) -> Duration {
        self.ago + now.saturating_sub(self.changed)
    }

    /// Time for which the request is still refused.
    pub(super) fn left(&self, needed: usize, now: Time) -> Option<Duration> {
        let left = hold(self.lives.len(), needed)?.saturating_sub(self.since(now));
        (!left.is_zero()).then_some(left)
    }

    /// After a hold the lives are remembered for as long again: if the request ends one
    /// more target then, that is enough.
    fn is_over(&self, needed: usize, now: Time) -> bool {
        let kept = hold(self.lives.len(), needed).map_or(SUSPECTED_FOR, |it| it * 2);
        self.since(now) > kept
    }
}

impl Record {
    pub(super) fn is_over(&self, needed: usize, now: Time) -> bool {
        match self {
            Self::Suspected(it) => it.is_over(needed, now),
            Self::Answered(at) => now > *at + ANSWERED_FOR,
        }
    }

    /// Where too much is remembered, the least goes first.
    pub(super) fn weight(&self) -> (usize, Time) {
        match self {
            Self::Suspected(it) => (it.lives.len(), it.changed),
            Self::Answered(at) => (0, *at),
        }
    }

    /// What others are told.
    pub(super) fn finding(&self, request: Fingerprint, now: Time) -> Finding {
        match self {
            Self::Suspected(it) => Finding::Ended {
                request,
                lives: it.lives.clone(),
                ago: it.since(now),
            },
            Self::Answered(at) => Finding::Answered {
                request,
                ago: now.saturating_sub(*at),
            },
        }
    }
}
