//! What a daemon asked of the platform.

use std::cell::Cell;

/// Requests and bytes since the client was built.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Reads of the table.
    pub reads: u64,
    /// Transactions on the table.
    pub commits: u64,
    /// Reads of objects and of their names.
    pub object_reads: u64,
    /// Objects stored or deleted.
    pub object_writes: u64,
    /// Requests of any kind that ended with an error.
    pub failed: u64,
    /// Bytes of requests, heads included; TCP's own are not.
    pub bytes_sent: u64,
    /// Bytes of answers, heads included; TCP's own are not.
    pub bytes_received: u64,
}

/// Counts [`Usage`] through a shared reference, on one thread.
#[derive(Debug, Default)]
pub struct UsageCounters {
    usage: Cell<Usage>,
}

impl UsageCounters {
    /// The counts so far.
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
