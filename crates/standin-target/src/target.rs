//! The target's state, apart from any socket.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde::Serialize;
use smol_str::SmolStr;

use crate::behaviour::{Behaviour, BehaviourChange, Health};
use crate::ledger::{Counts, Entry, EntryIndex, Intent, Ledger};

/// Body of `/healthz`.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) struct HealthReport {
    /// Whether the target wants calls.
    pub(crate) ready: bool,
    /// Share of the slots in use.
    pub(crate) load: f64,
}

/// What becomes of a finished run's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Delivery {
    /// Answered in full.
    Whole,
    /// Cut short.
    Truncated,
    /// The connection is dropped instead.
    Dropped,
}

/// State shared by all connections of the target.
#[derive(Clone, Debug)]
pub(crate) struct Target {
    name: SmolStr,
    started: Instant,
    tables: Arc<Mutex<Tables>>,
}

#[derive(Debug)]
struct Tables {
    behaviour: Behaviour,
    ledger: Ledger,
    counts: Counts,
    last_load: f64,
    /// Open connections by the caller's address, and whether each is silent.
    connections: HashMap<SocketAddr, bool>,
}

impl Target {
    pub(crate) fn new(name: SmolStr, behaviour: Behaviour, ledger: Ledger) -> Self {
        let tables = Tables {
            behaviour,
            ledger,
            counts: Counts::default(),
            last_load: 0.0,
            connections: HashMap::new(),
        };
        Self {
            name,
            started: Instant::now(),
            tables: Arc::new(Mutex::new(tables)),
        }
    }

    pub(crate) fn name(&self) -> SmolStr {
        self.name.clone()
    }

    /// Takes a slot for `intent`, or sheds the call where all are in use.
    pub(crate) fn begin(&self, intent: Intent) -> Option<Run> {
        let mut tables = self.tables();
        if tables.counts.running >= tables.behaviour.slots {
            tables.counts.shed += 1;
            return None;
        }
        let entry = tables.ledger.begin(intent);
        let counts = &mut tables.counts;
        counts.started += 1;
        counts.running += 1;
        counts.running_max = counts.running_max.max(counts.running);
        counts.last_start_unix_ms = unix_millis();
        let number = counts.started;
        Some(Run {
            number,
            time: tables.behaviour.run_time(number, self.started.elapsed()),
            target: self.clone(),
            entry,
            finished: false,
        })
    }

    /// Counts a call that was refused for another reason than full slots.
    pub(crate) fn shed(&self) {
        self.tables().counts.shed += 1;
    }

    pub(crate) fn change(&self, change: &BehaviourChange) {
        let mut tables = self.tables();
        tables.behaviour.apply(change);
        if change.silence_connections {
            tables.connections.values_mut().for_each(|it| *it = true);
        }
    }

    /// Notes a connection; true where it was not known before.
    pub(crate) fn connect(&self, peer: SocketAddr) -> bool {
        let mut tables = self.tables();
        let new = !tables.connections.contains_key(&peer);
        tables.connections.entry(peer).or_insert(false);
        let open = tables.connections.len();
        tables.counts.connections_max = tables.counts.connections_max.max(open);
        new
    }

    pub(crate) fn disconnect(&self, peer: SocketAddr) {
        self.tables().connections.remove(&peer);
    }

    pub(crate) fn is_silent(&self, peer: SocketAddr) -> bool {
        self.tables()
            .connections
            .get(&peer)
            .copied()
            .unwrap_or(false)
    }

    pub(crate) fn holds_runs(&self) -> bool {
        self.tables().behaviour.holds_runs
    }

    pub(crate) fn health(&self) -> HealthReport {
        let mut tables = self.tables();
        let slots = f64::from(tables.behaviour.slots.max(1));
        let load = f64::from(tables.counts.running) / slots;
        let before = std::mem::replace(&mut tables.last_load, load);
        match tables.behaviour.health {
            Health::Honest => HealthReport { ready: true, load },
            Health::AlwaysIdle => HealthReport {
                ready: true,
                load: 0.0,
            },
            Health::NeverReady => HealthReport { ready: false, load },
            Health::Lagging => HealthReport {
                ready: true,
                load: before,
            },
        }
    }

    pub(crate) fn counts(&self) -> Counts {
        let tables = self.tables();
        Counts {
            connections: tables.connections.len(),
            ..tables.counts.clone()
        }
    }

    pub(crate) fn entries(&self) -> Vec<Entry> {
        self.tables().ledger.entries().to_vec()
    }

    /// A panic while the lock was held leaves plain counts behind, which stay
    /// readable; the test that reads them fails on the panic itself.
    fn tables(&self) -> MutexGuard<'_, Tables> {
        self.tables.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A slot in use. Dropped before [`Run::finish`], it counts as cancelled: the
/// server drops the handler of a request whose connection closed.
#[derive(Debug)]
pub(crate) struct Run {
    pub(crate) number: u64,
    pub(crate) time: Duration,
    target: Target,
    entry: EntryIndex,
    finished: bool,
}

impl Run {
    /// Ends the run and says what becomes of its answer.
    pub(crate) fn finish(mut self) -> Delivery {
        self.finished = true;
        let behaviour = &self.target.tables().behaviour;
        let due = |every: u64| every > 0 && self.number.is_multiple_of(every);
        if due(behaviour.drop_every) {
            Delivery::Dropped
        } else if due(behaviour.truncate_every) {
            Delivery::Truncated
        } else {
            Delivery::Whole
        }
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        let mut tables = self.target.tables();
        tables.counts.running -= 1;
        if self.finished {
            tables.counts.finished += 1;
        } else {
            tables.counts.cancelled += 1;
            tables.ledger.cancel(self.entry);
        }
    }
}

fn unix_millis() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
