//! Handles changes of resources.

use std::rc::Rc;

use ntex::http::header::{self, HeaderValue};
use ntex::http::{Payload, Response, StatusCode};
use stoatstep_resource::wire::{Change, ChangeAnswer, ChangeRequest};
use stoatstep_versionlog::WriteError;

use super::{findings, refusal};
use crate::control;
use crate::http::{json, read_body};
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
        Err(invalid) => findings(StatusCode::UNPROCESSABLE_ENTITY, invalid),
    }
}

async fn submit(node: &Rc<Node>, change: Change) -> Response {
    match control::submit(node, change).await {
        Ok(accepted) => {
            let version = accepted.version;
            json(StatusCode::OK, &ChangeAnswer { version })
        }
        Err(err) => error_answer(&err),
    }
}

fn error_answer(err: &WriteError) -> Response {
    let status = match err {
        WriteError::Conflict(_) | WriteError::OperationReused { .. } => StatusCode::CONFLICT,
        WriteError::Invalid(_) | WriteError::Refused { .. } => StatusCode::UNPROCESSABLE_ENTITY,
        WriteError::Unavailable { .. }
        | WriteError::Unsettled { .. }
        | WriteError::Log(_)
        | WriteError::Recovery(_) => StatusCode::SERVICE_UNAVAILABLE,
    };
    let mut res = findings(status, err.findings());
    if let Some(after) = err.retry_after() {
        let seconds = after.as_secs_f64().ceil().max(1.0);
        let value = HeaderValue::from_str(&format!("{seconds:.0}"));
        if let Ok(value) = value {
            res.headers_mut().insert(header::RETRY_AFTER, value);
        }
    }
    res
}
