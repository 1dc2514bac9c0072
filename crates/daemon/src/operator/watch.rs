//! Handles watches, which return the changes after a version, oldest first.

use std::rc::Rc;
use std::time::{Duration, Instant};

use ntex::http::{Request, Response, StatusCode};
use ntex::time::{Millis, timeout};
use stoatstep_resource::Version;
use stoatstep_resource::wire::{EventWire, WatchAnswer};

use super::{findings, parameter, refusal};
use crate::http::json;
use crate::node::Node;

/// Longest wait for a change; afterwards the client sends a new request.
const MAX_WAIT: Duration = Duration::from_secs(30);
const DEFAULT_WAIT_MS: u64 = 10_000;

/// Answers `GET /v1/watch`: at once if there are newer versions, otherwise when one
/// comes into force or the wait ends.
pub(super) async fn handle(node: &Rc<Node>, req: &Request) -> Response {
    let from = parameter::<Version>(req, "from", 0);
    let wait_ms = parameter::<u64>(req, "wait_ms", DEFAULT_WAIT_MS);
    let (from, wait_ms) = match (from, wait_ms) {
        (Ok(from), Ok(wait_ms)) => (from, wait_ms),
        (from, wait_ms) => {
            let invalid = [from.err(), wait_ms.err()].into_iter().flatten().collect();
            return findings(StatusCode::BAD_REQUEST, invalid);
        }
    };
    let until = Instant::now() + Duration::from_millis(wait_ms).min(MAX_WAIT);
    loop {
        let changed = node.control.changed();
        let version = node.control.in_force().state.version();
        if from > version {
            // The client has seen a newer version at another daemon. An answer from
            // the older state here would take it back to an earlier version, so the
            // request waits until this daemon has caught up.
            if !wait(changed, until).await {
                return answer(from, Vec::new());
            }
            continue;
        }
        match node.control.deltas_after(from) {
            Err(_) => {
                return refusal(
                    StatusCode::GONE,
                    "changes after that version are no longer held: list again and start anew",
                );
            }
            Ok(deltas) if !deltas.is_empty() => {
                let events = deltas.iter().map(|it| EventWire::from(it.as_ref()));
                return answer(version, events.collect());
            }
            Ok(_) if !wait(changed, until).await => return answer(version, Vec::new()),
            Ok(_) => {}
        }
    }
}

/// Waits for a change; returns `false` if `until` is reached first.
async fn wait(changed: impl Future, until: Instant) -> bool {
    let left = until.saturating_duration_since(Instant::now());
    !left.is_zero() && timeout(Millis::from(left), changed).await.is_ok()
}

fn answer(version: Version, events: Vec<EventWire>) -> Response {
    json(StatusCode::OK, &WatchAnswer { version, events })
}
