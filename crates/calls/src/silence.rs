//! Detects attempts whose connection is dead without an error.
//!
//! A device between the two ends of a connection can lose its state, after which neither
//! data nor an error arrives. To the entry this looks like a slow call. The detector
//! therefore queries the executor's ledger over a *new* connection, which distinguishes
//! the two cases. See `docs/design/calls.md`.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::{AttemptId, Time};
use crate::ledger::AttemptStatus;

/// Timing of the queries, and the number after which an attempt is abandoned.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct SilenceConfig {
    /// Time without a response after which the executor is queried.
    pub first_ask: Duration,
    /// Upper bound on the interval between two queries about an attempt that runs.
    pub max_interval: Duration,
    /// Unanswered queries after which the executor counts as gone.
    pub unanswered: u32,
}

impl Default for SilenceConfig {
    fn default() -> Self {
        Self {
            first_ask: Duration::from_millis(200),
            max_interval: Duration::from_secs(2),
            unanswered: 3,
        }
    }
}

/// What the daemon must do about one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SilenceAction {
    /// Query the ledger over a new connection, without affecting the attempt.
    Ask(AttemptId),
    /// Close the silent connection and revoke the attempt over a new one.
    Retire(AttemptId),
    /// Stop waiting: the executor does not answer on new connections either.
    GiveUp(AttemptId),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Watch {
    query_at: Time,
    interval: Duration,
    unanswered: u32,
    never_seen: u32,
}

/// Tracks the outstanding attempts of an entry.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct SilenceDetector {
    cfg: SilenceConfig,
    watches: BTreeMap<AttemptId, Watch>,
}

/// Number of successive `NeverSeen` answers, one interval apart, after which the connection is
/// retired. After the first one the attempt may still be on its way.
const NEVER_SEEN_TO_RETIRE: u32 = 2;

impl SilenceDetector {
    /// Creates a detector without outstanding attempts.
    #[must_use]
    pub fn new(cfg: SilenceConfig) -> Self {
        let watches = BTreeMap::new();
        Self { cfg, watches }
    }

    /// The attempt was sent.
    pub fn sent(&mut self, attempt: AttemptId, now: Time) {
        let watch = Watch {
            query_at: now + self.cfg.first_ask,
            interval: self.cfg.first_ask,
            unanswered: 0,
            never_seen: 0,
        };
        self.watches.insert(attempt, watch);
    }

    /// The attempt ended, with or without an answer.
    pub fn ended(&mut self, attempt: AttemptId) {
        self.watches.remove(&attempt);
    }

    /// When the next query about the attempt is due.
    #[must_use]
    pub fn due(&self, attempt: AttemptId) -> Option<Time> {
        self.watches.get(&attempt).map(|it| it.query_at)
    }

    /// Returns the actions that are due.
    pub fn tick(&mut self, now: Time) -> Vec<SilenceAction> {
        let mut actions = Vec::new();
        for (attempt, watch) in &mut self.watches {
            if watch.query_at > now {
                continue;
            }
            watch.query_at = now + self.cfg.first_ask;
            watch.unanswered += 1;
            if watch.unanswered > self.cfg.unanswered {
                actions.push(SilenceAction::GiveUp(*attempt));
            } else {
                actions.push(SilenceAction::Ask(*attempt));
            }
        }
        actions
    }

    /// Handles the ledger's answer to a query. An attempt that is queued or running keeps
    /// its connection. Any other state means that the answer, or the attempt itself, was
    /// lost on the old connection.
    pub fn ledger_answered(
        &mut self,
        attempt: AttemptId,
        settled: &AttemptStatus,
        now: Time,
    ) -> Option<SilenceAction> {
        let watch = self.watches.get_mut(&attempt)?;
        watch.unanswered = 0;
        let retire = match settled {
            AttemptStatus::Queued | AttemptStatus::Running => {
                watch.never_seen = 0;
                watch.interval = (watch.interval * 2).min(self.cfg.max_interval);
                watch.query_at = now + watch.interval;
                false
            }
            AttemptStatus::NeverSeen => {
                watch.never_seen += 1;
                watch.never_seen >= NEVER_SEEN_TO_RETIRE
            }
            AttemptStatus::NotRun
            | AttemptStatus::Done(_)
            | AttemptStatus::DoneWithoutAnswer
            | AttemptStatus::Unknown => true,
        };
        retire.then_some(SilenceAction::Retire(attempt))
    }
}
