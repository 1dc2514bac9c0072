//! The port on which other daemons connect.

use std::rc::Rc;

use ntex::http::{Request, Response, StatusCode};

use crate::call::executor;
use crate::http::same_secret;
use crate::node::Node;

/// Header that carries the daemons' shared secret.
pub(crate) const PEER_TOKEN: &str = "stoatstep-peer";

/// Answers one request of another daemon.
pub(crate) async fn handle(node: &Rc<Node>, req: Request) -> Response {
    // A caller that reached this port could otherwise run calls that bypass
    // routing and limits.
    if !is_peer(node, &req) {
        return Response::new(StatusCode::UNAUTHORIZED);
    }
    match req.path() {
        "/peer/attempt" => executor::handle(node, req).await,
        _ => Response::new(StatusCode::NOT_FOUND),
    }
}

fn is_peer(node: &Node, req: &Request) -> bool {
    req.headers()
        .get(PEER_TOKEN)
        .is_some_and(|it| same_secret(it.as_bytes(), node.cfg.peer_token.as_bytes()))
}
