//! Wraps the HTTP service of a listener, so that a drain can wait for the answers that are not
//! written yet.

use ntex::io::Io;
use ntex::service::{Service, ServiceCtx, ServiceFactory};
use stoatstep_http::PendingWrites;

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
    ntex::service::forward_shutdown!(http);

    async fn call(&self, io: Io, ctx: ServiceCtx<'_, Self>) -> Result<H::Response, H::Error> {
        self.pending_writes.add(io.get_ref());
        ctx.call(&self.http, io).await
    }
}
