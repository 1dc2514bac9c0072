//! One run of an attempt, from the queue to the record of its outcome.

use std::rc::Rc;
use std::time::Duration;

use stoatstep_calls::{AttemptStatus, Deadline, KnownLimit, Outcome, Reason, Refusal, Time};
use tokio::sync::oneshot;
use tokio::time::timeout;

use super::target::{LostCause, TargetOutcome};
use super::{
    QUEUE_RETRY, Run, Tables, answer_by, answer_stats, mismatch, process_exit, rollout_tally, slot,
    statements,
};
use crate::drain::InFlight;
use crate::identity;
use crate::journal::{RunFailed, Times};
use crate::node::Node;
use crate::quarantine;
use crate::wire::{Attempt, End, Ran};

/// Largest answer that is kept in the ledger for an entry whose link broke.
const MAX_KEPT_ANSWER: usize = 256 << 10;

/// How a run ended, and how long it took.
pub(super) struct RunOutcome {
    pub(super) end: End,
    /// Whether the request reached the target, or may have.
    arrived: bool,
    /// Time in the queue.
    in_queue: Duration,
    /// Time at the target.
    pub(super) at_target: Duration,
    /// Why there is no usable answer, if the request may have run.
    lost: Option<LostCause>,
}

impl RunOutcome {
    fn not_started(refusal: Refusal) -> Self {
        Self {
            end: End::Refused(refusal),
            arrived: false,
            in_queue: Duration::ZERO,
            at_target: Duration::ZERO,
            lost: None,
        }
    }
}

/// Starts the run as a separate task, which outlives the link over which the attempt came:
/// the ledger keeps the answer for an entry whose link broke.
///
/// The answer has to be at the entry by `answer_by`.
pub(super) fn start(
    node: &Rc<Node>,
    attempt: Attempt,
    answer_by: Time,
) -> oneshot::Receiver<(Ran, InFlight)> {
    let (tx, rx) = oneshot::channel();
    let (cancel, cancelled) = oneshot::channel();
    let run = Run {
        cancel: Some(cancel),
        call: Rc::clone(&attempt.call),
        answer_by,
        upstream: None,
        waiters: Vec::new(),
    };
    let mut tables = node.executor.tables.borrow_mut();
    tables.runs.insert(attempt.id, run);
    drop(tables);
    let node = Rc::clone(node);
    let in_flight = InFlight::enter(&node);
    ntex::rt::spawn(async move {
        let outcome = run_or_cancel(&node, &attempt, cancelled).await;
        finish(&node, &attempt, &outcome);
        log_failure(&node, &attempt, &outcome);
        // If nobody receives it because the link broke, the ledger has the outcome.
        let _ = tx.send((ran(&node, outcome), in_flight));
    });
    rx
}

/// The result that the entry gets for an attempt that did not start.
pub(super) fn refused(node: &Node, end: End) -> Ran {
    let outcome = RunOutcome {
        end,
        arrived: false,
        in_queue: Duration::ZERO,
        at_target: Duration::ZERO,
        lost: None,
    };
    ran(node, outcome)
}

fn ran(node: &Node, outcome: RunOutcome) -> Ran {
    let now = node.clock.now();
    let tables = node.executor.tables.borrow();
    Ran {
        ticket: tables.ledger.ticket(now),
        occupancy: super::occupancy(node),
        in_queue: outcome.in_queue,
        at_target: outcome.at_target,
        arrived: outcome.arrived,
        end: outcome.end,
    }
}

async fn run_or_cancel(
    node: &Rc<Node>,
    attempt: &Attempt,
    cancelled: oneshot::Receiver<()>,
) -> RunOutcome {
    tokio::select! {
        biased;
        // Checked first, so that an attempt cancelled before its start does not start.
        Ok(()) = cancelled => cancelled_outcome(node, attempt),
        outcome = run(node, attempt) => outcome,
    }
}

/// The outcome of a cancelled attempt, which depends on whether it had started.
fn cancelled_outcome(node: &Node, attempt: &Attempt) -> RunOutcome {
    let now = node.clock.now();
    let tables = node.executor.tables.borrow();
    let settled = tables.ledger.peek(attempt.id, attempt.ticket, now);
    let arrived = !matches!(settled, AttemptStatus::Queued | AttemptStatus::NotRun);
    let reason = if arrived {
        Reason::LostAnswer
    } else {
        Reason::Revoked
    };
    RunOutcome {
        arrived,
        lost: arrived.then_some(LostCause::Cancelled),
        ..RunOutcome::not_started(Refusal::permanent(reason))
    }
}

/// Waits for a slot, sends the request to the target and waits for its answer.
async fn run(node: &Rc<Node>, attempt: &Attempt) -> RunOutcome {
    let arrived_at = node.clock.now();
    let deadline = Deadline::after(attempt.left, arrived_at);
    let answer_due = || answer_by::of_attempt(node, attempt.id).unwrap_or(deadline.expires());
    let slot = match slot::take(node, attempt, answer_due()).await {
        Ok(slot) => slot,
        Err(refusal) => return RunOutcome::not_started(refusal),
    };
    let started = node.clock.now();
    let Some(left) = deadline.for_next_hop(started) else {
        let refusal = Refusal::retry(Reason::Deadline, QUEUE_RETRY);
        return RunOutcome::not_started(refusal);
    };
    let refusal = quarantine::refusal(node, &attempt.call);
    if let Some(refusal) = refusal.or_else(|| identity::refusal(node, &attempt.call)) {
        return RunOutcome::not_started(refusal);
    }
    let suspected = quarantine::suspected(node, &attempt.call);
    if suspected
        .is_some_and(|it| process_exit::running_requests(node, &attempt.upstream).contains(&it))
    {
        // Counts suspected requests that were refused while another copy of them ran.
        node.journal.count("requests.kept_apart");
        return RunOutcome::not_started(quarantine::refusal_while_running());
    }
    if started > arrived_at
        && let Err(refusal) = answer_stats::check_before_start(node, attempt, answer_due())
    {
        return RunOutcome::not_started(refusal);
    }
    if !may_start(node, attempt) {
        return RunOutcome::not_started(Refusal::permanent(Reason::Revoked));
    }
    node.journal.count("target.requests");
    let on_statement = |it| statements::record(node, &attempt.upstream, it);
    let on_foreign = |it: &_| mismatch::record(node, attempt, it);
    let call = node
        .executor
        .target
        .call(attempt, left, on_statement, on_foreign);
    let end = timeout(left, call).await;
    let end = end.unwrap_or(TargetOutcome::TimedOut);
    if matches!(end, TargetOutcome::Lost(_)) {
        process_exit::check(node, &attempt.upstream).await;
    }
    if matches!(end, TargetOutcome::Answered(_)) {
        slot.finish();
    }
    RunOutcome {
        in_queue: started.saturating_sub(arrived_at),
        at_target: node.clock.now().saturating_sub(started),
        ..outcome_of_target(node, attempt, end)
    }
}

/// Records the start of the run in the ledger. Returns `false` if the attempt was revoked
/// meanwhile: its entry was told that it did not run.
fn may_start(node: &Node, attempt: &Attempt) -> bool {
    let mut tables = node.executor.tables.borrow_mut();
    let may_start = tables.ledger.start(attempt.id);
    if may_start && let Some(run) = tables.runs.get_mut(&attempt.id) {
        run.upstream = Some(attempt.upstream.clone());
    }
    may_start
}

/// The outcome of a run by what the target answered.
fn outcome_of_target(node: &Node, attempt: &Attempt, end: TargetOutcome) -> RunOutcome {
    let lost = match &end {
        TargetOutcome::Lost(cause) => Some(cause.clone()),
        _ => None,
    };
    let unknown = |reason| End::Refused(Refusal::permanent(reason));
    let (end, arrived) = match end {
        TargetOutcome::Answered(answer) => (End::Answered(answer), true),
        TargetOutcome::Lost(_) => (unknown(Reason::LostAnswer), true),
        TargetOutcome::TimedOut => (unknown(Reason::TimedOut), true),
        TargetOutcome::NotRun {
            refusal,
            arrived,
            actual,
        } => {
            if let Some(actual) = actual {
                super::update_target(node, |target, _| {
                    target.record_answer(&attempt.upstream, &actual);
                });
            }
            (End::Refused(by_limit(node, refusal)), arrived)
        }
    };
    RunOutcome {
        end,
        arrived,
        in_queue: Duration::ZERO,
        at_target: Duration::ZERO,
        lost,
    }
}

/// The reason for which the target refused: its limit, if it states one. Without a limit a
/// target that refuses although it has a free slot is failing.
fn by_limit(node: &Node, refusal: Refusal) -> Refusal {
    let known = node.executor.tables.borrow().queue.limiter().known();
    match (refusal.reason, known) {
        (Reason::Shed, KnownLimit::Limited(_)) => Refusal {
            reason: Reason::Limited,
            ..refusal
        },
        _ => refusal,
    }
}

fn log_failure(node: &Node, attempt: &Attempt, outcome: &RunOutcome) {
    let End::Refused(refusal) = &outcome.end else {
        return;
    };
    let occupancy = node.executor.occupancy(node.clock.now());
    let failed = RunFailed {
        call: &attempt.call,
        attempt: attempt.id,
        upstream: &attempt.upstream,
        reason: refusal.reason,
        cause: outcome.lost.as_ref().map_or("", LostCause::as_str),
        arrived: outcome.arrived,
        times: Times {
            queue: outcome.in_queue,
            target: outcome.at_target,
            ..Times::default()
        },
        running: occupancy.running,
        queued: occupancy.queued,
    };
    node.journal.run_failed(&failed, node.clock.now());
}

/// Records the end of a run in the statistics and in the ledger, and wakes its waiters.
fn finish(node: &Rc<Node>, attempt: &Attempt, outcome: &RunOutcome) {
    let now = node.clock.now();
    node.uplink.answer_completed(attempt.id);
    // A failure does not clear a suspected request: the target may have failed before it
    // got to the step that crashes it.
    let is_success = outcome.end.is_success();
    if is_success {
        quarantine::answered(node, &attempt.call);
    }
    let mut tables = node.executor.tables.borrow_mut();
    if let End::Answered(answer) = &outcome.end
        && !answer.is_failure()
    {
        answer_stats::record(&mut tables, &attempt.call.route, answer, outcome.at_target);
    }
    if node.rollouts.is_active(&attempt.call.service) {
        rollout_tally::record_run(&mut tables, attempt, outcome, now);
    }
    if is_success {
        tables.recent.record(attempt.call.fingerprint(), now);
    }
    record_in_ledger(&mut tables, attempt, &outcome.end);
    let run = tables.runs.remove(&attempt.id);
    drop(tables);
    for waiter in run.into_iter().flat_map(|it| it.waiters) {
        let _ = waiter.send(());
    }
}

fn record_in_ledger(tables: &mut Tables, attempt: &Attempt, end: &End) {
    let ledger = &mut tables.ledger;
    match end {
        End::Answered(answer) if answer.memory_size() <= MAX_KEPT_ANSWER => {
            ledger.done(attempt.id, std::sync::Arc::clone(answer));
        }
        End::Answered(_) => ledger.done_without_answer(attempt.id),
        End::Refused(refusal) if refusal.outcome() == Outcome::NotRun => {
            ledger.refused(attempt.id);
        }
        End::Refused(_) => ledger.lost(attempt.id),
    }
}
