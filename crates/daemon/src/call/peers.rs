//! HTTP clients for messages to other daemons.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::error::Error;
use std::fmt;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use ntex::client::error::{ClientError, ConnectError};
use ntex::client::{Client, ClientRequest, ClientResponse};
use ntex::http::body::{Body, BodySize, MessageBody};
use ntex::http::{Request, StatusCode};
use ntex::time::{Millis, timeout};
use ntex::util::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;
use stoatstep_calls::Ticket;
use stoatstep_settings::Secret;

use super::headers;
use crate::control::peer::PEER_TOKEN;
use crate::http::{client, from_msgpack, read_body};

/// Largest number of pooled connections to one other daemon.
const CONNECTIONS: usize = 64;

/// Timeout for establishing a connection, which takes about a millisecond within a region.
const CONNECT_TIMEOUT: Millis = Millis(300);

/// Largest message that is sent in a header. It is well below the listener's limit on headers,
/// since the encoding makes the message a third longer.
const MAX_IN_HEADER: usize = 4 << 10;

/// Largest message between daemons: an answer of the target with its headers.
pub(super) const MAX_MESSAGE: usize = 5 << 20;

/// Idle time after which a connection is not reused, in seconds. It is well below the listener's
/// timeout, so that no request meets a connection that the other end is closing.
const MAX_IDLE_SECS: u16 = 30;

/// Why a message got no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PeerError {
    /// The message was not sent, so the other daemon cannot have acted on it.
    NotSent,
    /// The message may have arrived.
    Lost,
}

impl fmt::Display for PeerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotSent => "the message was not sent",
            Self::Lost => "no usable answer",
        })
    }
}

struct Peer {
    client: Client,
    ticket: Ticket,
}

/// Clients by address. Each daemon has a pool of its own: in a shared pool, calls to a daemon that
/// hangs would use up the connections to all others.
pub(super) struct Peers {
    token: Secret,
    table: RefCell<BTreeMap<SocketAddr, Peer>>,
    /// Client that opens a new connection for each message.
    fresh: Client,
}

impl Peers {
    pub(super) async fn new(token: Secret) -> Self {
        Self {
            token,
            table: RefCell::default(),
            fresh: build_client(0, 0).await,
        }
    }

    /// Returns the newest ticket of the daemon at `addr`. Before its first answer, this is a
    /// placeholder that the daemon refuses.
    pub(super) fn ticket(&self, addr: SocketAddr) -> Ticket {
        let none = Ticket {
            incarnation: 0,
            stamp: Duration::ZERO,
        };
        self.table.borrow().get(&addr).map_or(none, |it| it.ticket)
    }

    /// Stores the ticket that came with an answer.
    pub(super) fn set_ticket(&self, addr: SocketAddr, ticket: Ticket) {
        if let Some(peer) = self.table.borrow_mut().get_mut(&addr) {
            peer.ticket = ticket;
        }
    }

    /// Stops using the present connections to `addr` for new messages. One of them went silent,
    /// and the same cause may affect the others. Attempts on them end by themselves or are found
    /// silent in turn.
    pub(super) async fn retire(&self, addr: SocketAddr) {
        let client = pooled_client().await;
        if let Some(peer) = self.table.borrow_mut().get_mut(&addr) {
            peer.client = client;
        }
    }

    /// Removes daemons for whose address `keep` returns `false`.
    pub(super) fn retain(&self, keep: impl Fn(SocketAddr) -> bool) {
        self.table.borrow_mut().retain(|addr, _| keep(*addr));
    }

    /// Sends a message over a pooled connection and waits for the answer.
    pub(super) async fn send<A: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        path: &str,
        message: &impl Serialize,
    ) -> Result<A, PeerError> {
        let client = self.client(addr).await;
        self.exchange(&client, addr, path, message).await
    }

    /// Sends a message over a new connection and waits for the answer for at most `time_limit`.
    pub(super) async fn send_fresh<A: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        path: &str,
        message: &impl Serialize,
        time_limit: Duration,
    ) -> Result<A, PeerError> {
        let exchange = self.exchange(&self.fresh, addr, path, message);
        let answer = timeout(time_limit, exchange).await;
        answer.unwrap_or(Err(PeerError::Lost))
    }

    async fn client(&self, addr: SocketAddr) -> Client {
        if let Some(peer) = self.table.borrow().get(&addr) {
            return peer.client.clone();
        }
        let client = pooled_client().await;
        let ticket = self.ticket(addr);
        let mut table = self.table.borrow_mut();
        let peer = table.entry(addr).or_insert(Peer { client, ticket });
        peer.client.clone()
    }

    async fn exchange<A: DeserializeOwned>(
        &self,
        client: &Client,
        addr: SocketAddr,
        path: &str,
        message: &impl Serialize,
    ) -> Result<A, PeerError> {
        let bytes = rmp_serde::to_vec(message).map_err(|_| PeerError::NotSent)?;
        let req = client.post(format!("http://{addr}{path}"));
        let req = req.header(PEER_TOKEN, self.token.expose());
        let answer = if bytes.len() <= MAX_IN_HEADER {
            send_in_header(req, &bytes).await?
        } else {
            send_in_body(req, bytes).await?
        };
        if answer.status() != StatusCode::OK {
            return Err(PeerError::Lost);
        }
        let body = read_body(answer.take_payload(), MAX_MESSAGE).await;
        let body = body.map_err(|_| PeerError::Lost)?;
        rmp_serde::from_slice(&body).map_err(|_| PeerError::Lost)
    }
}

/// Sends a short message in a header. The HTTP library writes head and body separately, and the
/// second write would wake the other daemon a second time.
async fn send_in_header(req: ClientRequest, bytes: &[u8]) -> Result<ClientResponse, PeerError> {
    let text = STANDARD_NO_PAD.encode(bytes);
    let sent = req.header(headers::MESSAGE, text).send().await;
    sent.map_err(|err| {
        if never_connected(&err) {
            PeerError::NotSent
        } else {
            PeerError::Lost
        }
    })
}

async fn send_in_body(req: ClientRequest, bytes: Vec<u8>) -> Result<ClientResponse, PeerError> {
    let (body, sent) = TrackedBody::new(bytes.into());
    let answer = req.send_body(Body::from_message(body)).await;
    answer.map_err(|err| {
        if never_connected(&err) || !sent.get() {
            PeerError::NotSent
        } else {
            PeerError::Lost
        }
    })
}

/// Whether the connection was never established, so that not a byte was sent. An established
/// connection reports neither of these kinds of error: a reset is another kind, and the kernel only
/// times out after a quarter of an hour, long after any deadline.
pub(super) fn never_connected(err: &ClientError) -> bool {
    let ClientError::Connect(ConnectError::Disconnected(Some(err))) = err else {
        return false;
    };
    let kind = err.kind();
    matches!(kind, ErrorKind::ConnectionRefused | ErrorKind::TimedOut)
}

/// Decodes the message of a request, from its header or its body.
pub(super) async fn receive<T: DeserializeOwned>(req: &mut Request) -> Option<T> {
    if let Some(text) = req.headers().get(headers::MESSAGE) {
        let bytes = STANDARD_NO_PAD.decode(text.as_bytes()).ok()?;
        return from_msgpack(&bytes).ok();
    }
    let body = read_body(req.take_payload(), MAX_MESSAGE).await.ok()?;
    from_msgpack(&body).ok()
}

async fn pooled_client() -> Client {
    build_client(CONNECTIONS, MAX_IDLE_SECS).await
}

async fn build_client(connections: usize, max_idle_secs: u16) -> Client {
    let max_idle = ntex::time::Seconds(max_idle_secs);
    client("peers", connections, max_idle, CONNECT_TIMEOUT).await
}

/// A request body that records whether the HTTP library has read it. The library reports the same
/// error for a connection that broke during a request and for one that was never established; only
/// the latter means "did not run".
pub(super) struct TrackedBody {
    bytes: Option<Bytes>,
    len: u64,
    sent: Rc<Cell<bool>>,
}

impl TrackedBody {
    pub(super) fn new(bytes: Bytes) -> (Self, Rc<Cell<bool>>) {
        let sent = Rc::new(Cell::new(false));
        let body = Self {
            len: bytes.len() as u64,
            bytes: Some(bytes),
            sent: Rc::clone(&sent),
        };
        (body, sent)
    }
}

impl MessageBody for TrackedBody {
    fn size(&self) -> BodySize {
        BodySize::Sized(self.len)
    }

    fn poll_next_chunk(
        &mut self,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Rc<dyn Error>>>> {
        self.sent.set(true);
        Poll::Ready(self.bytes.take().map(Ok))
    }
}
