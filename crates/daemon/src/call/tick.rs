//! What the call side does from time to time.

use std::rc::Rc;
use std::time::Duration;

use ntex::time::{Millis, sleep};
use stoatstep_calls::Reason;

use super::{drain, slot, sync};
use crate::node::Node;

/// Timeouts of calls are rounded up to it.
const INTERVAL: Millis = Millis(20);

/// Ticks between two looks at configuration and membership.
const SYNC_EVERY: u32 = 10;

/// Ticks between two clean-ups of the tables.
const CLEAN_EVERY: u32 = 50;

/// A gap between two ticks that only a freeze explains.
const FREEZE: Duration = Duration::from_millis(800);

pub(super) async fn run(node: Rc<Node>) {
    let mut last = node.calls.clock.now();
    let mut count: u32 = 0;
    loop {
        let now = node.calls.clock.now();
        let gap = now.saturating_sub(last);
        if gap > FREEZE {
            wake(&node, gap);
        }
        last = now;
        node.calls.alarms.tick(now);
        slot::pump(&node);
        drain::tick(&node);
        if count.is_multiple_of(SYNC_EVERY) {
            sync::config(&node);
            sync::candidates(&node);
            cap_target(&node).await;
        }
        if count.is_multiple_of(CLEAN_EVERY) {
            clean(&node);
        }
        count = count.wrapping_add(1);
        sleep(INTERVAL).await;
    }
}

/// After a freeze the queue holds calls whose callers gave up meanwhile.
fn wake(node: &Rc<Node>, gap: Duration) {
    slog::warn!(node.log, "woke from a freeze"; "gap_ms" => gap.as_millis());
    let flushed = node
        .calls
        .executor
        .borrow_mut()
        .admission
        .flush(Reason::Woke);
    slot::deliver(node, flushed);
}

fn clean(node: &Rc<Node>) {
    let now = node.calls.clock.now();
    let wall = node.calls.clock.wall();
    let mut tables = node.calls.executor.borrow_mut();
    tables.ledger.tick(now);
    tables.intents.tick(wall);
    tables.homes.tick(wall);
}

async fn cap_target(node: &Rc<Node>) {
    let in_force = node.control.in_force();
    let Some(upstream) = in_force.upstream(&node.cfg.upstream) else {
        return;
    };
    let current = node.calls.target.borrow().clone();
    if let Some(capped) = current.capped(upstream.connections).await {
        *node.calls.target.borrow_mut() = capped;
    }
}
