//! The instance's link, shared by all connections that send over it.

use std::cell::RefCell;

use stoatstep_calls::{AttemptId, Uplink};
use tokio::time::sleep;

use crate::clock::Clock;

/// The one [`Uplink`] of this daemon.
pub(crate) struct SharedUplink {
    state: RefCell<Uplink>,
    clock: Clock,
}

impl SharedUplink {
    pub(crate) fn new(bytes_per_s: Option<f64>, clock: Clock) -> Self {
        Self {
            state: RefCell::new(Uplink::new(bytes_per_s)),
            clock,
        }
    }

    /// Reads what is known, which must not outlast the present step.
    pub(crate) fn read<T>(&self, read: impl FnOnce(&Uplink) -> T) -> T {
        read(&self.state.borrow())
    }

    /// A target works on an answer of which so many bytes are expected.
    pub(crate) fn expects(&self, attempt: AttemptId, bytes: f64) {
        self.state.borrow_mut().expects(attempt, bytes);
    }

    /// The target's work has ended.
    pub(crate) fn ended(&self, attempt: AttemptId) {
        self.state.borrow_mut().ended(attempt);
    }

    /// Waits until the next piece may go. Of several that wait, the first to wake goes;
    /// the others look again.
    pub(super) async fn turn(&self) {
        loop {
            let wait = self.read(|it| it.until_free(self.clock.now()));
            if wait.is_zero() {
                return;
            }
            sleep(wait).await;
        }
    }

    pub(super) fn sent(&self, bytes: usize) {
        self.state.borrow_mut().sent(bytes, self.clock.now());
    }

    pub(super) fn waits(&self, bytes: usize) {
        self.state.borrow_mut().waits(bytes);
    }

    pub(super) fn waits_no_more(&self, bytes: usize) {
        self.state.borrow_mut().waits_no_more(bytes);
    }
}
