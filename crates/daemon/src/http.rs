//! Helpers for requests and responses, shared by the three ports.

use ntex::http::{Response, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;
pub(crate) use stoatstep_http::{BodyError, drop_body, read_body};

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
