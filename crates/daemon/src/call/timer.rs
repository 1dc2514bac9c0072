//! Timeouts of calls.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;

use ntex::channel::oneshot;
use ntex::util::{Either, select};
use stoatstep_calls::Time;

type Key = (Time, u64);

/// Timers that the tick expires, with the resolution of the tick's interval.
///
/// Nearly every timer is dropped before it is due, since calls end in time. Even then a timer of
/// the runtime costs two switches to its timer thread and back, several times for each call; an
/// entry in this table costs none.
#[derive(Default)]
pub(super) struct Timers {
    table: RefCell<BTreeMap<Key, oneshot::Sender<()>>>,
    next: Cell<u64>,
}

impl Timers {
    /// Waits for the first tick at or after `due`.
    pub(super) async fn until(&self, due: Time) {
        let (tx, rx) = oneshot::channel();
        let key = (due, self.next.get());
        self.next.set(key.1 + 1);
        self.table.borrow_mut().insert(key, tx);
        let _entry = TimerEntry { timers: self, key };
        let _ = rx.await;
    }

    /// Returns the future's output, or `None` if it is not ready by `due`.
    pub(super) async fn run_until<T>(
        &self,
        due: Time,
        future: impl Future<Output = T>,
    ) -> Option<T> {
        match select(future, self.until(due)).await {
            Either::Left(output) => Some(output),
            Either::Right(()) => None,
        }
    }

    /// Expires all timers that are due.
    pub(super) fn tick(&self, now: Time) {
        loop {
            let mut table = self.table.borrow_mut();
            let Some(first) = table.first_entry().filter(|it| it.key().0 <= now) else {
                return;
            };
            let tx = first.remove();
            drop(table);
            let _ = tx.send(());
        }
    }
}

/// Removes the timer from the table when its future is dropped.
struct TimerEntry<'a> {
    timers: &'a Timers,
    key: Key,
}

impl Drop for TimerEntry<'_> {
    fn drop(&mut self) {
        self.timers.table.borrow_mut().remove(&self.key);
    }
}
