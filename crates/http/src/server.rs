//! HTTP servers on the daemon's own thread.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use ntex::SharedCfg;
use ntex::http::{HttpService, HttpServiceConfig, Request, Response};
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

/// A server that answers every request by one async function.
pub struct Server {
    listener: TcpListener,
}

impl Server {
    /// Listens at `addr`.
    ///
    /// # Errors
    ///
    /// Whatever binding the address fails with.
    pub async fn bind(addr: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(addr).await?;
        Ok(Self { listener })
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
        .into()
}
