//! Sends control messages to other daemons.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use ntex::http::StatusCode;
use ntex::time::{Millis, timeout};
use ntex::util::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::peer::PEER_TOKEN;
use super::traffic::{ANSWER_HEAD, Class, request_head};
use crate::http::{from_msgpack, read_body};
use crate::node::Node;

/// Largest answer in bytes: a whole state, with room for growth.
const MAX_ANSWER: usize = 16 << 20;

/// Why a peer gave no usable answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PeerError {
    /// There was no connection, or no answer in time.
    Unreached,
    /// The peer answered with an error status, or with a body that can't be decoded.
    Unusable,
}

impl fmt::Display for PeerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Unreached => "no answer in time",
            Self::Unusable => "unusable answer",
        })
    }
}

/// An encoded control message, which can be sent to any number of peers.
#[derive(Clone, Debug)]
pub(super) struct Message {
    path: &'static str,
    class: Class,
    body: Bytes,
}

impl Message {
    pub(super) fn new(path: &'static str, class: Class, message: &impl Serialize) -> Self {
        let body = rmp_serde::to_vec(message).expect("plain data always encodes");
        Self {
            path,
            class,
            body: body.into(),
        }
    }
}

/// Sends a control message and decodes the answer.
pub(super) async fn send_request<A: DeserializeOwned>(
    node: &Node,
    addr: SocketAddr,
    message: &Message,
    time_limit: Duration,
) -> Result<A, PeerError> {
    let body = send(node, addr, message, time_limit).await?;
    from_msgpack(&body).map_err(|_| PeerError::Unusable)
}

/// Sends a control message and returns the body of the answer. The time limit covers
/// the whole exchange, including the connect. A connection that went silent is dropped
/// when the limit expires, and the next message takes another one.
pub(super) async fn send(
    node: &Node,
    addr: SocketAddr,
    message: &Message,
    time_limit: Duration,
) -> Result<Bytes, PeerError> {
    let answer = timeout(Millis::from(time_limit), exchange(node, addr, message)).await;
    answer.unwrap_or(Err(PeerError::Unreached))
}

async fn exchange(node: &Node, addr: SocketAddr, message: &Message) -> Result<Bytes, PeerError> {
    let token = node.cfg.peer_token.expose();
    let len = message.body.len();
    let head = request_head(message.path, addr, token, len);
    let traffic = &node.control.traffic;
    traffic.sent(&node.metrics, message.class, head + len);
    let answer = node
        .peers
        .post(format!("http://{addr}{}", message.path))
        .header(PEER_TOKEN, token)
        .send_body(message.body.clone())
        .await
        .map_err(|_| PeerError::Unreached)?;
    let status = answer.status();
    let body = read_body(answer.take_payload(), MAX_ANSWER).await;
    let body = body.map_err(|_| PeerError::Unreached)?;
    traffic.received(&node.metrics, message.class, ANSWER_HEAD + body.len());
    match status {
        StatusCode::OK => Ok(body),
        _ => Err(PeerError::Unusable),
    }
}
