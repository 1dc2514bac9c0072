//! The instance's link, shared by all connections that send over it.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;

use stoatstep_calls::{AttemptId, Uplink};
use tokio::sync::Notify;
use tokio::time::sleep;

use crate::clock::Clock;

/// Step in which sizes of messages are compared. Answers that are hardly large, which a
/// caller waits for with a short objective, are below one.
const SIZE_STEP: usize = 32 << 10;

/// Place of a large message among those of all links: smaller ones first, by steps, and
/// then the earlier one. What is admitted is bounded by the link, so that the largest do
/// not wait for ever.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Order {
    steps: usize,
    number: u64,
}

/// The one [`Uplink`] of this daemon.
pub(crate) struct SharedUplink {
    state: RefCell<Uplink>,
    next: Cell<u64>,
    /// Messages whose links could take a piece now.
    ready: RefCell<BTreeSet<Order>>,
    /// Wakes those that wait for an earlier message.
    moved: Notify,
    clock: Clock,
}

/// A message that waits for its turn.
struct Ready<'a> {
    uplink: &'a SharedUplink,
    order: Order,
}

impl Drop for Ready<'_> {
    fn drop(&mut self) {
        self.uplink.ready.borrow_mut().remove(&self.order);
        self.uplink.moved.notify_waiters();
    }
}

impl SharedUplink {
    pub(crate) fn new(bytes_per_s: Option<f64>, clock: Clock) -> Self {
        Self {
            state: RefCell::new(Uplink::new(bytes_per_s)),
            next: Cell::new(0),
            ready: RefCell::default(),
            moved: Notify::new(),
            clock,
        }
    }

    /// Reads what is known, which must not outlast the present step.
    pub(crate) fn read<T>(&self, read: impl FnOnce(&Uplink) -> T) -> T {
        read(&self.state.borrow())
    }

    /// A target works on an answer of which so many bytes are expected.
    pub(crate) fn expects(&self, attempt: AttemptId, bytes: f64) {
        self.state.borrow_mut().expect_answer(attempt, bytes);
    }

    /// The target's work has ended.
    pub(crate) fn ended(&self, attempt: AttemptId) {
        self.state.borrow_mut().answer_completed(attempt);
    }

    /// The place of the next large message, of so many bytes.
    pub(super) fn order(&self, bytes: usize) -> Order {
        let number = self.next.get();
        self.next.set(number + 1);
        Order {
            steps: bytes / SIZE_STEP,
            number,
        }
    }

    /// Waits until the next piece of this message may go: when the link is free and no
    /// earlier message has a piece that its own link could take.
    ///
    /// In turns, every answer would take as long as all of them together, and most would
    /// be late; one after the other, the first ones are in time. A message whose peer
    /// does not read is not ready, so it holds up nobody.
    pub(super) async fn turn(&self, order: Order) {
        self.ready.borrow_mut().insert(order);
        let _ready = Ready {
            uplink: self,
            order,
        };
        loop {
            let moved = self.moved.notified();
            if self.ready.borrow().first() != Some(&order) {
                moved.await;
                continue;
            }
            let wait = self.read(|it| it.until_free(self.clock.now()));
            if wait.is_zero() {
                return;
            }
            tokio::select! {
                () = sleep(wait) => {}
                () = moved => {}
            }
        }
    }

    pub(super) fn sent(&self, bytes: usize) {
        self.state.borrow_mut().record_sent(bytes, self.clock.now());
    }

    pub(super) fn waits(&self, bytes: usize) {
        self.state.borrow_mut().record_queued(bytes);
    }

    pub(super) fn waits_no_more(&self, bytes: usize) {
        self.state.borrow_mut().record_dequeued(bytes);
    }
}
