//! The tables of both sides of a call.

use std::collections::BTreeMap;

use ntex::channel::oneshot;
use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use stoatstep_calls::{
    Admission, AdmissionConfig, AttemptId, HomeHistory, IdempotencyConfig, IdempotencyTable,
    Incarnation, Ledger, LedgerConfig, Refusal, RetryBudget, Router,
};
use stoatstep_resource::{ServiceName, Version};

use super::clock::Clock;
use super::homes::{RETENTION, SKEW};
use crate::config::Config;

/// Slots of the target until a configuration names its upstream.
const SLOTS_UNKNOWN: u32 = 1;

/// What an entry knows.
pub(super) struct EntryTables {
    pub(super) router: Router,
    pub(super) budgets: BTreeMap<ServiceName, RetryBudget>,
    pub(super) rng: Xoshiro256PlusPlus,
}

impl EntryTables {
    pub(super) fn new(cfg: &Config) -> Self {
        Self {
            router: Router::new(cfg.zone.clone()),
            budgets: BTreeMap::new(),
            rng: Xoshiro256PlusPlus::from_rng(&mut rand::rng()),
        }
    }

    pub(super) fn attempt_id(&mut self) -> AttemptId {
        self.rng.random()
    }
}

/// A run that goes on.
pub(super) struct Run {
    /// Cancels it.
    pub(super) cancel: Option<oneshot::Sender<()>>,
    /// Whether it has an idempotency key.
    pub(super) keyed: bool,
    /// Wakes those that wait for its end.
    pub(super) waiters: Vec<oneshot::Sender<()>>,
}

/// What an executor knows.
pub(super) struct ExecutorTables {
    pub(super) ledger: Ledger,
    pub(super) admission: Admission,
    pub(super) intents: IdempotencyTable,
    pub(super) homes: HomeHistory,
    pub(super) noted: Option<Version>,
    pub(super) waiting: BTreeMap<AttemptId, oneshot::Sender<Result<(), Refusal>>>,
    pub(super) runs: BTreeMap<AttemptId, Run>,
}

impl ExecutorTables {
    pub(super) fn new(cfg: &Config, clock: &Clock) -> Self {
        let incarnation: Incarnation = rand::rng().random();
        let admission = AdmissionConfig::for_slots(SLOTS_UNKNOWN);
        let intents = IdempotencyConfig::default().skew(SKEW).retention(RETENTION);
        Self {
            ledger: Ledger::new(incarnation, LedgerConfig::default()),
            admission: Admission::new(admission),
            intents: IdempotencyTable::new(clock.started_wall(), intents),
            homes: HomeHistory::new(cfg.upstream.clone(), SKEW, RETENTION),
            noted: None,
            waiting: BTreeMap::new(),
            runs: BTreeMap::new(),
        }
    }
}
