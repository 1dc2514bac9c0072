//! Handles requests on the port for operators: resources, watches, status, health and
//! metrics.

mod changes;
mod health;
mod resources;
mod status;
mod watch;

use std::rc::Rc;
use std::str::FromStr;

use ntex::http::{Method, Request, Response, StatusCode};
use stoatstep_resource::wire::FindingsAnswer;
use stoatstep_resource::{Finding, Place};

use crate::http::{drop_body, json};
use crate::node::Node;

/// Handles one request of an operator.
pub(crate) async fn handle(node: &Rc<Node>, mut req: Request) -> Response {
    let method = req.method().clone();
    let path = req.path().to_owned();
    if let Some(res) = health::handle(node, &method, &path) {
        return res;
    }
    if !is_operator(node, &req) {
        drop_body(req.take_payload()).await;
        return refusal(
            StatusCode::UNAUTHORIZED,
            "an operator's token is needed: authorization: Bearer TOKEN",
        );
    }
    let segments: Vec<&str> = path.split('/').skip(1).collect();
    match (&method, segments.as_slice()) {
        (&Method::GET, ["v1", "resources", rest @ ..]) => resources::handle(node, rest),
        (&Method::POST, ["v1", "changes"]) => changes::handle(node, req.take_payload()).await,
        (&Method::GET, ["v1", "watch"]) => watch::handle(node, &req).await,
        (&Method::GET, ["v1", "status"]) => status::handle(node).await,
        (&Method::POST, ["v1", "drain"]) => status::drain(node),
        _ => refusal(StatusCode::NOT_FOUND, "no such path or method"),
    }
}

/// Returns an answer with a single finding that refers to no place.
fn refusal(status: StatusCode, message: &str) -> Response {
    let finding = Finding::new(Place::default(), message);
    findings(status, vec![finding])
}

fn findings(status: StatusCode, findings: Vec<Finding>) -> Response {
    json(status, &FindingsAnswer { findings })
}

/// Returns the value of a query parameter, `default` if it is absent, or a finding
/// that names the parameter if its value can't be parsed.
fn parameter<T: FromStr>(req: &Request, name: &str, default: T) -> Result<T, Finding> {
    let query = req.uri().query().unwrap_or_default();
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let Some((_, text)) = pairs.find(|(key, _)| *key == name) else {
        return Ok(default);
    };
    text.parse().map_err(|_| {
        let place = Place {
            field: Some(name.into()),
            ..Place::default()
        };
        Finding::new(place, "is not a whole number")
    })
}

fn is_operator(node: &Node, req: &Request) -> bool {
    let given = req.headers().get("authorization");
    given
        .and_then(|it| it.as_bytes().strip_prefix(b"Bearer "))
        .is_some_and(|token| node.cfg.operator_token.matches(token))
}
