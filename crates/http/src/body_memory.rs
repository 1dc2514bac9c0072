//! Memory for bodies that are received from senders who may stop at any time.

use std::time::Duration;

use stoatstep_body::{Lease, Memory};
use tokio::time::timeout;

use crate::transfers::Transfers;

/// Bodies up to this size have a memory of their own: they must not wait for that of large ones.
const SMALL: usize = 64 << 10;

/// Time within which a transfer that was evicted returns its memory.
const EVICTION: Duration = Duration::from_millis(200);

/// Time after which a transfer that was under way may be stalled.
const RETRY: Duration = Duration::from_secs(1);

/// Too much memory is in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoMemory;

/// Memory for bodies, of which stalled ones are evicted when others need it.
#[derive(Clone, Debug)]
pub struct BodyMemory {
    small: Memory,
    large: Memory,
    largest: usize,
    transfers: Transfers,
}

impl BodyMemory {
    /// Creates a memory for bodies of at most `largest` bytes. `small` ones have their own, and take
    /// from `large` when it is used up.
    #[must_use]
    pub fn new(small: Memory, large: Memory, largest: usize) -> Self {
        let largest = largest.min(large.limit());
        Self {
            small,
            large,
            largest,
            transfers: Transfers::default(),
        }
    }

    /// Largest body.
    #[must_use]
    pub fn largest(&self) -> usize {
        self.largest
    }

    /// Bytes that all but small bodies take at most.
    #[must_use]
    pub fn limit(&self) -> usize {
        self.large.limit()
    }

    /// Bytes that are leased at the moment.
    #[must_use]
    pub fn used(&self) -> usize {
        self.small.used() + self.large.used()
    }

    /// The transfers that hold this memory.
    #[must_use]
    pub fn transfers(&self) -> &Transfers {
        &self.transfers
    }

    /// Leases so many bytes if they are left.
    #[must_use]
    pub fn try_lease(&self, bytes: usize) -> Option<Lease> {
        let small = (bytes <= SMALL).then(|| self.small.lease(bytes)).flatten();
        small.or_else(|| self.large.lease(bytes))
    }

    /// Leases so many bytes. While not as many are left, stalled transfers are evicted.
    ///
    /// # Errors
    ///
    /// [`NoMemory`] if no transfer is stalled.
    pub async fn lease(&self, bytes: usize) -> Result<Lease, NoMemory> {
        loop {
            if let Some(lease) = self.try_lease(bytes) {
                return Ok(lease);
            }
            self.evict().await?;
        }
    }

    /// Grows a lease to so many bytes, like [`BodyMemory::lease`].
    ///
    /// # Errors
    ///
    /// [`NoMemory`] if no transfer is stalled; the lease stays as it is.
    pub async fn grow(&self, lease: &mut Lease, bytes: usize) -> Result<(), NoMemory> {
        while !self.try_grow(lease, bytes) {
            self.evict().await?;
        }
        Ok(())
    }

    /// Grows a lease to so many bytes if they are left.
    pub fn try_grow(&self, lease: &mut Lease, bytes: usize) -> bool {
        let was_small = lease.bytes() <= SMALL;
        if bytes <= SMALL || !was_small {
            return bytes <= lease.bytes() || lease.resize(bytes);
        }
        let Some(larger) = self.large.lease(bytes) else {
            return false;
        };
        *lease = larger;
        true
    }

    /// Evicts a stalled transfer if there is one, and waits until a lease returns something or it is
    /// time to try again.
    pub async fn wait(&self) {
        let freed = self.large.freed();
        let bound = if self.transfers.evict_stalled() {
            EVICTION
        } else {
            RETRY
        };
        let _ = timeout(bound, freed).await;
    }

    async fn evict(&self) -> Result<(), NoMemory> {
        let freed = self.large.freed();
        if !self.transfers.evict_stalled() {
            return Err(NoMemory);
        }
        let _ = timeout(EVICTION, freed).await;
        Ok(())
    }
}
