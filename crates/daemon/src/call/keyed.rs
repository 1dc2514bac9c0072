//! Attempts with an idempotency key, at the key's home.

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
use super::target::RunEnd;
use super::wire::Attempt;
use crate::node::Node;

/// Time for one request to the platform while a slot is held.
const CLAIM_BOUND: Duration = Duration::from_millis(500);

/// Pause asked for while the platform is out.
const PLATFORM_RETRY: Duration = Duration::from_secs(1);

/// Pause asked for until this process has taken its home row.
const HOME_RETRY: Duration = Duration::from_millis(250);

/// Largest answer that is written back to a claim row.
const MAX_RECORDED: usize = 32 << 10;

/// What the home makes of a key.
pub(super) enum Opened {
    /// This attempt runs it.
    Run,
    /// This attempt does not run; here is its end.
    Ended(RunEnd),
}

/// Settles whether this attempt runs the key, waiting for another one that
/// does.
pub(super) async fn open(
    node: &Rc<Node>,
    attempt: &Attempt,
    key: &IdempotencyKey,
    deadline: Deadline,
) -> Opened {
    let fingerprint = fingerprint(attempt);
    loop {
        // What ran here is settled here. Were previous homes asked first, one
        // that is dead would turn the retry of a claim that ran into "not run".
        let begin = if let Some(known) = recall(node, key, fingerprint) {
            known
        } else {
            if !may_take(node, key) {
                return Opened::Ended(RunEnd::Refused(not_ready()));
            }
            if let Err(end) = homes::check(node, attempt, key).await {
                return Opened::Ended(end);
            }
            begin(node, attempt, key, fingerprint)
        };
        match begin {
            KeyDecision::Run => return Opened::Run,
            KeyDecision::Replay(answer) => return Opened::Ended(RunEnd::Done(answer)),
            KeyDecision::Refused(refusal) => return Opened::Ended(RunEnd::Refused(refusal)),
            KeyDecision::Wait(other) => {
                if !wait_for(node, other, deadline).await {
                    return Opened::Ended(RunEnd::refused(Reason::TimedOut));
                }
            }
        }
    }
}

/// Keys that state their time are judged by memory, so the row that makes this
/// process the one that remembers comes first. Without it a process that the
/// platform never heard of would run keys, and the next one, with the memory of
/// the one before, would run them again.
fn may_take(node: &Node, key: &IdempotencyKey) -> bool {
    node.calls.has_home.get() || matches!(key.key, KeyText::Plain(_))
}

fn not_ready() -> Refusal {
    Refusal::retry(Reason::NotReady, HOME_RETRY)
}

fn recall(node: &Rc<Node>, key: &IdempotencyKey, fingerprint: Fingerprint) -> Option<KeyDecision> {
    let tables = node.calls.executor.borrow();
    tables.intents.lookup(key, fingerprint)
}

fn begin(
    node: &Rc<Node>,
    attempt: &Attempt,
    key: &IdempotencyKey,
    fingerprint: Fingerprint,
) -> KeyDecision {
    let wall = node.calls.clock.wall();
    let mut tables = node.calls.executor.borrow_mut();
    tables.intents.begin(key, fingerprint, attempt.id, wall)
}

fn fingerprint(attempt: &Attempt) -> Fingerprint {
    let call = &attempt.call;
    Fingerprint::of(&call.method, &call.path, &call.body)
}

async fn wait_for(node: &Rc<Node>, other: AttemptId, deadline: Deadline) -> bool {
    let (tx, rx) = oneshot::channel();
    if let Some(run) = node.calls.executor.borrow_mut().runs.get_mut(&other) {
        run.waiters.push(tx);
    }
    let ended = node.calls.alarms.by(deadline.expires(), rx).await;
    ended.is_some()
}

/// Row of a key that states no time.
#[derive(Serialize, Deserialize)]
struct ClaimRow {
    attempt: AttemptId,
    fingerprint: Fingerprint,
    answer: Option<Answer>,
}

/// Writes the claim row of a key that states no time. Without one nothing tells
/// a first send from a retry of what an earlier process ran.
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
    let bound = CLAIM_BOUND.min(deadline.left(node.calls.clock.now()));
    let row = ClaimRow {
        attempt: attempt.id,
        fingerprint: fingerprint(attempt),
        answer: None,
    };
    let commit = put(&row, Condition::Absent(row_key(key)), key);
    let written = timeout(bound, node.platform.commit(commit)).await;
    match written {
        Ok(Ok(CommitAnswer::Committed { .. })) => Ok(()),
        Ok(Err(err)) if err.is_not_done() => Err(RunEnd::Refused(platform_down())),
        // Lost answer, or somebody was first: the row tells which.
        Ok(Ok(CommitAnswer::Conflict { .. }) | Err(_)) | Err(()) => {
            read_back(node, attempt, key, bound).await
        }
    }
}

async fn read_back(
    node: &Rc<Node>,
    attempt: &Attempt,
    key: &IdempotencyKey,
    bound: Duration,
) -> Result<(), RunEnd> {
    let Ok(Ok(row)) = timeout(bound, read(node, key)).await else {
        return Err(RunEnd::Refused(platform_down()));
    };
    let Some(row) = row else {
        // The write may still land. It then bears this attempt's id and keeps
        // the key from running, which is safe: this attempt does not run.
        return Err(RunEnd::Refused(platform_down()));
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

/// Takes back the claim of an attempt that did not run, so that the next one
/// can. Where this fails the key stays claimed, and its callers hear "unknown".
pub(super) fn unclaim(node: &Rc<Node>, attempt: &Attempt) {
    after_claim(node, attempt, |_, row, key| {
        let condition = Condition::AtRevision(row_key(key), row.revision);
        CommitRequest {
            conditions: vec![condition],
            writes: vec![Write::Delete { key: row_key(key) }],
        }
    });
}

/// Writes the answer into the claim row, for retries after this process.
pub(super) fn record(node: &Rc<Node>, attempt: &Attempt, answer: &Answer) {
    if answer.memory_size() > MAX_RECORDED {
        return;
    }
    let answer = answer.clone();
    after_claim(node, attempt, move |mut claim, row, key| {
        claim.answer = Some(answer);
        let condition = Condition::AtRevision(row_key(key), row.revision);
        put(&claim, condition, key)
    });
}

/// Changes this attempt's own claim row, if it is there.
fn after_claim(
    node: &Rc<Node>,
    attempt: &Attempt,
    change: impl FnOnce(ClaimRow, Row, &IdempotencyKey) -> CommitRequest + 'static,
) {
    let Some(key) = attempt.key.clone().filter(|_| attempt.claimed.get()) else {
        return;
    };
    let node = Rc::clone(node);
    let id = attempt.id;
    ntex::rt::spawn(async move {
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

fn put(row: &ClaimRow, condition: Condition, key: &IdempotencyKey) -> CommitRequest {
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

fn platform_down() -> Refusal {
    Refusal::retry(Reason::PlatformDown, PLATFORM_RETRY)
}
