//! The instance's uplink, which all links of this daemon share.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;

use stoatstep_calls::{AttemptId, Band, Uplink};
use tokio::sync::Notify;
use tokio::time::sleep;

use super::answer::{AnswerOf, Sending};
use crate::clock::Clock;
use crate::journal::Journal;

/// Granularity in which the sizes of messages are compared. Answers that are barely large,
/// for which callers wait with a short latency objective, are smaller than one step.
const SIZE_STEP: usize = 32 << 10;

/// Order of the large messages of all links: late answers last, then by size in steps, smaller
/// ones first, then by arrival. Answers are admitted only as the uplink can carry them, so the largest ones do
/// not wait forever.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct SendOrder {
    band: Band,
    steps: usize,
    number: u64,
}

/// The [`Uplink`] of this daemon, and the order in which links send over it.
pub(crate) struct SharedUplink {
    state: RefCell<Uplink>,
    next_number: Cell<u64>,
    /// Messages whose connections could send a chunk now.
    ready: RefCell<BTreeSet<SendOrder>>,
    /// Wakes the messages that wait for another one.
    ready_changed: Notify,
    clock: Clock,
    journal: Rc<Journal>,
}

/// Guard of a message that waits for its turn.
struct ReadyGuard<'a> {
    uplink: &'a SharedUplink,
    order: SendOrder,
}

impl Drop for ReadyGuard<'_> {
    fn drop(&mut self) {
        self.uplink.ready.borrow_mut().remove(&self.order);
        self.uplink.ready_changed.notify_waiters();
    }
}

impl SharedUplink {
    pub(crate) fn new(bytes_per_s: Option<f64>, clock: Clock, journal: Rc<Journal>) -> Self {
        Self {
            state: RefCell::new(Uplink::new(bytes_per_s)),
            next_number: Cell::new(0),
            ready: RefCell::default(),
            ready_changed: Notify::new(),
            clock,
            journal,
        }
    }

    /// Reads the state of the uplink. The result is out of date after the next `await`.
    pub(crate) fn read<T>(&self, read: impl FnOnce(&Uplink) -> T) -> T {
        read(&self.state.borrow())
    }

    /// Counts an answer of this expected size on which the target works.
    pub(crate) fn expect_answer(&self, attempt: AttemptId, bytes: f64, band: Band) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        state.expect_answer(attempt, bytes, band, now);
    }

    /// Ends the count of an expected answer: the target's work has ended.
    pub(crate) fn answer_completed(&self, attempt: AttemptId) {
        self.state.borrow_mut().answer_completed(attempt);
    }

    /// Assigns the order of the next large message, which has this size.
    pub(super) fn next_order(&self, bytes: usize, band: Band) -> SendOrder {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        SendOrder {
            band,
            steps: bytes / SIZE_STEP,
            number,
        }
    }

    /// Begins to account for a large answer, before its bytes are counted as queued.
    pub(super) fn begin_sending(&self, of: AnswerOf, bytes: usize, order: SendOrder) -> Sending {
        let ahead = self.read(|it| it.backlog(order.band));
        let context = (Rc::clone(&self.journal), self.clock);
        Sending::new(context, of, bytes, ahead)
    }

    /// Waits until the next chunk of this message may be sent: when the uplink is free and no
    /// message that comes before it could send a chunk on its own link.
    ///
    /// If messages took turns, every answer would take as long as all of them together, and
    /// most would be late. One after the other, the first ones are in time. A message whose
    /// peer does not read is not ready, so it does not delay others.
    pub(super) async fn wait_turn(&self, order: SendOrder) {
        self.ready.borrow_mut().insert(order);
        let _guard = ReadyGuard {
            uplink: self,
            order,
        };
        loop {
            let ready_changed = self.ready_changed.notified();
            if self.ready.borrow().first() != Some(&order) {
                ready_changed.await;
                continue;
            }
            let wait = self.read(|it| it.until_free(self.clock.now()));
            if wait.is_zero() {
                return;
            }
            tokio::select! {
                () = sleep(wait) => {}
                () = ready_changed => {}
            }
        }
    }

    /// Counts bytes that were sent.
    pub(super) fn record_sent(&self, bytes: usize) {
        self.state.borrow_mut().record_sent(bytes, self.clock.now());
    }

    /// Counts bytes of a large message that wait to be sent.
    pub(super) fn record_queued(&self, bytes: usize, order: SendOrder) {
        self.state.borrow_mut().record_queued(bytes, order.band);
    }

    /// Ends the count of waiting bytes, which were sent or dropped.
    pub(super) fn record_dequeued(&self, bytes: usize, order: SendOrder) {
        self.state.borrow_mut().record_dequeued(bytes, order.band);
    }
}
