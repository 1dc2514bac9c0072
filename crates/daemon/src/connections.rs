//! Wraps the HTTP service of a listener, so that a drain can wait for the answers that are not
//! written yet, and the last requests are answered.

use std::time::Duration;

use ntex::io::Io;
use ntex::service::{Service, ServiceCtx, ServiceFactory};
use ntex::time::sleep;
use stoatstep_http::PendingWrites;

/// Time for requests on connections that were accepted just before the port closed. It is well
/// below the time limit of the server's stop.
const LAST_REQUESTS_TIME: Duration = Duration::from_millis(250);

/// Registers each connection of a listener in `pending_writes` and passes it on to `http`.
pub(crate) struct TrackedConnections<H> {
    pub(crate) http: H,
    pub(crate) pending_writes: PendingWrites,
}

impl<H, Cfg> ServiceFactory<Io, Cfg> for TrackedConnections<H>
where
    H: ServiceFactory<Io, Cfg>,
{
    type Response = H::Response;
    type Error = H::Error;
    type Service = TrackedConnections<H::Service>;
    type InitError = H::InitError;

    async fn create(&self, cfg: Cfg) -> Result<Self::Service, Self::InitError> {
        Ok(TrackedConnections {
            http: self.http.create(cfg).await?,
            pending_writes: self.pending_writes.clone(),
        })
    }
}

impl<H: Service<Io>> Service<Io> for TrackedConnections<H> {
    type Response = H::Response;
    type Error = H::Error;

    ntex::service::forward_ready!(http);
    ntex::service::forward_poll!(http);

    /// Shuts the HTTP service down, which closes idle connections at once, also those whose first
    /// request is on its way. The port is closed by now.
    async fn shutdown(&self) {
        sleep(LAST_REQUESTS_TIME).await;
        self.http.shutdown().await;
    }

    async fn call(&self, io: Io, ctx: ServiceCtx<'_, Self>) -> Result<H::Response, H::Error> {
        self.pending_writes.add(io.get_ref());
        ctx.call(&self.http, io).await
    }
}
