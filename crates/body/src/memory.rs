//! Memory that is shared by all that a process receives.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use tokio::sync::Notify;

/// A bounded amount of memory. Clones stand for the same one.
#[derive(Clone, Debug)]
pub struct Memory(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    limit: usize,
    used: AtomicUsize,
    parent: Option<Memory>,
    freed: Arc<Notify>,
}

impl Memory {
    /// Creates a memory of `limit` bytes.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self::with_parent(limit, None)
    }

    /// Creates a share of this memory: at most `limit` bytes of it, as far as others leave them.
    #[must_use]
    pub fn share(&self, limit: usize) -> Self {
        Self::with_parent(limit.min(self.limit()), Some(self.clone()))
    }

    fn with_parent(limit: usize, parent: Option<Self>) -> Self {
        let freed = parent.as_ref().map(|it| Arc::clone(&it.0.freed));
        Self(Arc::new(Shared {
            limit,
            used: AtomicUsize::new(0),
            parent,
            freed: freed.unwrap_or_default(),
        }))
    }

    /// Bytes that may be leased in all.
    #[must_use]
    pub fn limit(&self) -> usize {
        self.0.limit
    }

    /// Bytes that are leased at the moment.
    #[must_use]
    pub fn used(&self) -> usize {
        self.0.used.load(Ordering::Relaxed)
    }

    /// Leases so many bytes; `None` if not as many are left.
    #[must_use]
    pub fn lease(&self, bytes: usize) -> Option<Lease> {
        self.take(bytes).then(|| Lease {
            memory: self.clone(),
            bytes,
        })
    }

    /// Waits until a lease of this memory, or of another share of the same, returns something.
    pub async fn freed(&self) {
        self.0.freed.notified().await;
    }

    fn take(&self, bytes: usize) -> bool {
        let add = |used: usize| used.checked_add(bytes).filter(|it| *it <= self.0.limit);
        let used = &self.0.used;
        let taken = used.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
        if taken.is_err() {
            return false;
        }
        if self.0.parent.as_ref().is_some_and(|it| !it.take(bytes)) {
            used.fetch_sub(bytes, Ordering::Relaxed);
            return false;
        }
        true
    }

    fn put_back(&self, bytes: usize) {
        self.0.used.fetch_sub(bytes, Ordering::Relaxed);
        match &self.0.parent {
            Some(parent) => parent.put_back(bytes),
            None => self.0.freed.notify_waiters(),
        }
    }
}

/// Bytes of a [`Memory`]. Dropping it returns them.
#[derive(Debug)]
pub struct Lease {
    memory: Memory,
    bytes: usize,
}

impl Lease {
    /// Number of bytes that are leased.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Changes the number of bytes. Returns `false`, and changes nothing, if not as many are left.
    pub fn resize(&mut self, bytes: usize) -> bool {
        if bytes > self.bytes && !self.memory.take(bytes - self.bytes) {
            return false;
        }
        if bytes < self.bytes {
            self.memory.put_back(self.bytes - bytes);
        }
        self.bytes = bytes;
        true
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        self.memory.put_back(self.bytes);
    }
}
