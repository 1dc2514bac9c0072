//! Attempts with an idempotency key, at the key's home.

use std::rc::Rc;

use smol_str::format_smolstr;
use stoatstep_calls::{
    AttemptId, Deadline, Fingerprint, HomeAnswer, HomeCheck, HomeQuery, IdempotencyKey,
    KeyDecision, KeyText, Reason, Refusal,
};
use stoatstep_membership::Time;
use stoatstep_platform::{
    CommitAnswer, CommitRequest, Condition, Platform, ReadRequest, Row, RowKey, Write,
};

use super::Node;
use super::calls::{End, config, index_serving};
use super::entry::Attempt;
use crate::script::Safeguard;
use crate::world::exec::oneshot;
use crate::world::net::{Way, ask};

const ASK_BOUND: Time = Time::from_millis(400);
const MOVING_RETRY: Time = Time::from_millis(250);
const PLATFORM_RETRY: Time = Time::from_secs(1);
const CLAIM_BOUND: Time = Time::from_millis(500);
const UNKNOWN_AFTER: Time = Time::from_secs(10);

/// Settles whether this attempt runs the key; `Err` has its end otherwise.
pub(super) async fn open(
    node: &Rc<Node>,
    attempt: &Attempt,
    key: &IdempotencyKey,
    deadline: Deadline,
) -> Result<(), End> {
    if node.world.is_without(Safeguard::KeyMemory) {
        return Ok(());
    }
    loop {
        let begin = if let Some(known) = recall(node, attempt, key) {
            known
        } else {
            if !may_take(node, key) {
                return Err(Err(Refusal::retry(Reason::NotReady, MOVING_RETRY)));
            }
            check_home(node, attempt, key).await?;
            begin(node, attempt, key)
        };
        let other = match begin {
            KeyDecision::Run => return Ok(()),
            KeyDecision::Replay(answer) => return Err(Ok(answer)),
            KeyDecision::Refused(refusal) => return Err(Err(refusal)),
            KeyDecision::Wait(other) => other,
        };
        if !wait_for(node, other, deadline).await {
            return Err(Err(Refusal::permanent(Reason::TimedOut)));
        }
    }
}

/// The row that makes this process the one that remembers comes first.
fn may_take(node: &Node, key: &IdempotencyKey) -> bool {
    node.calls.borrow().has_home || matches!(key.key, KeyText::Plain(_))
}

fn recall(node: &Node, attempt: &Attempt, key: &IdempotencyKey) -> Option<KeyDecision> {
    let intents = &node.calls.borrow().intents;
    intents.lookup(key, fingerprint(attempt))
}

fn begin(node: &Node, attempt: &Attempt, key: &IdempotencyKey) -> KeyDecision {
    let wall = node.wall();
    let fingerprint = fingerprint(attempt);
    let intents = &mut node.calls.borrow_mut().intents;
    intents.begin(key, fingerprint, attempt.id, wall)
}

fn fingerprint(attempt: &Attempt) -> Fingerprint {
    let call = &attempt.carried.call;
    Fingerprint::of("POST", &call.path, call.body.as_bytes())
}

async fn wait_for(node: &Node, other: AttemptId, deadline: Deadline) -> bool {
    let (tx, rx) = oneshot();
    if let Some(run) = node.calls.borrow_mut().runs.get_mut(&other) {
        run.waiters.push(tx);
    } else {
        drop(tx);
    }
    let left = deadline.left(node.now());
    !left.is_zero() && node.world.exec.timeout(left, rx).await.is_some()
}

/// Whether this executor may run the key now.
async fn check_home(node: &Rc<Node>, attempt: &Attempt, key: &IdempotencyKey) -> Result<(), End> {
    let set = attempt.carried.set;
    config(node);
    let home = node.calls.borrow().homes.check(key, set);
    let questions = match home {
        HomeCheck::Mine => return Ok(()),
        HomeCheck::Ask(questions) => questions,
        HomeCheck::Unsettled => return Err(Err(Refusal::permanent(Reason::KeyUnsettled))),
        HomeCheck::StaleConfig | HomeCheck::NotMine => return Err(Err(stale())),
    };
    for question in questions {
        ask_previous(node, key, &question).await?;
    }
    let current = node.calls.borrow().homes.current_id(&key.service);
    if current == Some(set) {
        Ok(())
    } else {
        Err(Err(stale()))
    }
}

fn stale() -> Refusal {
    Refusal::retry(Reason::StaleConfig, MOVING_RETRY)
}

fn moving() -> Refusal {
    Refusal::retry(Reason::HomeMoving, MOVING_RETRY)
}

async fn ask_previous(
    node: &Rc<Node>,
    key: &IdempotencyKey,
    question: &HomeQuery,
) -> Result<(), End> {
    let Some(index) = index_serving(node, &question.upstream) else {
        settle_deleted(node, key, question);
        return Err(Err(moving()));
    };
    let wanted = key.clone();
    let asker = node.upstream.clone();
    let answer = async move |peer: Rc<Node>| {
        let version = config(&peer);
        let calls = peer.calls.borrow();
        if calls.homes.is_home(&wanted, &asker) {
            (version, calls.intents.status_for_new_home(&wanted))
        } else {
            (0, HomeAnswer::Running)
        }
    };
    let answer = ask(node, index, Way::Fresh, ASK_BOUND, answer).await;
    let Ok((version, answer)) = answer else {
        return Err(Err(moving()));
    };
    if version < question.version {
        return Err(Err(moving()));
    }
    let wall = node.wall();
    let homes = &mut node.calls.borrow_mut().homes;
    homes.confirm(&question.upstream, version, wall);
    match answer {
        HomeAnswer::Never => Ok(()),
        HomeAnswer::Running => Err(Err(moving())),
        HomeAnswer::Done(answer) => Err(Ok(answer)),
        HomeAnswer::Unknown => Err(Err(Refusal::permanent(Reason::KeyUnsettled))),
    }
}

fn settle_deleted(node: &Node, key: &IdempotencyKey, question: &HomeQuery) {
    let wall = node.wall();
    let homes = &mut node.calls.borrow_mut().homes;
    if homes.is_member(&key.service, &question.upstream) {
        return;
    }
    if homes.applied_at(question.version) + UNKNOWN_AFTER < wall {
        homes.mark_deleted(&question.upstream, question.version, wall);
    }
}

/// Writes the claim row of a key that states no time.
pub(super) async fn claim(
    node: &Rc<Node>,
    attempt: &Attempt,
    key: &IdempotencyKey,
    deadline: Deadline,
) -> Result<(), End> {
    if matches!(key.key, KeyText::Timed { .. }) || node.world.is_without(Safeguard::ClaimRow) {
        return Ok(());
    }
    let bound = CLAIM_BOUND.min(deadline.left(node.now()));
    let write = Write::Put {
        key: row_key(key),
        value: attempt.id.to_le_bytes().to_vec(),
    };
    let req = CommitRequest {
        conditions: vec![Condition::Absent(row_key(key))],
        writes: vec![write],
    };
    let platform = node.platform();
    let written = node.world.exec.timeout(bound, platform.commit(req)).await;
    match written {
        Some(Ok(CommitAnswer::Committed { .. })) => Ok(()),
        Some(Err(err)) if err.is_not_done() => Err(Err(platform_down())),
        _ => read_back(node, attempt, key, bound).await,
    }
}

async fn read_back(
    node: &Node,
    attempt: &Attempt,
    key: &IdempotencyKey,
    bound: Time,
) -> Result<(), End> {
    let read = node.world.exec.timeout(bound, read_row(node, key)).await;
    let Some(Some(row)) = read else {
        return Err(Err(platform_down()));
    };
    if row.value == attempt.id.to_le_bytes() {
        Ok(())
    } else {
        Err(Err(Refusal::permanent(Reason::KeyUnsettled)))
    }
}

/// Takes back the claim of an attempt that did not run.
pub(super) fn unclaim(node: &Rc<Node>, attempt: &Attempt) {
    let Some(key) = attempt.carried.key.clone() else {
        return;
    };
    if matches!(key.key, KeyText::Timed { .. }) {
        return;
    }
    let id = attempt.id;
    let claimed = Rc::clone(node);
    node.spawn(async move {
        let Some(row) = read_row(&claimed, &key).await else {
            return;
        };
        if row.value != id.to_le_bytes() {
            return;
        }
        let req = CommitRequest {
            conditions: vec![Condition::AtRevision(row_key(&key), row.revision)],
            writes: vec![Write::Delete { key: row_key(&key) }],
        };
        let _ = claimed.platform().commit(req).await;
    });
}

async fn read_row(node: &Node, key: &IdempotencyKey) -> Option<Row> {
    let req = ReadRequest {
        gets: vec![row_key(key)],
        ranges: Vec::new(),
    };
    let answer = node.platform().read(req).await.ok()?;
    answer.rows.into_iter().next().flatten()
}

fn row_key(key: &IdempotencyKey) -> RowKey {
    format_smolstr!("claim/{}/{}", key.service, key.name())
}

fn platform_down() -> Refusal {
    Refusal::retry(Reason::PlatformDown, PLATFORM_RETRY)
}
