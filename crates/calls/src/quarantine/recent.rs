//! Requests that a target answered recently.

use std::collections::VecDeque;

use super::ANSWER_VALIDITY;
use crate::fingerprint::Fingerprint;
use crate::ids::Time;

/// Maximum number of recorded answers. A target with 18 slots and runs of 0.18 s gives this
/// many within [`ANSWER_VALIDITY`].
const MAX_ANSWERS: usize = 1024;

/// Requests that the local target of a daemon answered recently.
///
/// If all targets of a rack end at once, a popular request was running at each of them and
/// would be quarantined for minutes. A request that a target has just answered is not
/// reported as the cause of its crash.
#[derive(Clone, Debug, Default)]
pub struct RecentAnswers {
    answers: VecDeque<(Fingerprint, Time)>,
}

impl RecentAnswers {
    /// Records that the target answered a request.
    pub fn record(&mut self, request: Fingerprint, now: Time) {
        if self.answers.len() >= MAX_ANSWERS {
            self.answers.pop_front();
        }
        self.answers.push_back((request, now));
    }

    /// Returns whether the target answered this request within [`ANSWER_VALIDITY`].
    #[must_use]
    pub fn contains(&self, request: Fingerprint, now: Time) -> bool {
        let is_recent = |at: Time| now.saturating_sub(at) <= ANSWER_VALIDITY;
        let mut newest_first = self.answers.iter().rev();
        newest_first.any(|(it, at)| *it == request && is_recent(*at))
    }
}
