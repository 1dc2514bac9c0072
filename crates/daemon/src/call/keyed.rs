//! Attempts with an idempotency key at the key's home, the executor that is responsible for it.

use std::rc::Rc;
use std::time::Duration;

use ntex::channel::oneshot;
use ntex::time::timeout;
use serde::{Deserialize, Serialize};
use smol_str::format_smolstr;
use stoatstep_calls::{
    Answer, AttemptId, Deadline, Fingerprint, IdempotencyKey, KeyDecision, KeyText, Reason, Refusal,
};
use stoatstep_platform::{
    CommitAnswer, CommitRequest, Condition, Platform, PlatformError, ReadRequest, Row, RowKey,
    Write,
};

use super::homes;
use super::in_flight::{CallStage, InFlight};
use super::target::RunEnd;
use super::wire::Attempt;
use crate::node::Node;

/// Timeout of a request to the platform that is made while the attempt holds a slot.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(500);

/// Retry delay sent to callers while the platform does not respond.
const PLATFORM_RETRY: Duration = Duration::from_secs(1);

/// Retry delay sent to callers until this process has written its home row.
const HOME_RETRY: Duration = Duration::from_millis(250);

/// Largest answer that is written to a claim row.
const MAX_RECORDED_ANSWER: usize = 32 << 10;

/// Whether an attempt runs its key.
pub(super) enum KeyResolution {
    /// The attempt runs.
    Run,
    /// The attempt does not run and ends like this.
    Ended(RunEnd),
}

/// Decides whether this attempt runs its key. Waits while another attempt with the key runs.
pub(super) async fn resolve(
    node: &Rc<Node>,
    attempt: &Attempt,
    key: &IdempotencyKey,
    deadline: Deadline,
) -> KeyResolution {
    let fingerprint = fingerprint(attempt);
    loop {
        // A key that ran here is decided here, before previous homes are asked: one that has
        // failed would turn the retry of a claim that ran into "not run".
        let begin = if let Some(known) = lookup(node, key, fingerprint) {
            known
        } else {
            if !may_run(node, key) {
                return KeyResolution::Ended(RunEnd::Refused(not_ready()));
            }
            if let Err(end) = homes::check(node, attempt, key).await {
                return KeyResolution::Ended(end);
            }
            begin(node, attempt, key, fingerprint)
        };
        match begin {
            KeyDecision::Run => return KeyResolution::Run,
            KeyDecision::Replay(answer) => return KeyResolution::Ended(RunEnd::Done(answer)),
            KeyDecision::Refused(refusal) => return KeyResolution::Ended(RunEnd::Refused(refusal)),
            KeyDecision::Wait(other) => {
                if !wait_for_end(node, other, deadline).await {
                    return KeyResolution::Ended(RunEnd::refused(Reason::TimedOut));
                }
            }
        }
    }
}

/// Whether this process may run the key yet. Keys with a timestamp are checked against the table
/// in memory only, so the home row that names this process has to be written first. Otherwise the
/// next process, which restores the snapshot of an earlier one, would run the keys again that
/// ran here.
fn may_run(node: &Node, key: &IdempotencyKey) -> bool {
    node.calls.has_home.get() || matches!(key.key, KeyText::Plain(_))
}

fn not_ready() -> Refusal {
    Refusal::retry(Reason::NotReady, HOME_RETRY)
}

fn lookup(node: &Rc<Node>, key: &IdempotencyKey, fingerprint: Fingerprint) -> Option<KeyDecision> {
    let tables = node.calls.executor.borrow();
    tables.keys.lookup(key, fingerprint)
}

fn begin(
    node: &Rc<Node>,
    attempt: &Attempt,
    key: &IdempotencyKey,
    fingerprint: Fingerprint,
) -> KeyDecision {
    let wall = node.calls.clock.wall();
    let mut tables = node.calls.executor.borrow_mut();
    tables.keys.begin(key, fingerprint, attempt.id, wall)
}

fn fingerprint(attempt: &Attempt) -> Fingerprint {
    let call = &attempt.call;
    Fingerprint::over_body([call.method.as_bytes(), call.path.as_bytes()], &call.body)
}

async fn wait_for_end(node: &Rc<Node>, other: AttemptId, deadline: Deadline) -> bool {
    let (tx, rx) = oneshot::channel();
    if let Some(run) = node.calls.executor.borrow_mut().runs.get_mut(&other) {
        run.waiters.push(tx);
    }
    let ended = node.calls.timers.run_until(deadline.expires(), rx).await;
    ended.is_some()
}

/// Row that claims a key without a timestamp for one attempt.
#[derive(Serialize, Deserialize)]
struct ClaimRow {
    attempt: AttemptId,
    fingerprint: Fingerprint,
    answer: Option<Answer>,
}

/// Writes the claim row of a key without a timestamp. Without the row, a first send can't be told
/// from the retry of an attempt that an earlier process ran.
pub(super) async fn claim(
    node: &Rc<Node>,
    attempt: &Attempt,
    key: &IdempotencyKey,
    deadline: Deadline,
) -> Result<(), RunEnd> {
    if matches!(key.key, KeyText::Timed { .. }) {
        return Ok(());
    }
    attempt.claimed.set(true);
    let time_limit = CLAIM_TIMEOUT.min(deadline.left(node.calls.clock.now()));
    let row = ClaimRow {
        attempt: attempt.id,
        fingerprint: fingerprint(attempt),
        answer: None,
    };
    let commit = put_claim(&row, Condition::Absent(row_key(key)), key);
    let written = timeout(time_limit, node.platform.commit(commit)).await;
    match written {
        Ok(Ok(CommitAnswer::Committed { .. })) => Ok(()),
        Ok(Err(err)) if err.is_not_done() => Err(RunEnd::Refused(platform_unavailable())),
        // The answer was lost or another attempt has claimed the key; the row tells which.
        Ok(Ok(CommitAnswer::Conflict { .. }) | Err(_)) | Err(()) => {
            check_claim(node, attempt, key, time_limit).await
        }
    }
}

async fn check_claim(
    node: &Rc<Node>,
    attempt: &Attempt,
    key: &IdempotencyKey,
    time_limit: Duration,
) -> Result<(), RunEnd> {
    let Ok(Ok(row)) = timeout(time_limit, read(node, key)).await else {
        return Err(RunEnd::Refused(platform_unavailable()));
    };
    let Some(row) = row else {
        // The write may still be applied. The row then holds the id of this attempt, which does
        // not run, and prevents the key from running at all, which is safe.
        return Err(RunEnd::Refused(platform_unavailable()));
    };
    let claim: Result<ClaimRow, _> = rmp_serde::from_slice(&row.value);
    let Ok(claim) = claim else {
        return Err(RunEnd::refused(Reason::KeyUnsettled));
    };
    if claim.attempt == attempt.id {
        return Ok(());
    }
    if claim.fingerprint != fingerprint(attempt) {
        return Err(RunEnd::refused(Reason::KeyReused));
    }
    match claim.answer {
        Some(answer) => Err(RunEnd::Done(answer.into())),
        None => Err(RunEnd::refused(Reason::KeyUnsettled)),
    }
}

/// Deletes the claim row of an attempt that did not run, so that the next one can run. If this
/// fails, the key stays claimed and its callers get "unknown".
pub(super) fn release_claim(node: &Rc<Node>, attempt: &Attempt) {
    update_own_claim(node, attempt, |_, row, key| {
        let condition = Condition::AtRevision(row_key(key), row.revision);
        CommitRequest {
            conditions: vec![condition],
            writes: vec![Write::Delete { key: row_key(key) }],
        }
    });
}

/// Writes the answer into the claim row, for retries that reach a later process.
pub(super) fn record_answer(node: &Rc<Node>, attempt: &Attempt, answer: &Answer) {
    if answer.memory_size() > MAX_RECORDED_ANSWER {
        return;
    }
    let answer = answer.clone();
    update_own_claim(node, attempt, move |mut claim, row, key| {
        claim.answer = Some(answer);
        let condition = Condition::AtRevision(row_key(key), row.revision);
        put_claim(&claim, condition, key)
    });
}

/// Changes the claim row if it exists and belongs to this attempt.
fn update_own_claim(
    node: &Rc<Node>,
    attempt: &Attempt,
    change: impl FnOnce(ClaimRow, Row, &IdempotencyKey) -> CommitRequest + 'static,
) {
    let Some(key) = attempt.key.clone().filter(|_| attempt.claimed.get()) else {
        return;
    };
    let in_flight = InFlight::enter(node, CallStage::Recording);
    in_flight.set_request(&attempt.call.request_id);
    let node = Rc::clone(node);
    let id = attempt.id;
    ntex::rt::spawn(async move {
        // The process must not end before the row is changed.
        let _in_flight = in_flight;
        let Ok(Some(row)) = read(&node, &key).await else {
            return;
        };
        let claim: Result<ClaimRow, _> = rmp_serde::from_slice(&row.value);
        let Some(claim) = claim.ok().filter(|it| it.attempt == id) else {
            return;
        };
        let commit = change(claim, row, &key);
        if let Err(err) = node.platform.commit(commit).await {
            slog::warn!(node.log, "claim row not changed"; "error" => %err);
        }
    });
}

async fn read(node: &Rc<Node>, key: &IdempotencyKey) -> Result<Option<Row>, PlatformError> {
    let req = ReadRequest {
        gets: vec![row_key(key)],
        ranges: Vec::new(),
    };
    let answer = node.platform.read(req).await?;
    Ok(answer.rows.into_iter().next().flatten())
}

fn put_claim(row: &ClaimRow, condition: Condition, key: &IdempotencyKey) -> CommitRequest {
    let value = rmp_serde::to_vec(row).expect("plain data always encodes");
    CommitRequest {
        conditions: vec![condition],
        writes: vec![Write::Put {
            key: row_key(key),
            value,
        }],
    }
}

fn row_key(key: &IdempotencyKey) -> RowKey {
    format_smolstr!("claim/{}/{}", key.service, key.name())
}

fn platform_unavailable() -> Refusal {
    Refusal::retry(Reason::PlatformDown, PLATFORM_RETRY)
}
