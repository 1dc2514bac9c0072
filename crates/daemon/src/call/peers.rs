//! Connections to other daemons.

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
use ntex::client::{Client, ClientRequest, ClientResponse, Connector};
use ntex::http::body::{Body, BodySize, MessageBody};
use ntex::http::{Request, StatusCode};
use ntex::io::IoConfig;
use ntex::time::{Millis, timeout};
use ntex::util::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;
use stoatstep_calls::Ticket;
use stoatstep_settings::Secret;

use super::headers;
use crate::control::peer::PEER_TOKEN;
use crate::http::{from_msgpack, read_body};

/// Connections to one other daemon.
const CONNECTIONS: usize = 64;

/// Time for a connection to come up. Inside a region it takes a millisecond.
const CONNECT_TIMEOUT: Millis = Millis(300);

/// Largest message that goes in a header. Well below the listener's bound on
/// headers, which are a third longer in this encoding.
const MAX_IN_HEADER: usize = 4 << 10;

/// Largest message between daemons: an answer with its headers.
pub(super) const MAX_MESSAGE: usize = 5 << 20;

/// Idle time after which a connection is not used again. Well below the
/// listener's, so that no request meets a connection that the other end is
/// closing.
const KEEP_ALIVE_SECS: u16 = 30;

/// Why there is no answer to a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PeerError {
    /// Not a byte of the body left this process: the other daemon cannot have
    /// acted on it.
    NotSent,
    /// It may have arrived.
    Lost,
}

impl fmt::Display for PeerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotSent => "the question was not sent",
            Self::Lost => "no answer",
        })
    }
}

struct Peer {
    client: Client,
    ticket: Ticket,
}

/// Clients by address. Each daemon has a pool of its own: in one shared pool
/// the calls to a daemon that hangs would take the connections of all others.
pub(super) struct Peers {
    token: Secret,
    table: RefCell<BTreeMap<SocketAddr, Peer>>,
    fresh: Client,
}

impl Peers {
    pub(super) async fn new(token: Secret) -> Self {
        Self {
            token,
            table: RefCell::default(),
            fresh: client(0, 0).await,
        }
    }

    /// The newest ticket of the daemon at `addr`. Before its first answer there
    /// is none, and one that it will refuse stands in.
    pub(super) fn ticket(&self, addr: SocketAddr) -> Ticket {
        let none = Ticket {
            incarnation: 0,
            stamp: Duration::ZERO,
        };
        self.table.borrow().get(&addr).map_or(none, |it| it.ticket)
    }

    /// Keeps a ticket that came with an answer.
    pub(super) fn set_ticket(&self, addr: SocketAddr, ticket: Ticket) {
        if let Some(peer) = self.table.borrow_mut().get_mut(&addr) {
            peer.ticket = ticket;
        }
    }

    /// Leaves all connections to `addr`: one of them has gone silent, and what
    /// made it so may have hit the others. Attempts on them end by themselves or
    /// are found silent in turn.
    pub(super) async fn retire(&self, addr: SocketAddr) {
        let client = pooled().await;
        if let Some(peer) = self.table.borrow_mut().get_mut(&addr) {
            peer.client = client;
        }
    }

    /// Forgets daemons that are not in `keep`.
    pub(super) fn retain(&self, keep: impl Fn(SocketAddr) -> bool) {
        self.table.borrow_mut().retain(|addr, _| keep(*addr));
    }

    /// Sends a message over a pooled connection.
    pub(super) async fn send<A: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        path: &str,
        message: &impl Serialize,
    ) -> Result<A, PeerError> {
        let client = self.client(addr).await;
        self.exchange(&client, addr, path, message).await
    }

    /// Sends a message over a new connection, for at most `bound`.
    pub(super) async fn send_fresh<A: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        path: &str,
        message: &impl Serialize,
        bound: Duration,
    ) -> Result<A, PeerError> {
        let exchange = self.exchange(&self.fresh, addr, path, message);
        let answer = timeout(bound, exchange).await;
        answer.unwrap_or(Err(PeerError::Lost))
    }

    async fn client(&self, addr: SocketAddr) -> Client {
        if let Some(peer) = self.table.borrow().get(&addr) {
            return peer.client.clone();
        }
        let client = pooled().await;
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

/// The HTTP library writes head and body apart, and the second write wakes the
/// other daemon a second time. A short message goes with the head instead.
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

/// Whether the error is one of a connection that never came up, so that not a
/// byte was sent. A connection that was up reports neither of these kinds: a
/// reset is another one, and the kernel gives up sending after a quarter of an
/// hour only, long after any deadline.
pub(super) fn never_connected(err: &ClientError) -> bool {
    let ClientError::Connect(ConnectError::Disconnected(Some(err))) = err else {
        return false;
    };
    let kind = err.kind();
    matches!(kind, ErrorKind::ConnectionRefused | ErrorKind::TimedOut)
}

/// Decodes a message from where the sender put it.
pub(super) async fn receive<T: DeserializeOwned>(req: &mut Request) -> Option<T> {
    if let Some(text) = req.headers().get(headers::MESSAGE) {
        let bytes = STANDARD_NO_PAD.decode(text.as_bytes()).ok()?;
        return from_msgpack(&bytes).ok();
    }
    let body = read_body(req.take_payload(), MAX_MESSAGE).await.ok()?;
    from_msgpack(&body).ok()
}

async fn pooled() -> Client {
    client(CONNECTIONS, KEEP_ALIVE_SECS).await
}

async fn client(connections: usize, keep_alive_secs: u16) -> Client {
    let connector = Connector::new()
        .limit(connections)
        .keep_alive(ntex::time::Seconds(keep_alive_secs));
    let io = IoConfig::new().set_connect_timeout(CONNECT_TIMEOUT);
    Client::builder()
        .no_default_headers()
        .disable_redirects()
        .disable_timeout()
        .connector::<()>(connector)
        .build(ntex::SharedCfg::new("peers").add(io))
        .await
        .expect("a client without TLS always builds")
}

/// A body that remembers whether the library has asked for it. The HTTP library
/// reports a connection that broke under a request and one that never came up
/// with the same error; only the second means "did not run".
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
