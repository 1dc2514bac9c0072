//! The memory of keys, handed from a process that leaves to the next one.

use std::rc::Rc;

use smol_str::{SmolStr, format_smolstr};
use stoatstep_calls::{IdempotencySnapshot, Incarnation, KnownMembers};
use stoatstep_membership::Time;
use stoatstep_platform::{
    CommitAnswer, CommitRequest, Condition, Platform, PlatformError, ReadRequest, TableRevision,
    Write,
};

use super::Node;

const SPREAD: Time = Time::from_secs(3);
const RETRY: Time = Time::from_millis(500);
const MEMORY_TRIES: u32 = 5;

/// The process that may run an upstream's keys, and whether it has left.
type HomeRow = (Incarnation, bool);

/// Whose memory it is, and the memory.
type MemoryObject = (Incarnation, IdempotencySnapshot, KnownMembers);

/// Takes the row, and with it the predecessor's memory.
pub(super) async fn take(node: Rc<Node>) {
    node.sleep(SPREAD.mul_f64(node.world.share())).await;
    let mut predecessor = None;
    loop {
        if let Ok(Some(revision)) = try_take(&node, &mut predecessor).await {
            node.calls.borrow_mut().home_row = Some(revision);
            break;
        }
        node.sleep(RETRY).await;
    }
    if let Some((birth, true)) = predecessor {
        resume(&node, birth).await;
    }
    node.calls.borrow_mut().has_home = true;
}

async fn try_take(
    node: &Node,
    predecessor: &mut Option<HomeRow>,
) -> Result<Option<TableRevision>, PlatformError> {
    let birth = birth(node);
    let key = row_key(node);
    let req = ReadRequest {
        gets: vec![key.clone()],
        ranges: Vec::new(),
    };
    let answer = node.platform().read(req).await?;
    let found = answer.rows.into_iter().next().flatten();
    let condition = if let Some(found) = found {
        let row: Option<HomeRow> = rmp_serde::from_slice(&found.value).ok();
        if row.is_some_and(|row| row.0 == birth) {
            return Ok(Some(found.revision));
        }
        *predecessor = row;
        Condition::AtRevision(key, found.revision)
    } else {
        *predecessor = None;
        Condition::Absent(key)
    };
    write(node, (birth, false), condition).await
}

/// Hands the memory over, once nothing runs and nothing is taken any more.
pub(super) async fn leave(node: &Node) {
    let Some((revision, object)) = memory(node) else {
        return;
    };
    let birth = object.0;
    let bytes = rmp_serde::to_vec(&object).expect("plain data always encodes");
    let platform = node.platform();
    if platform.put_object(&object_name(node), bytes).await.is_ok() {
        let condition = Condition::AtRevision(row_key(node), revision);
        let _ = write(node, (birth, true), condition).await;
    }
}

fn memory(node: &Node) -> Option<(TableRevision, MemoryObject)> {
    let birth = birth(node);
    let calls = node.calls.borrow();
    let memory = calls.intents.snapshot()?;
    Some((
        calls.home_row?,
        (birth, memory, calls.homes.known_members()),
    ))
}

async fn resume(node: &Node, birth: Incarnation) {
    for _ in 0..MEMORY_TRIES {
        match node.platform().get_object(&object_name(node)).await {
            Ok(bytes) => return adopt(node, birth, &bytes),
            Err(PlatformError::NotFound) => return,
            Err(_) => node.sleep(RETRY).await,
        }
    }
}

fn adopt(node: &Node, birth: Incarnation, bytes: &[u8]) {
    let object: Result<MemoryObject, _> = rmp_serde::from_slice(bytes);
    let Some((_, memory, members)) = object.ok().filter(|it| it.0 == birth) else {
        return;
    };
    let calls = &mut *node.calls.borrow_mut();
    calls.homes.restore(members);
    calls.intents.restore(memory);
}

async fn write(
    node: &Node,
    row: HomeRow,
    condition: Condition,
) -> Result<Option<TableRevision>, PlatformError> {
    let put = Write::Put {
        key: row_key(node),
        value: rmp_serde::to_vec(&row).expect("plain data always encodes"),
    };
    let req = CommitRequest {
        conditions: vec![condition],
        writes: vec![put],
    };
    Ok(match node.platform().commit(req).await? {
        CommitAnswer::Committed { revision } => Some(revision),
        CommitAnswer::Conflict { .. } => None,
    })
}

fn birth(node: &Node) -> Incarnation {
    node.calls.borrow().ledger.ticket(node.now()).incarnation
}

fn row_key(node: &Node) -> SmolStr {
    format_smolstr!("home/{}", node.upstream)
}

fn object_name(node: &Node) -> SmolStr {
    format_smolstr!("memory/{}", node.upstream)
}
