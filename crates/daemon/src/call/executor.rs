//! Executor: runs an attempt of an entry daemon on this instance's target.

use std::rc::Rc;
use std::time::Duration;

use ntex::client::error::ClientError;
use ntex::http::{Method, Request, Response};
use ntex::time::Millis;

use super::headers;
use super::outcome::{Outcome, Reason, refuse};
use crate::http::read_body;
use crate::node::Node;

const MAX_BODY: usize = 256 * 1024;
const RETRY_AFTER: Duration = Duration::from_millis(250);
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(2);

/// Runs one attempt.
pub(crate) async fn handle(node: &Rc<Node>, mut req: Request) -> Response {
    let Ok(body) = read_body(req.take_payload(), MAX_BODY).await else {
        return refuse(Outcome::NotRun, Reason::BadRequest, RETRY_AFTER);
    };
    let Some((method, path)) = requested(&req) else {
        return refuse(Outcome::NotRun, Reason::BadRequest, RETRY_AFTER);
    };
    let timeout = req
        .headers()
        .get(headers::DEADLINE_MS)
        .and_then(|it| it.to_str().ok()?.parse().ok())
        .map_or(DEFAULT_TIMEOUT, Duration::from_millis);
    let url = format!("http://{}{path}", node.cfg.target_addr);
    let mut call = node
        .calls
        .target
        .request(method, url)
        .timeout(Millis::from(timeout));
    for (name, value) in req.headers() {
        if !is_between_daemons(name.as_str()) {
            call = call.header(name.clone(), value.clone());
        }
    }
    match call.send_body(body).await {
        Ok(answer) => {
            let mut res = Response::build(answer.status());
            for (name, value) in answer.headers() {
                res.header(name.clone(), value.clone());
            }
            let shed = answer.header(headers::SHED).is_some();
            res.header(headers::OUTCOME, if shed { "not-run" } else { "answered" });
            match read_body(answer.take_payload(), MAX_BODY).await {
                Ok(body) => res.body(body),
                Err(_) => refuse(Outcome::Unknown, Reason::LostAnswer, RETRY_AFTER),
            }
        }
        Err(ClientError::Connect(_)) => refuse(Outcome::NotRun, Reason::NoUpstream, RETRY_AFTER),
        Err(_) => refuse(Outcome::Unknown, Reason::LostAnswer, RETRY_AFTER),
    }
}

fn requested(req: &Request) -> Option<(Method, String)> {
    let text = |name| req.headers().get(name)?.to_str().ok();
    let method = Method::from_bytes(text(headers::CALL_METHOD)?.as_bytes()).ok()?;
    let path = text(headers::CALL_PATH)?;
    path.starts_with('/').then(|| (method, path.to_owned()))
}

fn is_between_daemons(name: &str) -> bool {
    matches!(
        name,
        "host" | "content-length" | "connection" | "transfer-encoding" | "stoatstep-peer"
    ) || name == headers::CALL_METHOD
        || name == headers::CALL_PATH
}
