//! Asks the platform for newer versions.

use std::rc::Rc;

use ntex::time::{Millis, sleep};

use crate::node::Node;

/// Time between two polls.
const INTERVAL: Millis = Millis(1_000);

pub(super) async fn run(node: Rc<Node>) {
    loop {
        if let Err(err) = poll(&node).await {
            slog::warn!(node.log, "poll failed"; "error" => %err);
        }
        sleep(INTERVAL).await;
    }
}

async fn poll(node: &Rc<Node>) -> Result<(), String> {
    let _ = node;
    Ok(())
}
