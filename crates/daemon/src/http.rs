//! Helpers for requests and responses, shared by the three ports.

use ntex::client::{Client, Connector};
use ntex::http::{Response, StatusCode};
use ntex::io::IoConfig;
use ntex::time::{Millis, Seconds};
use serde::Serialize;
use serde::de::DeserializeOwned;
pub(crate) use stoatstep_http::{BodyError, drop_body, read_body, read_request_body};

/// Builds a client that adds nothing to requests and has no time limit for answers.
///
/// # Panics
///
/// Panics if the client does not build, which happens with TLS only.
pub(crate) async fn client(
    name: &'static str,
    connections: usize,
    max_idle: Seconds,
    connect_timeout: Millis,
) -> Client {
    let connector = Connector::new().limit(connections).keep_alive(max_idle);
    let io = IoConfig::new().set_connect_timeout(connect_timeout);
    Client::builder()
        .no_default_headers()
        .disable_redirects()
        .disable_timeout()
        .connector::<()>(connector)
        .build(ntex::SharedCfg::new(name).add(io))
        .await
        .expect("a client without TLS always builds")
}

/// Builds a response with a JSON body.
pub(crate) fn json<T: Serialize>(status: StatusCode, body: &T) -> Response {
    Response::build(status).json(body)
}

/// Builds a response with a `MessagePack` body, as daemons send each other.
pub(crate) fn msgpack<T: Serialize>(status: StatusCode, body: &T) -> Response {
    match rmp_serde::to_vec(body) {
        Ok(bytes) => Response::build(status).body(bytes),
        Err(_) => Response::build(StatusCode::INTERNAL_SERVER_ERROR).finish(),
    }
}

/// Decodes a `MessagePack` body.
pub(crate) fn from_msgpack<T: DeserializeOwned>(
    body: &[u8],
) -> Result<T, rmp_serde::decode::Error> {
    rmp_serde::from_slice(body)
}
