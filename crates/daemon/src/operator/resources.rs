//! Handles reads of resources.

use ntex::http::{Response, StatusCode};
use stoatstep_resource::wire::{ItemWire, ListAnswer};
use stoatstep_resource::{Key, Kind};

use super::refusal;
use crate::http::json;
use crate::node::Node;

/// Answers `GET /v1/resources`, `/v1/resources/{kind}` and
/// `/v1/resources/{kind}/{name}`.
pub(super) fn handle(node: &Node, rest: &[&str]) -> Response {
    match *rest {
        [] | [""] => list(node, None),
        [kind] => match kind_named(kind) {
            Some(kind) => list(node, Some(kind)),
            None => refusal(StatusCode::NOT_FOUND, "no such kind of resource"),
        },
        [kind, name] => match kind_named(kind) {
            Some(kind) => get(
                node,
                &Key {
                    kind,
                    name: name.into(),
                },
            ),
            None => refusal(StatusCode::NOT_FOUND, "no such kind of resource"),
        },
        _ => refusal(StatusCode::NOT_FOUND, "no such path"),
    }
}

fn kind_named(name: &str) -> Option<Kind> {
    Kind::ALL.into_iter().find(|kind| kind.as_str() == name)
}

fn list(node: &Node, kind: Option<Kind>) -> Response {
    let in_force = node.control.in_force();
    json(StatusCode::OK, &ListAnswer::of(&in_force.state, kind))
}

fn get(node: &Node, key: &Key) -> Response {
    let in_force = node.control.in_force();
    match in_force.state.get(key) {
        Some(held) => json(StatusCode::OK, &ItemWire::from(held)),
        None => refusal(StatusCode::NOT_FOUND, "no such resource"),
    }
}
