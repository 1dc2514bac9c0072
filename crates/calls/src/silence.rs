//! Finds attempts whose connection went silent for good.
//!
//! A connection can lose its state somewhere between the two ends: nothing
//! comes back and no error does either. A slow call looks the same from here,
//! so the watch asks the executor's ledger over a *fresh* connection and lets
//! the ledger tell the two apart. See `docs/design/calls.md`.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::{AttemptId, Time};
use crate::ledger::AttemptStatus;

/// How patient the watch is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct SilenceConfig {
    /// Silence after which the executor is asked.
    pub first_ask: Duration,
    /// Longest pause between two questions about an attempt that runs.
    pub longest_pause: Duration,
    /// Questions without an answer after which the executor counts as gone.
    pub unanswered: u32,
}

impl Default for SilenceConfig {
    fn default() -> Self {
        Self {
            first_ask: Duration::from_millis(200),
            longest_pause: Duration::from_secs(2),
            unanswered: 3,
        }
    }
}

/// What the daemon does about one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SilenceAction {
    /// Ask the ledger over a fresh connection, without touching the attempt.
    Ask(AttemptId),
    /// Close the silent connection and revoke over a fresh one.
    Retire(AttemptId),
    /// Nobody answers on fresh connections either.
    GiveUp(AttemptId),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Watch {
    ask_at: Time,
    pause: Duration,
    unanswered: u32,
    unseen: u32,
}

/// Watch over the attempts that an entry has outstanding.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Silence {
    cfg: SilenceConfig,
    watches: BTreeMap<AttemptId, Watch>,
}

/// "Never seen" twice, a pause apart, before the connection is retired: the
/// first may only mean that the attempt is still on its way.
const UNSEEN_TO_RETIRE: u32 = 2;

impl Silence {
    /// An empty watch.
    #[must_use]
    pub fn new(cfg: SilenceConfig) -> Self {
        let watches = BTreeMap::new();
        Self { cfg, watches }
    }

    /// The attempt was sent.
    pub fn sent(&mut self, attempt: AttemptId, now: Time) {
        let watch = Watch {
            ask_at: now + self.cfg.first_ask,
            pause: self.cfg.first_ask,
            unanswered: 0,
            unseen: 0,
        };
        self.watches.insert(attempt, watch);
    }

    /// The attempt ended, however it did.
    pub fn ended(&mut self, attempt: AttemptId) {
        self.watches.remove(&attempt);
    }

    /// When the next question is due.
    #[must_use]
    pub fn due(&self, attempt: AttemptId) -> Option<Time> {
        self.watches.get(&attempt).map(|it| it.ask_at)
    }

    /// Questions that are due.
    pub fn tick(&mut self, now: Time) -> Vec<SilenceAction> {
        let mut actions = Vec::new();
        for (attempt, watch) in &mut self.watches {
            if watch.ask_at > now {
                continue;
            }
            watch.ask_at = now + self.cfg.first_ask;
            watch.unanswered += 1;
            if watch.unanswered > self.cfg.unanswered {
                actions.push(SilenceAction::GiveUp(*attempt));
            } else {
                actions.push(SilenceAction::Ask(*attempt));
            }
        }
        actions
    }

    /// The ledger's answer over the fresh connection. A run that is still going
    /// on keeps its connection; anything else says that the answer, or the
    /// attempt itself, was lost on the old one.
    pub fn heard(
        &mut self,
        attempt: AttemptId,
        settled: &AttemptStatus,
        now: Time,
    ) -> Option<SilenceAction> {
        let watch = self.watches.get_mut(&attempt)?;
        watch.unanswered = 0;
        let retire = match settled {
            AttemptStatus::Queued | AttemptStatus::Running => {
                watch.unseen = 0;
                watch.pause = (watch.pause * 2).min(self.cfg.longest_pause);
                watch.ask_at = now + watch.pause;
                false
            }
            AttemptStatus::NeverSeen => {
                watch.unseen += 1;
                watch.unseen >= UNSEEN_TO_RETIRE
            }
            AttemptStatus::NotRun
            | AttemptStatus::Done(_)
            | AttemptStatus::DoneWithoutAnswer
            | AttemptStatus::Unknown => true,
        };
        retire.then_some(SilenceAction::Retire(attempt))
    }
}
