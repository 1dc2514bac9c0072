//! State of the target, independent of its connections' I/O.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde::Serialize;
use smol_str::SmolStr;

use crate::behaviour::{Behaviour, BehaviourChange, Health};
use crate::ledger::{Counts, Entry, EntryIndex, EntryKey, Ledger};

/// Body of `/healthz`.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) struct HealthReport {
    /// Whether the target accepts calls.
    pub(crate) ready: bool,
    /// Fraction of the slots that are in use.
    pub(crate) load: f64,
}

/// How the answer of a completed run is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Delivery {
    /// The complete answer is sent.
    Whole,
    /// A truncated answer is sent.
    Truncated,
    /// The connection is closed without an answer.
    Dropped,
}

/// The target. Clones share its state.
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
    /// Open connections by the caller's address.
    connections: HashMap<SocketAddr, Connection>,
    /// Answers to calls.
    answered: u64,
}

#[derive(Clone, Debug, Default)]
struct Connection {
    is_silent: bool,
    /// The last answer to a call as it was sent, if it was whole.
    last_answer: Option<Vec<u8>>,
}

impl Target {
    pub(crate) fn new(name: SmolStr, behaviour: Behaviour, ledger: Ledger) -> Self {
        let tables = Tables {
            behaviour,
            ledger,
            counts: Counts::default(),
            last_load: 0.0,
            connections: HashMap::new(),
            answered: 0,
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

    /// Starts a run in a free slot, or counts the call as shed if there is none.
    pub(crate) fn begin(&self, entry_key: EntryKey) -> Option<Run> {
        let mut tables = self.tables();
        if tables.counts.running >= tables.behaviour.slots {
            tables.counts.shed += 1;
            return None;
        }
        let entry = tables.ledger.begin(entry_key);
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

    /// Counts a call that is refused for another reason than a lack of slots.
    pub(crate) fn shed(&self) {
        self.tables().counts.shed += 1;
    }

    pub(crate) fn change(&self, change: &BehaviourChange) {
        let mut tables = self.tables();
        tables.behaviour.apply(change);
        if change.silence_connections {
            tables
                .connections
                .values_mut()
                .for_each(|it| it.is_silent = true);
        }
    }

    /// Records a connection. Returns whether it was new.
    pub(crate) fn connect(&self, peer: SocketAddr) -> bool {
        let mut tables = self.tables();
        let new = !tables.connections.contains_key(&peer);
        tables.connections.entry(peer).or_default();
        let open = tables.connections.len();
        tables.counts.connections_max = tables.counts.connections_max.max(open);
        new
    }

    pub(crate) fn disconnect(&self, peer: SocketAddr) {
        self.tables().connections.remove(&peer);
    }

    pub(crate) fn is_silent(&self, peer: SocketAddr) -> bool {
        let tables = self.tables();
        let connection = tables.connections.get(&peer);
        connection.is_some_and(|it| it.is_silent)
    }

    /// Records an answer to a call on this connection. Returns the answer before it, if a copy of
    /// that one is to be sent first.
    pub(crate) fn record_answer(
        &self,
        peer: SocketAddr,
        answer: Option<Vec<u8>>,
    ) -> Option<Vec<u8>> {
        let mut tables = self.tables();
        tables.answered += 1;
        let every = tables.behaviour.repeat_every;
        let is_due = every > 0 && tables.answered.is_multiple_of(every);
        let connection = tables.connections.get_mut(&peer)?;
        let before = std::mem::replace(&mut connection.last_answer, answer);
        before.filter(|_| is_due)
    }

    pub(crate) fn holds_runs(&self) -> bool {
        self.tables().behaviour.holds_runs
    }

    /// The limit that answers name, if any, and whether they state that the target leaves.
    pub(crate) fn statements(&self) -> (Option<SmolStr>, bool) {
        let behaviour = &self.tables().behaviour;
        let limit = Some(behaviour.limit.clone()).filter(|it| !it.is_empty());
        (limit, behaviour.leaves)
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

    /// Locks the state. A poisoned lock is ignored, since the state holds plain counts that stay
    /// readable after a panic; the panic itself fails the test.
    fn tables(&self) -> MutexGuard<'_, Tables> {
        self.tables.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A run, which occupies a slot until it is dropped. It counts as cancelled if it is dropped before
/// [`Run::finish`], as the server drops the handler of a request whose connection was closed.
#[derive(Debug)]
pub(crate) struct Run {
    pub(crate) number: u64,
    pub(crate) time: Duration,
    target: Target,
    entry: EntryIndex,
    finished: bool,
}

impl Run {
    /// Completes the run and returns how its answer is sent.
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
