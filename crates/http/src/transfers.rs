//! Transfers that hold memory while another process sends or reads.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt;
use std::ops::Deref;
use std::rc::Rc;
use std::time::{Duration, Instant};

use ntex::io::IoRef;
use tokio::sync::Notify;

/// Time without a byte after which a transfer is ended if others need its memory.
const STALLED: Duration = Duration::from_secs(1);

/// All transfers that draw on one memory.
#[derive(Clone, Debug, Default)]
pub struct Transfers(Rc<RefCell<Table>>);

#[derive(Debug, Default)]
struct Table {
    next: u64,
    open: BTreeMap<u64, Rc<Transfer>>,
}

/// A transfer under way.
pub struct Transfer {
    last_progress: Cell<Instant>,
    is_evicted: Cell<bool>,
    evicted: Notify,
    /// Closed on eviction. Whoever reads from a connection notices the eviction itself; what is
    /// written to one waits for its reader.
    io: Option<IoRef>,
}

impl fmt::Debug for Transfer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let silent = self.last_progress.get().elapsed();
        f.debug_struct("Transfer")
            .field("silent", &silent)
            .finish_non_exhaustive()
    }
}

impl Transfer {
    /// Bytes were received or sent.
    pub fn progressed(&self) {
        self.last_progress.set(Instant::now());
    }

    /// Returns whether it has to end.
    #[must_use]
    pub fn is_evicted(&self) -> bool {
        self.is_evicted.get()
    }

    /// Returns once it has to end.
    pub async fn evicted(&self) {
        let evicted = self.evicted.notified();
        if !self.is_evicted.get() {
            evicted.await;
        }
    }

    fn evict(&self) {
        self.is_evicted.set(true);
        self.evicted.notify_waiters();
        if let Some(io) = &self.io {
            io.terminate();
        }
    }
}

impl Transfers {
    /// Begins a transfer whose owner notices its eviction.
    #[must_use]
    pub fn begin(&self) -> TransferGuard {
        self.add(None)
    }

    /// Begins a transfer to the caller on this connection, which its eviction closes.
    #[must_use]
    pub fn begin_writing(&self, io: IoRef) -> TransferGuard {
        self.add(Some(io))
    }

    fn add(&self, io: Option<IoRef>) -> TransferGuard {
        let transfer = Rc::new(Transfer {
            last_progress: Cell::new(Instant::now()),
            is_evicted: Cell::new(false),
            evicted: Notify::new(),
            io,
        });
        let mut table = self.0.borrow_mut();
        let number = table.next;
        table.next += 1;
        table.open.insert(number, Rc::clone(&transfer));
        TransferGuard {
            transfers: self.clone(),
            number,
            transfer,
        }
    }

    /// Ends the transfer that has been without a byte for longest, if that is long. Returns whether
    /// one is about to end.
    pub fn evict_stalled(&self) -> bool {
        let table = self.0.borrow();
        let longest = table
            .open
            .values()
            .min_by_key(|it| (!it.is_evicted(), it.last_progress.get()));
        let longest = longest.map(Rc::clone);
        drop(table);
        match longest {
            Some(it) if it.is_evicted() => true,
            Some(it) if it.last_progress.get().elapsed() >= STALLED => {
                it.evict();
                true
            }
            _ => false,
        }
    }
}

/// Guard of a [`Transfer`] under way.
#[derive(Debug)]
pub struct TransferGuard {
    transfers: Transfers,
    number: u64,
    transfer: Rc<Transfer>,
}

impl Deref for TransferGuard {
    type Target = Transfer;

    fn deref(&self) -> &Transfer {
        &self.transfer
    }
}

impl Drop for TransferGuard {
    fn drop(&mut self) {
        self.transfers.0.borrow_mut().open.remove(&self.number);
    }
}
