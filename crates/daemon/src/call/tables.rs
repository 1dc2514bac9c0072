//! Tables of the entry and of the executor.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use ntex::channel::oneshot;
use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use stoatstep_calls::{
    Admission, AdmissionConfig, AttemptId, HomeHistory, IdempotencyConfig, IdempotencyTable,
    Incarnation, Ledger, LedgerConfig, Refusal, RetryBudget, Router, StatedLimits,
};
use stoatstep_resource::{ServiceName, Version};

use super::clock::Clock;
use super::homes::{RETENTION, SKEW};
use crate::config::Config;

/// Slots of the target until a configuration names its upstream.
const INITIAL_SLOTS: u32 = 1;

/// State of the entry.
pub(super) struct EntryTables {
    pub(super) router: Router,
    pub(super) budgets: BTreeMap<ServiceName, RetryBudget>,
    /// The limits that the targets beside these daemons stated.
    pub(super) limits: StatedLimits<SocketAddr>,
    pub(super) rng: Xoshiro256PlusPlus,
}

impl EntryTables {
    pub(super) fn new(cfg: &Config) -> Self {
        Self {
            router: Router::new(cfg.zone.clone()),
            budgets: BTreeMap::new(),
            limits: StatedLimits::default(),
            rng: Xoshiro256PlusPlus::from_rng(&mut rand::rng()),
        }
    }

    pub(super) fn attempt_id(&mut self) -> AttemptId {
        self.rng.random()
    }
}

/// A run that has not ended.
pub(super) struct Run {
    /// Cancels the run; `None` once it was used.
    pub(super) cancel: Option<oneshot::Sender<()>>,
    /// Whether it has an idempotency key.
    pub(super) keyed: bool,
    /// Notifies the attempts that wait for the end of this run.
    pub(super) waiters: Vec<oneshot::Sender<()>>,
}

/// State of the executor.
pub(super) struct ExecutorTables {
    pub(super) ledger: Ledger,
    pub(super) admission: Admission,
    pub(super) keys: IdempotencyTable,
    pub(super) homes: HomeHistory,
    /// Configuration version whose sets of upstreams `homes` has applied.
    pub(super) applied_version: Option<Version>,
    pub(super) waiting: BTreeMap<AttemptId, oneshot::Sender<Result<(), Refusal>>>,
    pub(super) runs: BTreeMap<AttemptId, Run>,
}

impl ExecutorTables {
    pub(super) fn new(cfg: &Config, clock: &Clock) -> Self {
        let incarnation: Incarnation = rand::rng().random();
        let admission = AdmissionConfig::for_slots(INITIAL_SLOTS);
        let keys = IdempotencyConfig::default().skew(SKEW).retention(RETENTION);
        Self {
            ledger: Ledger::new(incarnation, LedgerConfig::default()),
            admission: Admission::new(admission),
            keys: IdempotencyTable::new(clock.started_wall(), keys),
            homes: HomeHistory::new(cfg.upstream.clone(), SKEW, RETENTION),
            applied_version: None,
            waiting: BTreeMap::new(),
            runs: BTreeMap::new(),
        }
    }
}
