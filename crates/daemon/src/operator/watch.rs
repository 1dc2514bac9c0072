//! Watches: changes after a version, oldest first.

use std::rc::Rc;
use std::time::{Duration, Instant};

use ntex::http::{Request, Response, StatusCode};
use ntex::time::{Millis, timeout};
use stoatstep_resource::Version;
use stoatstep_resource::wire::{EventWire, WatchAnswer};

use super::{findings, parameter, refusal};
use crate::http::json;
use crate::node::Node;

/// Longest wait for a change; a client asks again after it.
const LONGEST_WAIT: Duration = Duration::from_secs(30);
const DEFAULT_WAIT_MS: u64 = 10_000;

/// Answers `GET /v1/watch`: at once if there are newer versions, else when one
/// comes or the wait is over.
pub(super) async fn handle(node: &Rc<Node>, req: &Request) -> Response {
    let from = parameter::<Version>(req, "from", 0);
    let wait_ms = parameter::<u64>(req, "wait_ms", DEFAULT_WAIT_MS);
    let (from, wait_ms) = match (from, wait_ms) {
        (Ok(from), Ok(wait_ms)) => (from, wait_ms),
        (from, wait_ms) => {
            let wrong = [from.err(), wait_ms.err()].into_iter().flatten().collect();
            return findings(StatusCode::BAD_REQUEST, wrong);
        }
    };
    let until = Instant::now() + Duration::from_millis(wait_ms).min(LONGEST_WAIT);
    loop {
        let changed = node.control.changed();
        let version = node.control.in_force().state.version();
        if from > version {
            // The client saw a newer version elsewhere. Answering from the
            // older state here would show it time going backwards, so it waits
            // for this daemon to catch up.
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

/// Waits for a change; `false` when the time is over.
async fn wait(changed: impl Future, until: Instant) -> bool {
    let left = until.saturating_duration_since(Instant::now());
    !left.is_zero() && timeout(Millis::from(left), changed).await.is_ok()
}

fn answer(version: Version, events: Vec<EventWire>) -> Response {
    json(StatusCode::OK, &WatchAnswer { version, events })
}
