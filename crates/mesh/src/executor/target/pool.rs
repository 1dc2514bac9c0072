//! Connection pool for the target.
//!
//! The client of the daemon's HTTP library has a pool, but does not distinguish a request
//! that was never sent from one whose answer was lost. That distinction decides whether a
//! call may be refused as not run, so this pool uses single connections of a client library
//! that makes it.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::HeaderMap;
use hyper::{Method, Request, Response};
use hyper_util::rt::TokioIo;
use smol_str::SmolStr;
use stoatstep_calls::{ConnectionAnswers, Time};
use stoatstep_http::{AnswerFilter, ExpectedAnswer, FilteredStream, OutgoingBody};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use super::closes_connection;
use super::idle_limit::IdleLimit;
use crate::clock::Clock;

/// Time limit for connecting. The target is on this instance; if connecting takes longer,
/// the target hangs.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Idle time after which a connection is not reused if the target does not state its
/// keep-alive timeout. Many servers keep connections for 5 s.
const DEFAULT_IDLE: Duration = Duration::from_secs(4);

/// Safety margin below the keep-alive timeout that the target states: a request sent on a
/// connection that is just being closed may or may not have run.
const IDLE_MARGIN: Duration = Duration::from_secs(1);

/// Limit on idle connections. As many as the target has slots are enough.
const MAX_IDLE: usize = 256;

type Req = Request<OutgoingBody>;

/// What a request needs of its connection.
#[derive(Clone, Copy, Debug)]
pub(super) enum Need<'a> {
    /// Any connection.
    Any,
    /// One on which the request with this id was not sent before.
    New(&'a str),
    /// One that identifies the answer to the request with this id.
    Identified(&'a str),
}

impl Need<'_> {
    fn is_met(self, answers: &ConnectionAnswers) -> bool {
        match self {
            Self::Any => true,
            Self::New(id) => answers.is_new(id),
            Self::Identified(id) => answers.identifies(id),
        }
    }
}

/// One connection. Dropping it closes it.
pub(super) struct Connection {
    sender: SendRequest<OutgoingBody>,
    driver: JoinHandle<()>,
    idle_since: Time,
    idle_until: Time,
    taken_at: Time,
    answers: ConnectionAnswers,
    filter: Rc<RefCell<AnswerFilter>>,
}

impl Connection {
    async fn open(addr: SocketAddr, id_header: &SmolStr, clock: &Clock) -> io::Result<Self> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await??;
        stream.set_nodelay(true)?;
        let filter = Rc::new(RefCell::new(AnswerFilter::new(id_header.clone())));
        let stream = FilteredStream::new(stream, Rc::clone(&filter));
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(io::Error::other)?;
        let driver = tokio::task::spawn_local(async move {
            // Its errors reach whoever waits for an answer on it.
            let _ = connection.await;
        });
        let now = clock.now();
        Ok(Self {
            sender,
            driver,
            idle_since: now,
            idle_until: now,
            taken_at: now,
            answers: ConnectionAnswers::default(),
            filter,
        })
    }

    /// Sends a request and waits for the answer to it; answers to other requests are dropped. An
    /// error that returns the request means that no byte of it was sent.
    pub(super) async fn send(
        &mut self,
        req: Req,
        expected: ExpectedAnswer,
    ) -> Result<Response<Incoming>, Option<Req>> {
        let is_head = req.method() == Method::HEAD;
        self.filter.borrow_mut().expect(expected, is_head);
        let sent = self.sender.try_send_request(req).await;
        sent.map_err(|mut err| err.take_message())
    }

    /// The filter of the answers that the target sends on this connection.
    pub(super) fn filter(&self) -> &Rc<RefCell<AnswerFilter>> {
        &self.filter
    }

    /// Records an answer that was read from the connection.
    pub(super) fn record(&mut self, request_id: Option<&[u8]>, is_last: bool) {
        self.answers.record(request_id, is_last);
    }

    fn is_usable(&self, now: Time) -> bool {
        now < self.idle_until && self.sender.is_ready() && !self.sender.is_closed()
    }

    /// How long the connection had been idle when it was taken; zero for a new one.
    fn idle_time_when_taken(&self) -> Duration {
        self.taken_at.saturating_sub(self.idle_since)
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Idle connections, the most recently used one last.
pub(super) struct Pool {
    addr: SocketAddr,
    /// The header in which answers state the id of their request.
    id_header: SmolStr,
    clock: Clock,
    idle: RefCell<Vec<Connection>>,
    idle_limit: Cell<IdleLimit>,
}

impl Pool {
    pub(super) fn new(addr: SocketAddr, id_header: SmolStr, clock: Clock) -> Self {
        Self {
            addr,
            id_header,
            clock,
            idle: RefCell::default(),
            idle_limit: Cell::default(),
        }
    }

    /// Takes an idle connection or opens a new one; `None` if connecting fails.
    pub(super) async fn take(&self, need: Need<'_>) -> Option<Connection> {
        let now = self.clock.now();
        while let Some(mut connection) = self.pop(need) {
            connection.taken_at = now;
            let is_fresh = self
                .idle_limit
                .get()
                .allows(connection.idle_time_when_taken(), now);
            if is_fresh && connection.is_usable(now) {
                return Some(connection);
            }
        }
        // The new connection replaces one that fits few requests, so that their number is bounded
        // by that of concurrent requests.
        if matches!(need, Need::Identified(_)) {
            self.close_oldest_unidentified();
        }
        self.open().await.ok()
    }

    async fn open(&self) -> io::Result<Connection> {
        Connection::open(self.addr, &self.id_header, &self.clock).await
    }

    /// Whether a process accepts connections at the target's address; `false` only if the
    /// connection is refused. A new connection is kept for the next request, in place of the
    /// one whose loss led to this check.
    pub(super) async fn listens(&self) -> bool {
        match self.open().await {
            Ok(mut connection) => {
                connection.idle_until = connection.idle_since + DEFAULT_IDLE;
                self.keep(connection);
                true
            }
            Err(err) => err.kind() != io::ErrorKind::ConnectionRefused,
        }
    }

    /// Whether an idle connection is still open at the other end.
    pub(super) fn has_open(&self) -> bool {
        let idle = self.idle.borrow();
        idle.iter().any(|it| !it.sender.is_closed())
    }

    /// Records that a connection failed after a request was sent on it. Returns the idle time
    /// from which connections are not reused any more, if the failure suggests one.
    pub(super) fn failed(&self, connection: &Connection) -> Option<Duration> {
        let now = self.clock.now();
        let took = now.saturating_sub(connection.taken_at);
        let mut idle_limit = self.idle_limit.get();
        let limit = idle_limit.failed(connection.idle_time_when_taken(), took, now);
        self.idle_limit.set(idle_limit);
        limit
    }

    /// Returns a connection to the pool after a complete answer.
    pub(super) fn put_back(&self, mut connection: Connection, headers: &HeaderMap) {
        if closes_connection(headers) || connection.answers.is_full() {
            return;
        }
        connection.idle_since = self.clock.now();
        connection.idle_until = connection.idle_since + idle_time(headers);
        self.keep(connection);
    }

    fn keep(&self, connection: Connection) {
        let mut idle = self.idle.borrow_mut();
        if idle.len() < MAX_IDLE {
            idle.push(connection);
        }
    }

    /// Closes all idle connections.
    pub(super) fn clear(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Closes idle connections that are expired or already closed by the target.
    pub(super) fn close_expired(&self) {
        let now = self.clock.now();
        let mut idle = self.idle.borrow_mut();
        idle.retain(|it| now < it.idle_until && !it.sender.is_closed());
    }

    fn close_oldest_unidentified(&self) {
        let mut idle = self.idle.borrow_mut();
        if let Some(oldest) = idle.iter().position(|it| it.answers.has_unnamed()) {
            idle.remove(oldest);
        }
    }

    /// Removes the most recently used idle connection that fits. One that identifies no answer is
    /// preferred where it fits, since few requests can use it.
    fn pop(&self, need: Need<'_>) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let last = |is_unnamed: bool| {
            idle.iter()
                .rposition(|it| it.answers.has_unnamed() == is_unnamed && need.is_met(&it.answers))
        };
        let index = last(true).or_else(|| last(false));
        index.map(|it| idle.remove(it))
    }
}

/// The idle time for which a connection is reused: the keep-alive timeout that the target
/// states, less the margin, or the default.
fn idle_time(headers: &HeaderMap) -> Duration {
    let text = headers.get("keep-alive").and_then(|it| it.to_str().ok());
    let stated = text.and_then(|text| {
        let fields = text.split(',').map(str::trim);
        fields
            .into_iter()
            .find_map(|it| it.strip_prefix("timeout="))
    });
    let seconds = stated.and_then(|it| it.parse().ok());
    seconds.map_or(DEFAULT_IDLE, |it| {
        Duration::from_secs(it).saturating_sub(IDLE_MARGIN)
    })
}
