//! Timeouts of calls.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;

use ntex::channel::oneshot;
use ntex::util::{Either, select};
use stoatstep_calls::Time;

type Key = (Time, u64);

/// Alarms that the tick rings, to the tick's interval.
///
/// Nearly every alarm is dropped before it is due, since calls end in time. A
/// timer of the runtime costs two switches to its timer thread and back even
/// then, several times for each call; an entry here costs none.
#[derive(Default)]
pub(super) struct Alarms {
    table: RefCell<BTreeMap<Key, oneshot::Sender<()>>>,
    next: Cell<u64>,
}

impl Alarms {
    /// Ends at the first tick after `due`.
    pub(super) async fn until(&self, due: Time) {
        let (tx, rx) = oneshot::channel();
        let key = (due, self.next.get());
        self.next.set(key.1 + 1);
        self.table.borrow_mut().insert(key, tx);
        let _entry = Entry { alarms: self, key };
        let _ = rx.await;
    }

    /// The future's output, or `None` where it is not there by `due`.
    pub(super) async fn by<T>(&self, due: Time, future: impl Future<Output = T>) -> Option<T> {
        match select(future, self.until(due)).await {
            Either::Left(output) => Some(output),
            Either::Right(()) => None,
        }
    }

    /// Rings what is due.
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

/// Takes the alarm out of the table when its future is dropped.
struct Entry<'a> {
    alarms: &'a Alarms,
    key: Key,
}

impl Drop for Entry<'_> {
    fn drop(&mut self) {
        self.alarms.table.borrow_mut().remove(&self.key);
    }
}
