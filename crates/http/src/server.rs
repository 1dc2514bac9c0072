//! HTTP servers on the daemon's own thread.

use std::cell::RefCell;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use ntex::SharedCfg;
use ntex::http::{HttpService, HttpServiceConfig, Request, Response};
use ntex::io::{IoConfig, IoRef};
use ntex::service::{Pipeline, ServiceFactory, fn_service};
use ntex::time::Seconds;
use tokio::net::TcpListener;

/// Time that an unused connection stays open. Callers close theirs earlier, by
/// the idle timeout that their operators set; ours only ends those whose other
/// end is gone.
const KEEP_ALIVE: Seconds = Seconds(300);

/// Time for a caller to send the headers of a request that it has begun.
const HEADER_TIMEOUT: Seconds = Seconds(30);

/// Header bytes of one request: four times the largest that operators allow by
/// default, since they bound it in the configuration.
const MAX_HEADER_BYTES: usize = 64 << 10;

/// Pause after a failed accept, most often for lack of descriptors.
const ACCEPT_PAUSE: std::time::Duration = std::time::Duration::from_millis(50);

/// Time for the last answer on a connection to be written. Callers on slow links, or that
/// read slowly, would otherwise get half of it.
const LAST_WRITE_TIMEOUT: Seconds = Seconds(30);

/// A server that answers every request by one async function.
pub struct Server {
    listener: TcpListener,
    unwritten: Unwritten,
}

/// Answers of a server that have not been written to their ends.
#[derive(Clone, Default)]
pub struct Unwritten(Rc<RefCell<Vec<IoRef>>>);

impl Unwritten {
    /// Whether every answer has been written.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        // A connection that is being closed takes no look at its buffer.
        let is_written = |io: &IoRef| io.with_write_buf(|buf| buf.is_empty()).unwrap_or(false);
        self.forget_closed();
        self.0.borrow().iter().all(is_written)
    }

    fn add(&self, io: IoRef) {
        self.forget_closed();
        self.0.borrow_mut().push(io);
    }

    fn forget_closed(&self) {
        self.0.borrow_mut().retain(|io| !io.is_closed());
    }
}

impl Server {
    /// Listens at `addr`.
    ///
    /// # Errors
    ///
    /// Whatever binding the address fails with.
    pub async fn bind(addr: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(addr).await?;
        Ok(Self {
            listener,
            unwritten: Unwritten::default(),
        })
    }

    /// What this server has still to write, also while it serves.
    #[must_use]
    pub fn unwritten(&self) -> Unwritten {
        self.unwritten.clone()
    }

    /// Accepts connections until the process ends. A connection whose caller
    /// leaves drops the future of its request, by which the call is cancelled.
    ///
    /// # Errors
    ///
    /// Only where the service cannot be set up.
    pub async fn serve<F, R>(self, handler: F) -> io::Result<()>
    where
        F: Fn(Request) -> R + 'static,
        R: Future<Output = Response> + 'static,
    {
        let handler = Rc::new(handler);
        let cfg = shared_config();
        let service = HttpService::h1(fn_service(move |req: Request| {
            let handler = Rc::clone(&handler);
            async move { Ok::<_, io::Error>(handler(req).await) }
        }));
        let service = service.create(cfg.clone()).await;
        let service = service.map_err(|()| io::Error::other("the HTTP service did not start"))?;
        let service = Pipeline::new(service);
        loop {
            let Ok((stream, _)) = self.listener.accept().await else {
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            };
            let service = service.clone();
            let io = ntex::rt::from_tcp_stream(stream.into_std()?, cfg.clone())?;
            self.unwritten.add(io.get_ref());
            ntex::rt::spawn(async move {
                // A caller that breaks its connection is no fault of ours.
                let _ = service.call(io).await;
            });
        }
    }
}

fn shared_config() -> SharedCfg {
    SharedCfg::new("http")
        .add(
            HttpServiceConfig::new()
                .set_max_buf_size(MAX_HEADER_BYTES)
                .set_keepalive(KEEP_ALIVE)
                .set_headers_read_rate(HEADER_TIMEOUT, HEADER_TIMEOUT, 256),
        )
        .add(IoConfig::new().set_disconnect_timeout(LAST_WRITE_TIMEOUT))
        .into()
}
