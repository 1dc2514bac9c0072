//! Entry: takes a caller's request, picks an executor and brings back its
//! answer.

use std::rc::Rc;
use std::time::Duration;

use ntex::client::error::ClientError;
use ntex::http::{Method, Request, Response, StatusCode};
use ntex::time::Millis;
use rand::RngExt;

use super::headers;
use super::outcome::{Outcome, Reason, refuse};
use crate::control::Member;
use crate::control::peer::PEER_TOKEN;
use crate::http::read_body;
use crate::in_force::InForce;
use crate::node::Node;

/// Largest request or answer body, in bytes.
const MAX_BODY: usize = 256 * 1024;
const RETRY_AFTER: Duration = Duration::from_millis(250);

/// Answers one caller.
pub(crate) async fn handle(node: &Rc<Node>, mut req: Request) -> Response {
    if node.draining.get() {
        return refuse(Outcome::NotRun, Reason::Draining, RETRY_AFTER);
    }
    let in_force = node.control.in_force();
    let Some(route) = in_force.route(req.path()).cloned() else {
        return refuse(Outcome::NotRun, Reason::NoRoute, RETRY_AFTER);
    };
    let Ok(body) = read_body(req.take_payload(), MAX_BODY).await else {
        return refuse(Outcome::NotRun, Reason::BadRequest, RETRY_AFTER);
    };
    let Some(member) = pick(node, &in_force, &route.route.service) else {
        return refuse(Outcome::NotRun, Reason::NoUpstream, RETRY_AFTER);
    };
    let timeout = deadline(&req).unwrap_or(route.policy.timeout);
    let mut attempt = node
        .peers
        .request(
            Method::POST,
            format!("http://{}/peer/attempt", member.peer_addr),
        )
        .timeout(Millis::from(timeout))
        .header(PEER_TOKEN, node.cfg.peer_token.as_str())
        .header(headers::CALL_METHOD, req.method().as_str())
        .header(headers::CALL_PATH, req.uri().to_string())
        .header(headers::DEADLINE_MS, timeout.as_millis().to_string());
    for name in [
        headers::TENANT,
        headers::CLASS,
        headers::DEPTH,
        headers::IDEMPOTENCY_KEY,
        headers::REQUEST_ID,
        "content-type",
        "stoat-marker",
    ] {
        if let Some(value) = req.headers().get(name) {
            attempt = attempt.header(name, value.clone());
        }
    }
    match attempt.send_body(body).await {
        Ok(answer) => {
            let mut res = Response::build(answer.status());
            for (name, value) in answer.headers() {
                res.header(name.clone(), value.clone());
            }
            res.header(headers::VERSION, in_force.state.version().to_string());
            match read_body(answer.take_payload(), MAX_BODY).await {
                Ok(body) => res.body(body),
                Err(_) => refuse(Outcome::Unknown, Reason::LostAnswer, RETRY_AFTER),
            }
        }
        Err(ClientError::Connect(_)) => refuse(Outcome::NotRun, Reason::NoUpstream, RETRY_AFTER),
        Err(_) => refuse(Outcome::Unknown, Reason::LostAnswer, RETRY_AFTER),
    }
}

fn pick(node: &Node, in_force: &InForce, service: &str) -> Option<Member> {
    let mut candidates: Vec<Member> = in_force
        .upstreams_of(service)
        .iter()
        .flat_map(|upstream| node.control.serving(upstream))
        .collect();
    if candidates.is_empty() {
        return None;
    }
    let chosen = rand::rng().random_range(0..candidates.len());
    Some(candidates.swap_remove(chosen))
}

fn deadline(req: &Request) -> Option<Duration> {
    let text = req.headers().get(headers::DEADLINE_MS)?.to_str().ok()?;
    text.parse().ok().map(Duration::from_millis)
}

/// Whether the answer's status says that the call ended.
#[allow(dead_code)]
fn is_final(status: StatusCode) -> bool {
    status != StatusCode::SERVICE_UNAVAILABLE
}
