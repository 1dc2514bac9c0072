//! The connections of a server: how many there are, and what their callers have sent that is not
//! yet a complete request.

use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use ntex::http::Request;
use ntex::io::{Base, Io, IoRef};
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::counted::Counted;
use crate::transfers::Transfers;

/// What requests behind one that is being answered count for, in multiples of what was read of
/// them: as much again and more waits in the buffers of the system.
const BEHIND_COST: usize = 3;

/// Time within which a connection that is closed is gone.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(50);

/// Limits on the connections of a server.
#[derive(Clone, Debug)]
pub struct ConnectionLimits {
    count: usize,
    unread: usize,
    transfers: Option<Transfers>,
}

impl ConnectionLimits {
    /// At most `count` connections. With one more, the one that is of least use is closed.
    #[must_use]
    pub fn new(count: usize) -> Self {
        Self {
            count,
            unread: usize::MAX,
            transfers: None,
        }
    }

    /// Limit on the bytes, over all connections, of requests whose heads are not complete or that
    /// wait behind others. Default: none.
    #[must_use]
    pub fn unread(mut self, bytes: usize) -> Self {
        self.unread = bytes;
        self
    }

    /// The transfers of bodies on these connections, of which stalled ones make room for new
    /// connections. Default: none.
    #[must_use]
    pub fn transfers(mut self, transfers: Transfers) -> Self {
        self.transfers = Some(transfers);
        self
    }
}

/// All connections of a server.
#[derive(Clone)]
pub(crate) struct Connections(Rc<Shared>);

struct Shared {
    limits: ConnectionLimits,
    open: RefCell<BTreeMap<u64, Connection>>,
    /// Number of events so far, which order the connections.
    events: Cell<u64>,
    /// Sum of what the connections count for.
    unread: Cell<usize>,
    /// Notified when a connection is removed.
    closed: Notify,
}

/// A connection of a caller.
#[derive(Clone)]
pub struct Connection(Rc<State>);

struct State {
    shared: Rc<Shared>,
    io: RefCell<Option<IoRef>>,
    /// Its place in the order in which connections were opened, or last had a request answered.
    idle_since: Cell<u64>,
    /// Whether a request was ever read from it.
    has_served: Cell<bool>,
    /// Number of its requests that are being answered.
    answering: Cell<u32>,
    /// Number of bodies that are being received, whose readers account for them.
    receiving: Cell<u32>,
    /// What it counts for.
    unread: Cell<usize>,
}

impl fmt::Debug for Connection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Connection")
            .field("answering", &self.0.answering.get())
            .field("unread", &self.0.unread.get())
            .finish_non_exhaustive()
    }
}

impl Connections {
    pub(crate) fn new(limits: ConnectionLimits) -> Self {
        Self(Rc::new(Shared {
            limits,
            open: RefCell::default(),
            events: Cell::new(0),
            unread: Cell::new(0),
            closed: Notify::new(),
        }))
    }

    /// Makes room for another connection. Returns `false` if there is none.
    pub(crate) async fn make_room(&self) -> bool {
        while self.0.open.borrow().len() >= self.0.limits.count {
            let closed = self.0.closed.notified();
            if let Some(idle) = self.0.least_useful() {
                idle.terminate();
            } else {
                if let Some(transfers) = &self.0.limits.transfers {
                    transfers.evict_stalled();
                }
                return false;
            }
            let _ = timeout(CLOSE_TIMEOUT, closed).await;
        }
        true
    }

    /// Adds a connection, which is removed when the guard is dropped.
    pub(crate) fn add(&self, io: Io<Base>) -> (Io<Counted>, OpenGuard) {
        let connection = Connection(Rc::new(State {
            shared: Rc::clone(&self.0),
            io: RefCell::default(),
            idle_since: Cell::new(self.0.next_event()),
            has_served: Cell::new(false),
            answering: Cell::new(0),
            receiving: Cell::new(0),
            unread: Cell::new(0),
        }));
        let number = self.0.next_event();
        let mut open = self.0.open.borrow_mut();
        open.insert(number, connection.clone());
        drop(open);
        let counted = connection.clone();
        let io = io.map_filter(|inner| Counted::new(inner, counted));
        connection.0.io.replace(Some(io.get_ref()));
        let guard = OpenGuard {
            shared: Rc::clone(&self.0),
            number,
        };
        (io, guard)
    }
}

impl Shared {
    fn next_event(&self) -> u64 {
        self.events.set(self.events.get() + 1);
        self.events.get()
    }

    /// The connection without a request that is closed first: of those on which none ever came the
    /// oldest, then the one that has been idle for longest.
    fn least_useful(&self) -> Option<Connection> {
        let open = self.open.borrow();
        let idle = open.values().filter(|it| it.is_idle());
        let least = idle.min_by_key(|it| (it.0.has_served.get(), it.0.idle_since.get()));
        least.cloned()
    }

    /// Closes connections until what all of them count for is within the limit.
    fn shed_unread(&self) {
        while self.unread.get() > self.limits.unread {
            let open = self.open.borrow();
            let most = open
                .values()
                .min_by_key(|it| (Reverse(it.0.unread.get()), it.0.idle_since.get()));
            let Some(most) = most.cloned() else {
                return;
            };
            drop(open);
            if most.0.unread.get() == 0 {
                return;
            }
            most.terminate();
        }
    }
}

impl Connection {
    /// The connection of a request, if it came to a [`Server`](crate::Server).
    #[must_use]
    pub fn of(req: &Request) -> Option<Self> {
        let found = req.io()?.query::<Self>();
        found.as_ref().cloned()
    }

    /// The connection itself, to close it.
    #[must_use]
    pub fn io(&self) -> Option<IoRef> {
        self.0.io.borrow().clone()
    }

    /// Counts a request as being answered until the guard is dropped.
    #[must_use]
    pub fn answer(&self) -> AnsweringGuard {
        self.0.set_unread(0);
        self.0.has_served.set(true);
        self.0.answering.set(self.0.answering.get() + 1);
        AnsweringGuard(self.clone())
    }

    /// Leaves what is received to the reader of a body until the guard is dropped.
    #[must_use]
    pub fn receive_body(&self) -> ReceivingGuard {
        self.0.receiving.set(self.0.receiving.get() + 1);
        ReceivingGuard(self.clone())
    }

    fn is_idle(&self) -> bool {
        let io = self.0.io.borrow();
        let is_written = |io: &IoRef| io.with_write_buf(|buf| buf.is_empty()).unwrap_or(true);
        self.0.answering.get() == 0 && io.as_ref().is_some_and(is_written)
    }

    /// Counts bytes that were received.
    pub(crate) fn received(&self, bytes: usize) {
        if self.0.receiving.get() > 0 {
            return;
        }
        let is_behind = self.0.answering.get() > 0;
        let cost = bytes * if is_behind { BEHIND_COST } else { 1 };
        self.0.set_unread(self.0.unread.get() + cost);
        self.0.shared.shed_unread();
    }

    /// Closes the connection without waiting for its caller.
    fn terminate(&self) {
        self.0.set_unread(0);
        if let Some(io) = self.0.io.take() {
            io.terminate();
        }
    }
}

impl State {
    fn set_unread(&self, bytes: usize) {
        let total = &self.shared.unread;
        total.set(total.get() - self.unread.replace(bytes) + bytes);
    }
}

/// Guard of a request that is being answered.
#[derive(Debug)]
pub struct AnsweringGuard(Connection);

impl Drop for AnsweringGuard {
    fn drop(&mut self) {
        let state = &self.0.0;
        state.answering.set(state.answering.get() - 1);
        state.idle_since.set(state.shared.next_event());
    }
}

/// Guard of a body that is being received.
#[derive(Debug)]
pub struct ReceivingGuard(Connection);

impl Drop for ReceivingGuard {
    fn drop(&mut self) {
        let receiving = &self.0.0.receiving;
        receiving.set(receiving.get() - 1);
    }
}

/// Guard of an open connection.
pub(crate) struct OpenGuard {
    shared: Rc<Shared>,
    number: u64,
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        let closed = self.shared.open.borrow_mut().remove(&self.number);
        if let Some(closed) = closed {
            closed.0.set_unread(0);
            // Breaks the cycle of the connection and its filter.
            closed.0.io.take();
        }
        self.shared.closed.notify_waiters();
    }
}
