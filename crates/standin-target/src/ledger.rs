//! The ledger of runs, with one entry for each idempotency key, attempt, marker and method.

use std::collections::HashMap;
use std::fs::{File, OpenOptions};
use std::io::{self, BufRead, BufReader, Write};
use std::path::Path;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Index of an entry in the ledger.
pub(crate) type EntryIndex = usize;

/// The runs of one idempotency key, attempt, marker and method.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Idempotency key from the caller; empty if it sent none.
    pub key: SmolStr,
    /// Id of the attempt from the daemon; empty for a call without a daemon.
    pub attempt: SmolStr,
    /// Marker of the request.
    pub marker: SmolStr,
    /// HTTP method of the request.
    pub method: SmolStr,
    /// Number of started runs. A run counts from its start, since it may have had effects before it
    /// was cancelled.
    pub count: u64,
    /// Number of runs that were cancelled because the connection was closed or the deadline passed.
    pub cancelled: u64,
}

/// Counters of runs, refused calls and connections.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Number of started runs.
    pub started: u64,
    /// Number of completed runs.
    pub finished: u64,
    /// Number of cancelled runs.
    pub cancelled: u64,
    /// Number of calls refused without running.
    pub shed: u64,
    /// Current number of runs.
    pub running: u32,
    /// Largest number of simultaneous runs.
    pub running_max: u32,
    /// Current number of open connections.
    pub connections: usize,
    /// Largest number of simultaneously open connections.
    pub connections_max: usize,
    /// Start of the last run, in milliseconds since the Unix epoch.
    pub last_start_unix_ms: u64,
}

/// Identity of an entry of the ledger.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct EntryKey {
    pub(crate) key: SmolStr,
    pub(crate) attempt: SmolStr,
    pub(crate) marker: SmolStr,
    pub(crate) method: SmolStr,
}

/// Ledger with its entries in the order of their first run.
#[derive(Debug, Default)]
pub(crate) struct Ledger {
    entries: Vec<Entry>,
    indexes: HashMap<EntryKey, EntryIndex>,
    file: Option<File>,
}

impl Ledger {
    /// Opens a ledger in a file, which outlives the process, so that a test that kills a target
    /// still sees what ran there before. Each run is written as a JSON line before it starts.
    pub(crate) fn open(path: &Path) -> io::Result<Self> {
        let mut options = OpenOptions::new();
        let file = options.create(true).append(true).read(true).open(path)?;
        let mut ledger = Self::default();
        for line in BufReader::new(&file).lines() {
            let entry_key = serde_json::from_str(&line?)?;
            ledger.begin(entry_key);
        }
        ledger.file = Some(file);
        Ok(ledger)
    }

    /// Records the start of a run.
    ///
    /// # Panics
    ///
    /// If the file can't be written. With an incomplete ledger, a call that ran would look like one
    /// that did not, so the target fails instead.
    pub(crate) fn begin(&mut self, entry_key: EntryKey) -> EntryIndex {
        if let Some(file) = &mut self.file {
            let line = serde_json::to_string(&entry_key).expect("plain data always encodes");
            file.write_all(format!("{line}\n").as_bytes())
                .expect("the ledger's file must be writable");
        }
        let entries = &mut self.entries;
        let index = *self
            .indexes
            .entry(entry_key)
            .or_insert_with_key(|entry_key| {
                entries.push(Entry {
                    key: entry_key.key.clone(),
                    attempt: entry_key.attempt.clone(),
                    marker: entry_key.marker.clone(),
                    method: entry_key.method.clone(),
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
