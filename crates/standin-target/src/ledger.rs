//! What ran: one entry for each intent, attempt and marker.

use std::collections::HashMap;
use std::fs::{File, OpenOptions};
use std::io::{self, BufRead, BufReader, Write};
use std::path::Path;

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
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
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
    file: Option<File>,
}

impl Ledger {
    /// A ledger that outlives the process: a test that kills a target must
    /// still see what ran there before. Each run is written as a JSON line
    /// before it begins.
    pub(crate) fn open(path: &Path) -> io::Result<Self> {
        let mut options = OpenOptions::new();
        let file = options.create(true).append(true).read(true).open(path)?;
        let mut ledger = Self::default();
        for line in BufReader::new(&file).lines() {
            let intent = serde_json::from_str(&line?)?;
            ledger.begin(intent);
        }
        ledger.file = Some(file);
        Ok(ledger)
    }

    /// Notes that a run begins.
    ///
    /// # Panics
    ///
    /// The file cannot be written. A ledger with gaps would make a call that
    /// ran look like one that did not, so the target fails instead.
    pub(crate) fn begin(&mut self, intent: Intent) -> EntryIndex {
        if let Some(file) = &mut self.file {
            let line = serde_json::to_string(&intent).expect("plain data always encodes");
            file.write_all(format!("{line}\n").as_bytes())
                .expect("the ledger's file must be writable");
        }
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
