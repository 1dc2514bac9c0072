//! Wraps the HTTP service of a listener, so that a drain can wait for the answers that are not
//! written yet, and the last requests are answered.

use std::rc::Rc;
use std::time::Duration;

use ntex::io::Io;
use ntex::service::{Service, ServiceCtx, ServiceFactory};
use ntex::time::sleep;

use crate::node::Node;

/// Time after the port has closed in which requests on open connections are still answered. It is
/// well below the time limit of the server's stop.
const LAST_REQUESTS_TIME: Duration = Duration::from_millis(500);

/// Registers each connection of a listener with the node and passes it on to `http`.
pub(crate) struct TrackedConnections<H> {
    pub(crate) http: H,
    pub(crate) node: Rc<Node>,
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
            node: Rc::clone(&self.node),
        })
    }
}

impl<H: Service<Io>> Service<Io> for TrackedConnections<H> {
    type Response = H::Response;
    type Error = H::Error;

    ntex::service::forward_ready!(http);
    ntex::service::forward_poll!(http);

    /// Shuts the HTTP service down, which closes idle connections at once, also those with a
    /// request on its way. The server calls this after it has closed the port.
    async fn shutdown(&self) {
        self.node.ports_closed.set(true);
        sleep(LAST_REQUESTS_TIME).await;
        self.http.shutdown().await;
    }

    async fn call(&self, io: Io, ctx: ServiceCtx<'_, Self>) -> Result<H::Response, H::Error> {
        self.node.calls.pending_writes.add(io.get_ref());
        ctx.call(&self.http, io).await
    }
}
