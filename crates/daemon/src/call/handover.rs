//! The memory of keys, handed from a process that leaves to the next one of the
//! same upstream. See "Planned restarts" in `docs/design/at-most-once.md`.
//!
//! The row `home/<upstream>` names the process that may run keys. A process
//! takes the row before its first key, so that the rows form a chain without
//! gaps; one that leaves writes its memory to the object store and notes so in
//! its row.

use std::rc::Rc;
use std::time::Duration;

use ntex::time::{Millis, sleep};
use rand::RngExt;
use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, format_smolstr};
use stoatstep_calls::{IdempotencySnapshot, Incarnation, KnownMembers};
use stoatstep_platform::{
    CommitAnswer, CommitRequest, Condition, Platform, PlatformError, ReadRequest, Row,
    TableRevision, Write,
};

use crate::node::Node;

/// Starts of a whole zone are spread over this time, so that their reads do not
/// come at the platform in one moment.
const SPREAD: Duration = Duration::from_secs(3);

/// Pause before the row is tried again.
const RETRY: Millis = Millis(500);

/// Tries to read the predecessor's memory.
const MEMORY_TRIES: u32 = 5;

/// The process that may run an upstream's keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct HomeRow {
    birth: Incarnation,
    /// Whether it runs nothing any more and its memory is in the object store.
    left: bool,
}

/// Object with the memory of the process `birth`.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct MemoryObject {
    birth: Incarnation,
    memory: IdempotencySnapshot,
    members: KnownMembers,
}

/// A row as it was read, if it makes sense.
struct Found {
    revision: TableRevision,
    row: Option<HomeRow>,
}

/// Takes the row, and with it the predecessor's memory. Keys that state their
/// time are refused until this is done.
pub(super) async fn take(node: Rc<Node>) {
    let spread = rand::rng().random_range(Duration::ZERO..SPREAD);
    sleep(Millis::from(spread)).await;
    let mut predecessor = None;
    loop {
        match try_take(&node, &mut predecessor).await {
            Ok(Some(revision)) => {
                node.calls.home_row.set(Some(revision));
                break;
            }
            Ok(None) => {}
            Err(err) => slog::warn!(node.log, "home row not taken"; "error" => %err),
        }
        sleep(RETRY).await;
    }
    if let Some(HomeRow { birth, left: true }) = predecessor {
        resume(&node, birth).await;
    }
    node.calls.has_home.set(true);
}

/// One try; gives the row's revision once it names this process.
///
/// A commit whose answer was lost shows itself in the next try's read. The
/// predecessor is then the one of the last commit, since a commit lands only on
/// the row that it was made for.
async fn try_take(
    node: &Node,
    predecessor: &mut Option<HomeRow>,
) -> Result<Option<TableRevision>, PlatformError> {
    let birth = birth(node);
    let found = read(node).await?;
    let key = row_key(node);
    let condition = match found {
        Some(found) if found.row.is_some_and(|row| row.birth == birth) => {
            return Ok(Some(found.revision));
        }
        Some(found) => {
            *predecessor = found.row;
            Condition::AtRevision(key, found.revision)
        }
        None => {
            *predecessor = None;
            Condition::Absent(key)
        }
    };
    write(node, HomeRow { birth, left: false }, condition).await
}

/// Hands the memory over. Call it once nothing runs and nothing is taken any
/// more. Where it fails the next process starts with no memory, and keys made
/// before it are unsettled, as after a crash.
pub(super) async fn leave(node: &Rc<Node>) {
    let Some(revision) = node.calls.home_row.get() else {
        return;
    };
    let Some(object) = memory(node) else {
        return;
    };
    if let Err(err) = hand_over(node, revision, &object).await {
        slog::warn!(node.log, "memory of keys not handed over"; "error" => %err);
    }
}

fn memory(node: &Node) -> Option<MemoryObject> {
    let birth = birth(node);
    let tables = node.calls.executor.borrow();
    Some(MemoryObject {
        birth,
        memory: tables.intents.snapshot()?,
        members: tables.homes.known_members(),
    })
}

async fn hand_over(
    node: &Node,
    revision: TableRevision,
    object: &MemoryObject,
) -> Result<(), PlatformError> {
    let birth = object.birth;
    let bytes = rmp_serde::to_vec(object).expect("plain data always encodes");
    // The object comes first: a row that names a memory which is not there yet
    // would let the next process read the one before it.
    node.platform.put_object(&object_name(node), bytes).await?;
    let condition = Condition::AtRevision(row_key(node), revision);
    let taken = write(node, HomeRow { birth, left: true }, condition).await?;
    if taken.is_none() {
        slog::warn!(node.log, "another process has taken this upstream");
    }
    Ok(())
}

async fn resume(node: &Rc<Node>, birth: Incarnation) {
    for _ in 0..MEMORY_TRIES {
        match node.platform.get_object(&object_name(node)).await {
            Ok(bytes) => return adopt(node, birth, &bytes),
            Err(PlatformError::NotFound) => return,
            Err(err) => slog::warn!(node.log, "memory of keys not read"; "error" => %err),
        }
        sleep(RETRY).await;
    }
}

fn adopt(node: &Rc<Node>, birth: Incarnation, bytes: &[u8]) {
    let object: MemoryObject = match rmp_serde::from_slice(bytes) {
        Ok(object) => object,
        Err(err) => {
            slog::error!(node.log, "memory of keys makes no sense"; "error" => %err);
            return;
        }
    };
    // A put that was stuck on its way may have replaced a newer memory. Used
    // for the newer one, it would let keys run again that ran since.
    if object.birth != birth {
        slog::warn!(node.log, "memory of keys is of another process");
        return;
    }
    let keys = object.memory.intents.len();
    let mut tables = node.calls.executor.borrow_mut();
    tables.homes.restore(object.members);
    tables.intents.restore(object.memory);
    slog::info!(node.log, "memory of keys taken over"; "keys" => keys);
}

async fn read(node: &Node) -> Result<Option<Found>, PlatformError> {
    let req = ReadRequest {
        gets: vec![row_key(node)],
        ranges: Vec::new(),
    };
    let row = node.platform.read(req).await?.rows.into_iter().next();
    Ok(row.flatten().map(|row| Found::from(&row)))
}

impl From<&Row> for Found {
    fn from(row: &Row) -> Self {
        Self {
            revision: row.revision,
            row: rmp_serde::from_slice(&row.value).ok(),
        }
    }
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
    Ok(match node.platform.commit(req).await? {
        CommitAnswer::Committed { revision } => Some(revision),
        CommitAnswer::Conflict { .. } => None,
    })
}

fn birth(node: &Node) -> Incarnation {
    let now = node.calls.clock.now();
    node.calls.executor.borrow().ledger.ticket(now).incarnation
}

fn row_key(node: &Node) -> SmolStr {
    format_smolstr!("home/{}", node.cfg.upstream)
}

fn object_name(node: &Node) -> SmolStr {
    format_smolstr!("memory/{}", node.cfg.upstream)
}
