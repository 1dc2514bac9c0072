//! Settles attempts whose links were lost: cancels those that no entry asks for, and answers the
//! entries that ask.

use std::rc::Rc;
use std::time::Duration;

use stoatstep_calls::{AttemptId, AttemptStatus, Ticket};
use stoatstep_telemetry::fields;
use tokio::sync::oneshot;

use super::cancel;
use crate::entry::SETTLE_WINDOW;
use crate::node::Node;
use crate::wire::WireSettled;

/// Time after the loss of a link for which attempts that came over it wait for a slot. After
/// it they are cancelled: an entry that asks for one that has not started revokes it.
const QUEUED_REJOIN_TIMEOUT: Duration = Duration::from_millis(300);

/// Time for an entry whose link broke to ask for its runs over another link. After it, the
/// idempotent runs that no entry asked for are cancelled. It is longer than the entry may take
/// to [ask](crate::entry::SETTLE_WINDOW): a run that is cancelled before has done its work for
/// nothing, and its caller gets no answer.
const REJOIN_TIMEOUT: Duration = SETTLE_WINDOW.saturating_add(Duration::from_millis(200));

/// Handles the loss of the link over which these attempts came. They are cancelled unless
/// their entry asks for them over another link in time.
pub(crate) fn link_lost(node: &Rc<Node>, attempts: Vec<AttemptId>) {
    if attempts.is_empty() {
        return;
    }
    let node = Rc::clone(node);
    ntex::rt::spawn(async move {
        tokio::time::sleep(QUEUED_REJOIN_TIMEOUT).await;
        let is_waiting = |attempt: &AttemptId| {
            let tables = node.executor.tables.borrow();
            tables.waiting.contains_key(attempt)
        };
        let (waiting, running): (Vec<_>, Vec<_>) = attempts.into_iter().partition(is_waiting);
        cancel_unclaimed(&node, waiting);
        tokio::time::sleep(REJOIN_TIMEOUT.saturating_sub(QUEUED_REJOIN_TIMEOUT)).await;
        cancel_unclaimed(&node, running);
    });
}

/// Cancels those of the attempts that no entry has asked for since their link was lost.
fn cancel_unclaimed(node: &Node, attempts: Vec<AttemptId>) {
    for attempt in attempts {
        let tables = node.executor.tables.borrow();
        let run = tables.runs.get(&attempt);
        let is_claimed = run.is_none_or(|it| !it.waiters.is_empty());
        drop(tables);
        if !is_claimed {
            log_unclaimed(node, attempt);
            cancel(node, attempt);
        }
    }
}

fn log_unclaimed(node: &Node, attempt: AttemptId) {
    node.journal.count("runs.unclaimed");
    let Some(suppressed) = node.journal.admits("unclaimed", node.clock.now()) else {
        return;
    };
    let tables = node.executor.tables.borrow();
    let Some(run) = tables.runs.get(&attempt) else {
        return;
    };
    slog::info!(node.log, "run not claimed after its link was lost";
        fields::REQUEST => %run.call.request_id, fields::ATTEMPT => format!("{attempt:032x}"),
        fields::LEFT_OUT => suppressed);
}

/// Determines the outcome of an attempt whose link was lost. If it has not started, it is
/// revoked; if it runs, its end is waited for.
pub(crate) async fn settle(node: &Rc<Node>, attempt: AttemptId, ticket: Ticket) -> WireSettled {
    let settled = revoke(node, attempt, ticket);
    if settled != AttemptStatus::Running {
        return settled.into();
    }
    let (tx, rx) = oneshot::channel();
    if !notify_at_end(node, attempt, tx) {
        return WireSettled::Unknown;
    }
    let _ = rx.await;
    let now = node.clock.now();
    let tables = node.executor.tables.borrow();
    tables.ledger.peek(attempt, ticket, now).into()
}

/// Notifies `waiter` when the attempt's run ends. Returns `false` if it is not running.
fn notify_at_end(node: &Node, attempt: AttemptId, waiter: oneshot::Sender<()>) -> bool {
    let mut tables = node.executor.tables.borrow_mut();
    let run = tables.runs.get_mut(&attempt);
    run.map(|run| run.waiters.push(waiter)).is_some()
}

fn revoke(node: &Node, attempt: AttemptId, ticket: Ticket) -> AttemptStatus {
    let now = node.clock.now();
    let mut tables = node.executor.tables.borrow_mut();
    let settled = tables.ledger.revoke(attempt, ticket, now);
    drop(tables);
    if settled == AttemptStatus::NotRun {
        // It may still occupy a place in the queue.
        cancel(node, attempt);
    }
    settled
}
