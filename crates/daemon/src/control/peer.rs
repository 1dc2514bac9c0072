//! Handles requests on the port for other daemons.

use std::rc::Rc;

use ntex::http::{Request, Response, StatusCode};
use ntex::util::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::traffic::{ANSWER_HEAD, Class, request_head};
use super::{collect, gossip, pull, push};
use crate::call;
use crate::http::{drop_body, from_msgpack, read_body};
use crate::node::Node;

/// Header that carries the daemons' shared secret.
pub(crate) const PEER_TOKEN: &str = "stoatstep-peer";

/// Paths of control messages.
pub(super) const GOSSIP: &str = "/peer/gossip";
pub(super) const PUSH: &str = "/peer/push";
pub(super) const LOG: &str = "/peer/log";
pub(super) const COLLECT: &str = "/peer/collect";

/// Largest control message in bytes that a peer may send.
const MAX_BODY: usize = 4 << 20;

/// Handles one request of another daemon.
pub(crate) async fn handle(node: &Rc<Node>, mut req: Request) -> Response {
    // Without this check a caller that reaches this port could run calls that bypass
    // routing and limits.
    if !is_peer(node, &req) {
        drop_body(req.take_payload()).await;
        return Response::new(StatusCode::UNAUTHORIZED);
    }
    let path = req.path().to_owned();
    let answer = match path.as_str() {
        GOSSIP => answer_control(node, &mut req, GOSSIP, Class::Membership, gossip::answer).await,
        PUSH => answer_control(node, &mut req, PUSH, Class::Configuration, push::answer).await,
        LOG => answer_control(node, &mut req, LOG, Class::Configuration, pull::answer).await,
        COLLECT => {
            answer_control(
                node,
                &mut req,
                COLLECT,
                Class::Configuration,
                collect::answer,
            )
            .await
        }
        _ => call::handle_peer(node, &mut req).await,
    };
    answer.unwrap_or_else(|| Response::new(StatusCode::NOT_FOUND))
}

/// Decodes a control message, answers it with `answer`, and counts the bytes of
/// both directions.
async fn answer_control<M: DeserializeOwned, A: Serialize>(
    node: &Rc<Node>,
    req: &mut Request,
    path: &str,
    class: Class,
    answer: impl AsyncFnOnce(&Rc<Node>, M) -> A,
) -> Option<Response> {
    let Ok(body) = read_body(req.take_payload(), MAX_BODY).await else {
        return Some(Response::new(StatusCode::PAYLOAD_TOO_LARGE));
    };
    let head = request_head(
        path,
        node.cfg.peer_addr,
        node.cfg.peer_token.expose(),
        body.len(),
    );
    let traffic = &node.control.traffic;
    traffic.received(&node.metrics, class, head + body.len());
    let Ok(message) = from_msgpack(&body) else {
        return Some(Response::new(StatusCode::BAD_REQUEST));
    };
    let answer = answer(node, message).await;
    let bytes = rmp_serde::to_vec(&answer).expect("plain data always encodes");
    traffic.sent(&node.metrics, class, ANSWER_HEAD + bytes.len());
    Some(Response::Ok().body(Bytes::from(bytes)))
}

fn is_peer(node: &Node, req: &Request) -> bool {
    req.headers()
        .get(PEER_TOKEN)
        .is_some_and(|it| node.cfg.peer_token.matches(it.as_bytes()))
}
