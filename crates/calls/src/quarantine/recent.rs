//! What a target answered lately.

use std::collections::VecDeque;

use super::ANSWERED_FOR;
use crate::fingerprint::Fingerprint;
use crate::ids::Time;

/// Answers remembered: those of [`ANSWERED_FOR`] of a target with 18 slots and runs of
/// 0.18 s.
const MAX_ANSWERS: usize = 1024;

/// Requests that the target beside a daemon answered lately.
///
/// Where a rack of targets ends at once, the request that most callers send ran at each of
/// them. Without this it would be refused for minutes; what a target has just answered is
/// not what ended it.
#[derive(Clone, Debug, Default)]
pub struct RecentAnswers {
    answers: VecDeque<(Fingerprint, Time)>,
}

impl RecentAnswers {
    /// The target answered a request.
    pub fn note(&mut self, request: Fingerprint, now: Time) {
        if self.answers.len() >= MAX_ANSWERS {
            self.answers.pop_front();
        }
        self.answers.push_back((request, now));
    }

    /// Whether it answered this one lately.
    #[must_use]
    pub fn has(&self, request: Fingerprint, now: Time) -> bool {
        let lately = |at: Time| now.saturating_sub(at) <= ANSWERED_FOR;
        let mut newest_first = self.answers.iter().rev();
        newest_first.any(|(it, at)| *it == request && lately(*at))
    }
}
