//! An HTTP server that runs on the caller's thread.

use std::cell::RefCell;
use std::future::Future;
use std::io;
use std::mem;
use std::net::SocketAddr;
use std::rc::Rc;

use ntex::SharedCfg;
use ntex::http::h1::control::Upgrade;
use ntex::http::h1::{Control, ControlAck};
use ntex::http::{ConnectionType, HttpService, HttpServiceConfig, Request, Response};
use ntex::io::{IoConfig, IoRef};
use ntex::service::{Pipeline, ServiceFactory, fn_service};
use ntex::time::Seconds;
use socket2::SockRef;
use tokio::net::TcpListener;

use crate::connections::{Connection, ConnectionLimits, Connections};
use crate::counted::Counted;

/// Time after which an idle connection is closed. Callers close theirs earlier, after the idle
/// timeout that their operators set; this one only ends connections whose other end is gone.
const KEEP_ALIVE: Seconds = Seconds(300);

/// Time within which a caller has to send the headers of a request that it has begun.
const HEADER_TIMEOUT: Seconds = Seconds(30);

/// Largest size of the headers of a request. Operators set the actual limit in the configuration;
/// this is four times its default.
const MAX_HEADER_BYTES: usize = 64 << 10;

/// Delay after a failed accept, which is most often due to a lack of file descriptors.
const ACCEPT_RETRY_DELAY: std::time::Duration = std::time::Duration::from_millis(50);

/// Time within which the last answer on a connection has to be written. A shorter one would
/// truncate answers to callers that read slowly or are on slow links.
pub const LAST_WRITE_TIMEOUT: Seconds = Seconds(30);

/// Bytes that the system receives on a connection before they are read. Callers are close, so a
/// small buffer is enough, and a connection that is not read takes no more.
const RECEIVE_BUFFER: usize = 32 << 10;

/// Bytes that are read from a connection at once, and the least room for which a buffer is used. The
/// library queues each part of a body that is in the buffer, so tiny ones take many times its size.
const READ_BUFFER: usize = 8 << 10;
const MIN_READ: usize = 512;

/// Number of read buffers that are kept for reuse.
const CACHED_READ_BUFFERS: usize = 128;

/// Limit on the connections of a server for which none is set.
const MAX_CONNECTIONS: usize = 1024;

/// A server that answers every request with one async function.
pub struct Server {
    listener: TcpListener,
    pending_writes: PendingWrites,
    connections: Connections,
}

/// Answers of a server that have not been written completely.
#[derive(Clone, Default)]
pub struct PendingWrites(Rc<RefCell<Vec<IoRef>>>);

impl PendingWrites {
    /// Returns whether all answers have been written.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the number of connections with answers that have not been written completely.
    #[must_use]
    pub fn len(&self) -> usize {
        // The buffer of a connection that is being closed can't be read.
        let is_written = |io: &IoRef| io.with_write_buf(|buf| buf.is_empty()).unwrap_or(false);
        self.remove_closed();
        let connections = self.0.borrow();
        connections.iter().filter(|io| !is_written(io)).count()
    }

    /// Adds a connection, which is removed once it is closed.
    pub fn add(&self, io: IoRef) {
        self.remove_closed();
        self.0.borrow_mut().push(io);
    }

    fn remove_closed(&self) {
        self.0.borrow_mut().retain(|io| !io.is_closed());
    }
}

impl Server {
    /// Listens at `addr`.
    ///
    /// # Errors
    ///
    /// The error of binding the address.
    pub async fn bind(addr: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(addr).await?;
        // Connections inherit it. Without it, they take more memory and work as well.
        let _ = SockRef::from(&listener).set_recv_buffer_size(RECEIVE_BUFFER);
        Ok(Self {
            listener,
            pending_writes: PendingWrites::default(),
            connections: Connections::new(ConnectionLimits::new(MAX_CONNECTIONS)),
        })
    }

    /// Limits on its connections. Default: 1024 of them.
    #[must_use]
    pub fn limits(mut self, limits: ConnectionLimits) -> Self {
        self.connections = Connections::new(limits);
        self
    }

    /// Returns a handle to the answers that are not written yet, which stays valid while the server
    /// runs.
    #[must_use]
    pub fn pending_writes(&self) -> PendingWrites {
        self.pending_writes.clone()
    }

    /// Accepts connections until the process ends. When a caller closes its connection, the future
    /// of its request is dropped, which cancels the call.
    ///
    /// # Errors
    ///
    /// If the service or an accepted connection can't be set up.
    pub async fn serve<F, R>(self, handler: F) -> io::Result<()>
    where
        F: Fn(Request) -> R + 'static,
        R: Future<Output = Response> + 'static,
    {
        let handler = Rc::new(handler);
        let cfg = shared_config();
        let offered = Rc::clone(&handler);
        let service = HttpService::h1(fn_service(move |req: Request| {
            let handler = Rc::clone(&handler);
            async move { Ok::<_, io::Error>(answer(&*handler, req).await) }
        }));
        let service = service.control(fn_service(move |event: Control<Counted, io::Error>| {
            let handler = Rc::clone(&offered);
            async move {
                match event {
                    Control::Upgrade(offer) => Ok(decline(&*handler, offer).await),
                    event => Ok::<_, io::Error>(event.ack()),
                }
            }
        }));
        let service = service.create(cfg.clone()).await;
        let service = service.map_err(|()| io::Error::other("the HTTP service did not start"))?;
        let service = Pipeline::new(service);
        loop {
            let Ok((stream, _)) = self.listener.accept().await else {
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            if !self.connections.make_room().await {
                continue;
            }
            let service = service.clone();
            let io = ntex::rt::from_tcp_stream(stream.into_std()?, cfg.clone())?;
            let (io, open) = self.connections.add(io);
            self.pending_writes.add(io.get_ref());
            ntex::rt::spawn(async move {
                let _open = open;
                // A connection that its caller breaks is not an error of the server.
                let _ = service.call(io).await;
            });
        }
    }
}

async fn answer<F, R>(handler: &F, req: Request) -> Response
where
    F: Fn(Request) -> R,
    R: Future<Output = Response>,
{
    let connection = Connection::of(&req);
    let _answering = connection.as_ref().map(Connection::answer);
    handler(req).await
}

/// Answers a request whose client offers to go on in another protocol. The offer is ignored, as HTTP
/// allows, and the connection closed after the answer, since it is not known where the next request
/// begins.
async fn decline<F, R>(handler: &F, mut offer: Upgrade<Counted>) -> ControlAck<Counted>
where
    F: Fn(Request) -> R,
    R: Future<Output = Response>,
{
    let mut req = mem::replace(offer.get_mut(), Request::new());
    if !has_body(&req) {
        // The library takes all that follows for the other protocol.
        drop(req.take_payload());
    }
    let mut res = answer(handler, req).await;
    res.head_mut().set_connection_type(ConnectionType::Close);
    offer.fail_with(res)
}

fn has_body(req: &Request) -> bool {
    let headers = req.headers();
    headers.contains_key("content-length") || headers.contains_key("transfer-encoding")
}

fn shared_config() -> SharedCfg {
    SharedCfg::new("http")
        .add(
            HttpServiceConfig::new()
                .set_max_buf_size(MAX_HEADER_BYTES)
                .set_keepalive(KEEP_ALIVE)
                .set_headers_read_rate(HEADER_TIMEOUT, HEADER_TIMEOUT, 256),
        )
        .add(
            IoConfig::new()
                .set_disconnect_timeout(LAST_WRITE_TIMEOUT)
                .set_read_buf(READ_BUFFER, MIN_READ, CACHED_READ_BUFFERS),
        )
        .into()
}
