//! One run of an attempt, from the queue to the record of its end.

use std::rc::Rc;
use std::time::Duration;

use stoatstep_calls::{Deadline, Outcome, Reason, Refusal, Settled};
use tokio::sync::oneshot;
use tokio::time::timeout;

use super::target::TargetEnd;
use super::{QUEUE_RETRY, Run, Tables, answers, ended, judged, slot};
use crate::drain::InFlight;
use crate::identity;
use crate::journal::{RunFailed, Times};
use crate::node::Node;
use crate::quarantine;
use crate::wire::{Attempt, End, Ran};

/// Largest answer that is kept for an entry whose link broke.
const MAX_KEPT: usize = 256 << 10;

/// How a run ended, and where its time went.
pub(super) struct Report {
    pub(super) end: End,
    arrived: bool,
    in_queue: Duration,
    pub(super) at_target: Duration,
}

impl Report {
    fn not_started(refusal: Refusal) -> Self {
        Self {
            end: End::Refused(refusal),
            arrived: false,
            in_queue: Duration::ZERO,
            at_target: Duration::ZERO,
        }
    }
}

/// Starts the run as a task of its own. It outlives the link over which the
/// attempt came: an answer whose link broke is what the ledger is for.
pub(super) fn start(node: &Rc<Node>, attempt: Attempt) -> oneshot::Receiver<Ran> {
    let (tx, rx) = oneshot::channel();
    let (cancel, cancelled) = oneshot::channel();
    let run = Run {
        cancel: Some(cancel),
        call: Rc::clone(&attempt.call),
        at: None,
        waiters: Vec::new(),
    };
    let mut tables = node.executor.tables.borrow_mut();
    tables.runs.insert(attempt.id, run);
    drop(tables);
    let node = Rc::clone(node);
    ntex::rt::spawn(async move {
        let _in_flight = InFlight::enter(&node);
        let report = carry_or_cancel(&node, &attempt, cancelled).await;
        finish(&node, &attempt, &report);
        note_failure(&node, &attempt, &report);
        // Where the link is gone, the ledger has the end.
        let _ = tx.send(ran(&node, report));
    });
    rx
}

/// What goes back to the entry for an attempt that did not start.
pub(super) fn refused(node: &Node, end: End) -> Ran {
    let report = Report {
        end,
        arrived: false,
        in_queue: Duration::ZERO,
        at_target: Duration::ZERO,
    };
    ran(node, report)
}

fn ran(node: &Node, report: Report) -> Ran {
    let now = node.clock.now();
    let tables = node.executor.tables.borrow();
    Ran {
        ticket: tables.ledger.ticket(now),
        occupancy: super::occupancy(node),
        in_queue: report.in_queue,
        at_target: report.at_target,
        arrived: report.arrived,
        end: report.end,
    }
}

async fn carry_or_cancel(
    node: &Rc<Node>,
    attempt: &Attempt,
    cancelled: oneshot::Receiver<()>,
) -> Report {
    tokio::select! {
        biased;
        // First, or an attempt that was cancelled before it began would begin.
        Ok(()) = cancelled => cancelled_report(node, attempt),
        report = carry(node, attempt) => report,
    }
}

fn cancelled_report(node: &Node, attempt: &Attempt) -> Report {
    let now = node.clock.now();
    let tables = node.executor.tables.borrow();
    let settled = tables.ledger.peek(attempt.id, attempt.ticket, now);
    let arrived = !matches!(settled, Settled::Queued | Settled::NotRun);
    let reason = if arrived {
        Reason::LostAnswer
    } else {
        Reason::Revoked
    };
    Report {
        arrived,
        ..Report::not_started(Refusal::permanent(reason))
    }
}

async fn carry(node: &Rc<Node>, attempt: &Attempt) -> Report {
    let came = node.clock.now();
    let deadline = Deadline::after(attempt.left, came);
    let slot = match slot::take(node, attempt, deadline).await {
        Ok(slot) => slot,
        Err(refusal) => return Report::not_started(refusal),
    };
    let started = node.clock.now();
    let Some(left) = deadline.for_next_hop(started) else {
        let refusal = Refusal::retry(Reason::Deadline, QUEUE_RETRY);
        return Report::not_started(refusal);
    };
    let refusal = quarantine::refusal(node, &attempt.call);
    if let Some(refusal) = refusal.or_else(|| identity::refusal(node, &attempt.call)) {
        return Report::not_started(refusal);
    }
    let suspected = quarantine::suspected(node, &attempt.call);
    if suspected.is_some_and(|it| ended::running(node, &attempt.upstream).contains(&it)) {
        node.journal.count("requests.kept_apart");
        return Report::not_started(quarantine::refusal_beside_itself());
    }
    if !may_start(node, attempt) {
        return Report::not_started(Refusal::permanent(Reason::Revoked));
    }
    let end = timeout(left, node.executor.target.call(attempt, left)).await;
    let end = end.unwrap_or(TargetEnd::Unknown(Reason::TimedOut));
    if matches!(end, TargetEnd::Unknown(Reason::LostAnswer)) {
        ended::look(node, &attempt.upstream).await;
    }
    if matches!(end, TargetEnd::Answered(_)) {
        slot.finish();
    }
    Report {
        in_queue: started.saturating_sub(came),
        at_target: node.clock.now().saturating_sub(started),
        ..of_target(node, attempt, end)
    }
}

/// `false` where the attempt was revoked meanwhile: its entry was told that it did
/// not run.
fn may_start(node: &Node, attempt: &Attempt) -> bool {
    let mut tables = node.executor.tables.borrow_mut();
    let may_start = tables.ledger.start(attempt.id);
    if may_start && let Some(run) = tables.runs.get_mut(&attempt.id) {
        run.at = Some(attempt.upstream.clone());
    }
    may_start
}

fn of_target(node: &Node, attempt: &Attempt, end: TargetEnd) -> Report {
    let (end, arrived) = match end {
        TargetEnd::Answered(answer) => (End::Answered(answer), true),
        TargetEnd::Unknown(reason) => (End::Refused(Refusal::permanent(reason)), true),
        TargetEnd::NotRun {
            refusal,
            arrived,
            actual,
        } => {
            if let Some(actual) = actual {
                super::learn(node, |target, _| {
                    target.record_answer(&attempt.upstream, &actual);
                });
            }
            (End::Refused(refusal), arrived)
        }
    };
    Report {
        end,
        arrived,
        in_queue: Duration::ZERO,
        at_target: Duration::ZERO,
    }
}

fn note_failure(node: &Node, attempt: &Attempt, report: &Report) {
    let End::Refused(refusal) = &report.end else {
        return;
    };
    let occupancy = node.executor.tables.borrow().queue.occupancy();
    let failed = RunFailed {
        call: &attempt.call,
        attempt: attempt.id,
        upstream: &attempt.upstream,
        reason: refusal.reason,
        arrived: report.arrived,
        times: Times {
            queue: report.in_queue,
            target: report.at_target,
            ..Times::default()
        },
        running: occupancy.running,
        queued: occupancy.queued,
    };
    node.journal.run_failed(&failed, node.clock.now());
}

fn finish(node: &Rc<Node>, attempt: &Attempt, report: &Report) {
    let now = node.clock.now();
    node.uplink.ended(attempt.id);
    // A target that fails a request may do so before the step under which it ends.
    let speaks_for_it = report.end.is_success();
    if speaks_for_it {
        quarantine::answered(node, &attempt.call);
    }
    let mut tables = node.executor.tables.borrow_mut();
    if let End::Answered(answer) = &report.end
        && !answer.is_failure()
    {
        answers::learn(&mut tables, &attempt.call.route, answer, report.at_target);
    }
    if node.rollouts.is_judged(&attempt.call.service) {
        judged::count(&mut tables, attempt, report, now);
    }
    if speaks_for_it {
        tables.recent.note(attempt.call.fingerprint(), now);
    }
    record(&mut tables, attempt, &report.end);
    let run = tables.runs.remove(&attempt.id);
    drop(tables);
    for waiter in run.into_iter().flat_map(|it| it.waiters) {
        let _ = waiter.send(());
    }
}

fn record(tables: &mut Tables, attempt: &Attempt, end: &End) {
    let ledger = &mut tables.ledger;
    match end {
        End::Answered(answer) if answer.weight() <= MAX_KEPT => {
            ledger.done(attempt.id, std::sync::Arc::clone(answer));
        }
        End::Answered(_) => ledger.done_without_answer(attempt.id),
        End::Refused(refusal) if refusal.outcome() == Outcome::NotRun => {
            ledger.refused(attempt.id);
        }
        End::Refused(_) => ledger.lost(attempt.id),
    }
}
