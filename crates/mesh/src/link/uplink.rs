//! The instance's uplink, which all links of this daemon share.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use stoatstep_calls::{AttemptId, Band, LargeMessage, MessageNumber, Time, Uplink};
use tokio::sync::Notify;
use tokio::time::sleep;

use super::answer::{AnswerLabel, Sending};
use crate::clock::Clock;
use crate::journal::Journal;

/// Time within which a large message that is no answer is due: longer than any call lasts.
const NOT_DUE: Duration = Duration::from_hours(1);

/// The [`Uplink`] of this daemon, and the order in which links send over it.
pub(crate) struct SharedUplink {
    state: RefCell<Uplink>,
    /// Messages whose connections could send a chunk now.
    ready: RefCell<BTreeSet<MessageNumber>>,
    /// The message that is sent next, until the order changes.
    next: Cell<Option<MessageNumber>>,
    /// Wakes the links when the order may have changed.
    order_changed: Notify,
    clock: Clock,
    journal: Rc<Journal>,
}

/// Guard of a link's messages that wait for their turn.
struct ReadyGuard<'a> {
    uplink: &'a SharedUplink,
    messages: Vec<MessageNumber>,
}

impl<'a> ReadyGuard<'a> {
    fn new(uplink: &'a SharedUplink, messages: Vec<MessageNumber>) -> Self {
        uplink.ready.borrow_mut().extend(&messages);
        // A link that sleeps as the first one asks again when it wakes.
        uplink.next.set(None);
        Self { uplink, messages }
    }
}

impl Drop for ReadyGuard<'_> {
    fn drop(&mut self) {
        let mut ready = self.uplink.ready.borrow_mut();
        for message in &self.messages {
            ready.remove(message);
        }
        drop(ready);
        self.uplink.order_changed();
    }
}

impl SharedUplink {
    pub(crate) fn new(bytes_per_s: Option<f64>, clock: Clock, journal: Rc<Journal>) -> Self {
        Self {
            state: RefCell::new(Uplink::new(bytes_per_s)),
            ready: RefCell::default(),
            next: Cell::new(None),
            order_changed: Notify::new(),
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

    /// Checks whether an expected answer can still be delivered within this time. If it can't, it is
    /// no longer expected.
    pub(crate) fn check_expected(
        &self,
        attempt: AttemptId,
        run: Duration,
        within: Duration,
    ) -> Result<(), Duration> {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        state.check_expected(attempt, run, within, now)
    }

    /// Ends the count of an expected answer: the target's work has ended.
    pub(crate) fn answer_completed(&self, attempt: AttemptId) {
        self.state.borrow_mut().answer_completed(attempt);
    }

    /// Queues a large message, and begins to account for it if it is an answer. Others are never
    /// due before answers.
    pub(super) fn queue(
        &self,
        bytes: usize,
        label: Option<AnswerLabel>,
    ) -> (MessageNumber, Option<Sending>) {
        let (band, due) = match &label {
            Some(label) => (label.band, label.due),
            None => (Band::InTime, self.clock.now() + NOT_DUE),
        };
        let ahead = self.read(|it| it.backlog(band));
        let message = LargeMessage { bytes, band, due };
        let number = self.state.borrow_mut().record_queued(message);
        let sending =
            label.map(|it| Sending::new(Rc::clone(&self.journal), self.clock, it, bytes, ahead));
        (number, sending)
    }

    /// Waits until the next chunk of one of these messages of one link may be sent, and returns
    /// which: when the uplink is free and no message of another link that comes before it could
    /// send a chunk there.
    ///
    /// If messages took turns, every answer would take as long as all of them together, and
    /// most would be late. One after the other, the first ones are in time. A message whose
    /// peer does not read is not ready, so it does not delay others.
    pub(super) async fn wait_turn(&self, messages: Vec<MessageNumber>) -> MessageNumber {
        let own = ReadyGuard::new(self, messages);
        loop {
            let order_changed = self.order_changed.notified();
            let Some(next) = self.next().filter(|it| own.messages.contains(it)) else {
                order_changed.await;
                continue;
            };
            let wait = self.read(|it| it.until_free(self.clock.now()));
            if wait.is_zero() {
                return next;
            }
            tokio::select! {
                // The order depends on the time, and no other link is awake to find out.
                () = sleep(wait) => self.order_changed(),
                () = order_changed => {}
            }
        }
    }

    /// The message that is sent next, of those whose links can take a chunk.
    fn next(&self) -> Option<MessageNumber> {
        if self.next.get().is_none() {
            let (ready, now) = (self.ready.borrow(), self.clock.now());
            let next = self.read(|it| it.next(|message| ready.contains(&message), now));
            self.next.set(next);
        }
        self.next.get()
    }

    /// Has the links find out which message is next.
    fn order_changed(&self) {
        self.next.set(None);
        self.order_changed.notify_waiters();
    }

    /// Has all queued messages sent by `due` if that is possible: this daemon stops.
    pub(crate) fn all_due_by(&self, due: Time) {
        self.state.borrow_mut().all_due_by(due);
        self.order_changed();
    }

    /// Counts bytes that were sent.
    pub(super) fn record_sent(&self, bytes: usize) {
        self.state.borrow_mut().record_sent(bytes, self.clock.now());
    }

    /// Counts a chunk of a queued message, whose frame has this size.
    pub(super) fn record_chunk(&self, message: MessageNumber, chunk: usize, frame: usize) {
        self.state.borrow_mut().record_chunk(message, chunk);
        self.record_sent(frame);
    }

    /// The rest of a queued message is not sent.
    pub(super) fn record_dropped(&self, message: MessageNumber) {
        self.state.borrow_mut().record_dropped(message);
        self.order_changed();
    }

    /// Has a queued message sent by `due` if that is possible.
    pub(super) fn due_by(&self, message: MessageNumber, due: Time) {
        self.state.borrow_mut().due_by(message, due);
        self.order_changed();
    }
}
