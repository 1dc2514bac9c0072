//! Counters of the requests to the platform.

use std::cell::Cell;

/// Numbers of requests and bytes since the client was built.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Number of reads of the table.
    pub reads: u64,
    /// Number of transactions on the table.
    pub commits: u64,
    /// Number of reads of objects and of lists of their names.
    pub object_reads: u64,
    /// Number of requests to store or delete an object.
    pub object_writes: u64,
    /// Number of requests of any kind that ended with an error.
    pub failed: u64,
    /// Bytes of requests with their request lines and headers, without the overhead of TCP.
    pub bytes_sent: u64,
    /// Bytes of answers with their status lines and headers, without the overhead of TCP.
    pub bytes_received: u64,
}

/// Counters of [`Usage`] that are updated through a shared reference on one thread.
#[derive(Debug, Default)]
pub struct UsageCounters {
    usage: Cell<Usage>,
}

impl UsageCounters {
    /// Returns the current counts.
    #[must_use]
    pub fn get(&self) -> Usage {
        self.usage.get()
    }

    pub(crate) fn update(&self, change: impl FnOnce(&mut Usage)) {
        let mut usage = self.usage.get();
        change(&mut usage);
        self.usage.set(usage);
    }
}
