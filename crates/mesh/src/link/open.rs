//! The links that other daemons have opened, which are bounded in number: any program can connect.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use tokio::sync::Notify;

/// All links that were opened here, in the order in which they were.
#[derive(Clone, Default)]
pub(super) struct OpenLinks(Rc<Table>);

#[derive(Default)]
struct Table {
    next: Cell<u64>,
    open: RefCell<BTreeMap<u64, Rc<State>>>,
    /// Notified when a link is removed.
    removed: Notify,
}

impl Table {
    fn close_silent(&self) -> bool {
        let open = self.open.borrow();
        let silent = open.values().find(|it| !it.has_spoken.get());
        silent.inspect(|it| it.close.notify_one()).is_some()
    }
}

#[derive(Default)]
struct State {
    has_spoken: Cell<bool>,
    close: Notify,
}

impl OpenLinks {
    /// Makes room for another link: closes the oldest on which no message ever came, and waits until
    /// it is gone. Returns `false` if there is none.
    pub(super) async fn make_room(&self, max: usize) -> bool {
        while self.0.open.borrow().len() >= max {
            let removed = self.0.removed.notified();
            if !self.0.close_silent() {
                return false;
            }
            removed.await;
        }
        true
    }

    /// Adds a link until the guard is dropped.
    pub(super) fn add(&self) -> OpenLink {
        let number = self.0.next.get();
        self.0.next.set(number + 1);
        let state = Rc::new(State::default());
        let mut open = self.0.open.borrow_mut();
        open.insert(number, Rc::clone(&state));
        OpenLink {
            table: Rc::clone(&self.0),
            number,
            state,
        }
    }
}

/// Guard of an open link.
pub(super) struct OpenLink {
    table: Rc<Table>,
    number: u64,
    state: Rc<State>,
}

impl OpenLink {
    /// A message came, so another daemon is at the other end.
    pub(super) fn has_spoken(&self) {
        self.state.has_spoken.set(true);
    }

    /// Returns once it has to be closed.
    pub(super) async fn closed(&self) {
        self.state.close.notified().await;
    }
}

impl Drop for OpenLink {
    fn drop(&mut self) {
        self.table.open.borrow_mut().remove(&self.number);
        self.table.removed.notify_waiters();
    }
}
