//! Liveness, readiness, metrics and a status page in plain text. These paths need no
//! token.

use ntex::http::{Method, Response, StatusCode};

use crate::node::Node;

/// Answers the paths that need no token; returns `None` for all others.
pub(super) fn handle(node: &Node, method: &Method, path: &str) -> Option<Response> {
    if *method != Method::GET {
        return None;
    }
    match path {
        "/healthz" => Some(Response::Ok().body("alive\n")),
        "/readyz" => Some(readiness(node)),
        "/metrics" => Some(
            Response::Ok()
                .content_type("text/plain")
                .body(node.metrics_text()),
        ),
        "/" => Some(
            Response::Ok()
                .content_type("text/plain")
                .body(status_page(node)),
        ),
        _ => None,
    }
}

fn readiness(node: &Node) -> Response {
    if node.draining.get() {
        return Response::build(StatusCode::SERVICE_UNAVAILABLE).body("draining\n");
    }
    if !node.control.may_serve() {
        return Response::build(StatusCode::SERVICE_UNAVAILABLE)
            .body("no configuration is in force yet\n");
    }
    Response::Ok().body("ready\n")
}

fn status_page(node: &Node) -> String {
    let in_force = node.control.in_force();
    format!(
        "stoatstep daemon {instance}\n\n\
         zone       {zone}\n\
         upstream   {upstream}\n\
         version    {version}\n\
         digest     {digest}\n\
         resources  {resources}\n\
         members    {members}\n\
         up for     {up} s\n",
        instance = node.cfg.instance,
        zone = node.cfg.zone,
        upstream = node.cfg.upstream,
        version = in_force.state.version(),
        digest = in_force.digest,
        resources = in_force.state.iter().count(),
        members = node.control.members().len(),
        up = node.started.elapsed().as_secs(),
    )
}
