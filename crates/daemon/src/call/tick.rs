//! Periodic work of the call path.

use std::rc::Rc;
use std::time::Duration;

use ntex::time::{Millis, sleep};
use stoatstep_calls::Reason;

use super::{drain, slot, statements, sync};
use crate::node::Node;

/// Time between two ticks. Timeouts of calls are rounded up to a multiple of it.
const INTERVAL: Millis = Millis(20);

/// Ticks between two updates from configuration and membership.
const SYNC_EVERY: u32 = 10;

/// Ticks between two removals of expired entries from the tables.
const CLEAN_EVERY: u32 = 50;

/// Time between two ticks after which the process must have been suspended.
const SUSPENSION: Duration = Duration::from_millis(800);

pub(super) async fn run(node: Rc<Node>) {
    let mut last = node.calls.clock.now();
    let mut count: u32 = 0;
    loop {
        let now = node.calls.clock.now();
        let gap = now.saturating_sub(last);
        if gap > SUSPENSION {
            resumed(&node, gap);
        }
        last = now;
        node.calls.timers.tick(now);
        slot::dispatch_waiting(&node);
        drain::tick(&node);
        if count.is_multiple_of(SYNC_EVERY) {
            sync::apply_config(&node);
            sync::update_candidates(&node);
            limit_target_connections(&node).await;
            statements::check_departure(&node);
        }
        if count.is_multiple_of(CLEAN_EVERY) {
            remove_expired(&node);
        }
        count = count.wrapping_add(1);
        sleep(INTERVAL).await;
    }
}

/// Empties the queue after a suspension of the process, during which the callers of the waiting
/// calls have given up.
fn resumed(node: &Rc<Node>, gap: Duration) {
    slog::warn!(node.log, "woke from a freeze"; "gap_ms" => gap.as_millis());
    let flushed = node
        .calls
        .executor
        .borrow_mut()
        .admission
        .flush(Reason::Woke);
    slot::deliver(node, flushed);
}

fn remove_expired(node: &Rc<Node>) {
    let now = node.calls.clock.now();
    let wall = node.calls.clock.wall();
    let mut tables = node.calls.executor.borrow_mut();
    tables.ledger.tick(now);
    tables.keys.tick(wall);
    tables.homes.tick(wall);
}

async fn limit_target_connections(node: &Rc<Node>) {
    let in_force = node.control.in_force();
    let Some(upstream) = in_force.upstream(&node.cfg.upstream) else {
        return;
    };
    let current = node.calls.target.borrow().clone();
    if let Some(limited) = current.with_limit(upstream.connections).await {
        *node.calls.target.borrow_mut() = limited;
    }
}
