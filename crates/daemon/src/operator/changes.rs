//! Changes of resources.

use std::rc::Rc;

use ntex::http::{Payload, Response, StatusCode};
use stoatstep_resource::wire::{Change, ChangeRequest};

use super::{findings, refusal};
use crate::http::read_body;
use crate::node::Node;

/// Largest change, in bytes of JSON.
const MAX_BODY: usize = 1024 * 1024;

/// Answers `POST /v1/changes`.
pub(super) async fn handle(node: &Rc<Node>, payload: Payload) -> Response {
    let Ok(body) = read_body(payload, MAX_BODY).await else {
        return refusal(
            StatusCode::PAYLOAD_TOO_LARGE,
            "the change is larger than 1 MiB",
        );
    };
    let req: ChangeRequest = match serde_json::from_slice(&body) {
        Ok(req) => req,
        Err(err) => return refusal(StatusCode::BAD_REQUEST, &err.to_string()),
    };
    match Change::try_from(req) {
        Ok(change) => submit(node, change).await,
        Err(wrong) => findings(StatusCode::UNPROCESSABLE_ENTITY, wrong),
    }
}

async fn submit(node: &Rc<Node>, change: Change) -> Response {
    let _ = (node, change);
    refusal(StatusCode::SERVICE_UNAVAILABLE, "not yet")
}
