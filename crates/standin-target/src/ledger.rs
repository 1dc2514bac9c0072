//! What ran: one entry for each intent, attempt and marker.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Place of an entry in the ledger.
pub(crate) type EntryIndex = usize;

/// What ran under one key, attempt and marker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The caller's idempotency key; empty where it sent none.
    pub key: SmolStr,
    /// The daemon's id of the attempt; empty for a direct call.
    pub attempt: SmolStr,
    /// The request's marker.
    pub marker: SmolStr,
    /// The request's method.
    pub method: SmolStr,
    /// Runs begun. A run counts from its first moment, since it may have had
    /// effects by the time that it was cancelled.
    pub count: u64,
    /// Runs that ended before their time because the connection closed or the
    /// deadline passed.
    pub cancelled: u64,
}

/// Sums over the ledger and what happened beside it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Runs begun.
    pub started: u64,
    /// Runs that reached their end.
    pub finished: u64,
    /// Runs that were cancelled.
    pub cancelled: u64,
    /// Calls refused without running.
    pub shed: u64,
    /// Runs that go on now.
    pub running: u32,
    /// The most runs that went on at a time.
    pub running_max: u32,
    /// Connections open now.
    pub connections: usize,
    /// The most connections that were open at a time.
    pub connections_max: usize,
    /// When the last run began, in milliseconds since the Unix epoch.
    pub last_start_unix_ms: u64,
}

/// What identifies an entry.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Intent {
    pub(crate) key: SmolStr,
    pub(crate) attempt: SmolStr,
    pub(crate) marker: SmolStr,
    pub(crate) method: SmolStr,
}

/// The entries, in the order of their first run.
#[derive(Debug, Default)]
pub(crate) struct Ledger {
    entries: Vec<Entry>,
    places: HashMap<Intent, EntryIndex>,
}

impl Ledger {
    pub(crate) fn begin(&mut self, intent: Intent) -> EntryIndex {
        let entries = &mut self.entries;
        let index = *self.places.entry(intent).or_insert_with_key(|intent| {
            entries.push(Entry {
                key: intent.key.clone(),
                attempt: intent.attempt.clone(),
                marker: intent.marker.clone(),
                method: intent.method.clone(),
                count: 0,
                cancelled: 0,
            });
            entries.len() - 1
        });
        entries[index].count += 1;
        index
    }

    pub(crate) fn cancel(&mut self, index: EntryIndex) {
        self.entries[index].cancelled += 1;
    }

    pub(crate) fn entries(&self) -> &[Entry] {
        &self.entries
    }
}
