//! Connections to the target.
//!
//! The daemon's HTTP library has a client with a pool of its own, which does not
//! tell a request that was never sent from one whose answer is lost. That
//! difference decides whether a call may be refused as not run, so connections
//! are held here and used one by one through a client library that tells.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::HeaderMap;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use stoatstep_calls::Time;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use super::closes;
use super::lifetime::Lifetime;
use crate::clock::Clock;

/// Time for a connection to come up. The target is on this instance; one that
/// takes longer is hung.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Idle time after which a connection is not used again where the target does
/// not say how long it keeps one. Many servers keep one for 5 s.
const IDLE: Duration = Duration::from_secs(4);

/// What is kept back of the idle time that the target states: a request that
/// meets a connection just being closed may or may not have run.
const IDLE_MARGIN: Duration = Duration::from_secs(1);

/// Idle connections kept. As many as there are slots suffice.
const MAX_IDLE: usize = 256;

type Req = Request<Full<Bytes>>;

/// One connection. Dropping it closes it.
pub(super) struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
    idle_since: Time,
    idle_until: Time,
    taken: Time,
}

impl Connection {
    async fn open(addr: SocketAddr, clock: &Clock) -> io::Result<Self> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await??;
        stream.set_nodelay(true)?;
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
            taken: now,
        })
    }

    /// Sends a request. An error that gives the request back says that not a
    /// byte of it was sent.
    pub(super) async fn send(&mut self, req: Req) -> Result<Response<Incoming>, Option<Req>> {
        let sent = self.sender.try_send_request(req).await;
        sent.map_err(|mut err| err.take_message())
    }

    fn is_usable(&self, now: Time) -> bool {
        now < self.idle_until && self.sender.is_ready() && !self.sender.is_closed()
    }

    /// How long it had been idle when it was taken; zero for a new one.
    fn idled(&self) -> Duration {
        self.taken.saturating_sub(self.idle_since)
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Idle connections, the one used last on top.
pub(super) struct Pool {
    addr: SocketAddr,
    clock: Clock,
    idle: RefCell<Vec<Connection>>,
    lifetime: Cell<Lifetime>,
}

impl Pool {
    pub(super) fn new(addr: SocketAddr, clock: Clock) -> Self {
        Self {
            addr,
            clock,
            idle: RefCell::default(),
            lifetime: Cell::default(),
        }
    }

    /// An idle connection or else a new one; `None` where none comes up.
    pub(super) async fn take(&self) -> Option<Connection> {
        let now = self.clock.now();
        while let Some(mut connection) = self.pop() {
            connection.taken = now;
            let is_fresh = self.lifetime.get().allows(connection.idled(), now);
            if is_fresh && connection.is_usable(now) {
                return Some(connection);
            }
        }
        Connection::open(self.addr, &self.clock).await.ok()
    }

    /// Whether somebody takes connections at the target's address. A connection that comes
    /// up is kept for the next request, in place of the one whose loss led to the question.
    pub(super) async fn listens(&self) -> bool {
        match Connection::open(self.addr, &self.clock).await {
            Ok(mut connection) => {
                connection.idle_until = connection.idle_since + IDLE;
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

    /// A connection failed after a request was sent on it. Returns the idle time
    /// from which others are not used any more, where that tells one.
    pub(super) fn failed(&self, connection: &Connection) -> Option<Duration> {
        let now = self.clock.now();
        let took = now.saturating_sub(connection.taken);
        let mut lifetime = self.lifetime.get();
        let limit = lifetime.failed(connection.idled(), took, now);
        self.lifetime.set(lifetime);
        limit
    }

    /// Keeps a connection whose answer came in whole.
    pub(super) fn put_back(&self, mut connection: Connection, headers: &HeaderMap) {
        if closes(headers) {
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

    pub(super) fn clear(&self) {
        self.idle.borrow_mut().clear();
    }

    pub(super) fn sweep(&self) {
        let now = self.clock.now();
        let mut idle = self.idle.borrow_mut();
        idle.retain(|it| now < it.idle_until && !it.sender.is_closed());
    }

    fn pop(&self) -> Option<Connection> {
        self.idle.borrow_mut().pop()
    }
}

/// The time for which the target keeps an idle connection, less a margin.
fn idle_time(headers: &HeaderMap) -> Duration {
    let text = headers.get("keep-alive").and_then(|it| it.to_str().ok());
    let stated = text.and_then(|text| {
        let fields = text.split(',').map(str::trim);
        fields
            .into_iter()
            .find_map(|it| it.strip_prefix("timeout="))
    });
    let seconds = stated.and_then(|it| it.parse().ok());
    seconds.map_or(IDLE, |it| {
        Duration::from_secs(it).saturating_sub(IDLE_MARGIN)
    })
}
