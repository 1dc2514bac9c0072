//! Hands the table of idempotency keys from a process that stops to the next one of the same
//! upstream. See "Planned restarts" in `docs/design/at-most-once.md`.
//!
//! The row `home/<upstream>` names the process that may run keys. A process writes itself into the
//! row before it runs its first key, so that no process is missing in the sequence of rows. One
//! that stops writes a snapshot of its table to the object store and then marks its row.

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

/// Random delay at the start, so that the reads of a whole zone that restarts do not reach the
/// platform at once.
const START_SPREAD: Duration = Duration::from_secs(3);

/// Delay before another try.
const RETRY_DELAY: Millis = Millis(500);

/// Number of tries to read the predecessor's snapshot.
const SNAPSHOT_TRIES: u32 = 5;

/// The process that may run an upstream's keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct HomeRow {
    birth: Incarnation,
    /// Whether the process runs nothing any more and its snapshot is in the object store.
    left: bool,
}

/// Stored snapshot of the process `birth`.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct SnapshotObject {
    birth: Incarnation,
    memory: IdempotencySnapshot,
    members: KnownMembers,
}

/// A stored row; `row` is `None` if its value can't be decoded.
struct StoredRow {
    revision: TableRevision,
    row: Option<HomeRow>,
}

/// Writes this process into the home row and restores the predecessor's snapshot. Keys with a
/// timestamp are refused until this is done.
pub(super) async fn acquire(node: Rc<Node>) {
    let spread = rand::rng().random_range(Duration::ZERO..START_SPREAD);
    sleep(Millis::from(spread)).await;
    let mut predecessor = None;
    loop {
        match try_acquire(&node, &mut predecessor).await {
            Ok(Some(revision)) => {
                node.calls.home_row.set(Some(revision));
                break;
            }
            Ok(None) => {}
            Err(err) => slog::warn!(node.log, "home row not acquired"; "error" => %err),
        }
        sleep(RETRY_DELAY).await;
    }
    if let Some(HomeRow { birth, left: true }) = predecessor {
        restore(&node, birth).await;
    }
    node.calls.has_home.set(true);
}

/// Tries once to write this process into the row. Returns the row's revision as soon as the row
/// names this process.
///
/// If the answer to a commit is lost, the read of the next try shows whether it was applied. The
/// predecessor is then the one found before that commit, since a commit is only applied to the row
/// revision for which it was made.
async fn try_acquire(
    node: &Node,
    predecessor: &mut Option<HomeRow>,
) -> Result<Option<TableRevision>, PlatformError> {
    let birth = own_incarnation(node);
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

/// Stores the snapshot for the next process. Must only be called when nothing runs and no call is
/// accepted any more. If it fails, the next process starts with an empty table, and the outcome
/// of keys made before its start is unknown, as after a crash.
pub(super) async fn store_snapshot(node: &Rc<Node>) {
    let Some(revision) = node.calls.home_row.get() else {
        return;
    };
    let Some(object) = snapshot(node) else {
        return;
    };
    if let Err(err) = hand_over(node, revision, &object).await {
        slog::warn!(node.log, "idempotency keys not handed over"; "error" => %err);
    }
}

fn snapshot(node: &Node) -> Option<SnapshotObject> {
    let birth = own_incarnation(node);
    let tables = node.calls.executor.borrow();
    Some(SnapshotObject {
        birth,
        memory: tables.keys.snapshot()?,
        members: tables.homes.known_members(),
    })
}

async fn hand_over(
    node: &Node,
    revision: TableRevision,
    object: &SnapshotObject,
) -> Result<(), PlatformError> {
    let birth = object.birth;
    let bytes = rmp_serde::to_vec(object).expect("plain data always encodes");
    // The object is written first: if the row were marked before its snapshot exists, the next
    // process could read an earlier one.
    node.platform.put_object(&object_name(node), bytes).await?;
    let condition = Condition::AtRevision(row_key(node), revision);
    let marked = write(node, HomeRow { birth, left: true }, condition).await?;
    if marked.is_none() {
        slog::warn!(
            node.log,
            "another process has become the home of this upstream"
        );
    }
    Ok(())
}

async fn restore(node: &Rc<Node>, birth: Incarnation) {
    for _ in 0..SNAPSHOT_TRIES {
        match node.platform.get_object(&object_name(node)).await {
            Ok(bytes) => return apply_snapshot(node, birth, &bytes),
            Err(PlatformError::NotFound) => return,
            Err(err) => slog::warn!(node.log, "idempotency keys not read"; "error" => %err),
        }
        sleep(RETRY_DELAY).await;
    }
}

fn apply_snapshot(node: &Rc<Node>, birth: Incarnation, bytes: &[u8]) {
    let object: SnapshotObject = match rmp_serde::from_slice(bytes) {
        Ok(object) => object,
        Err(err) => {
            slog::error!(node.log, "stored idempotency keys not decoded"; "error" => %err);
            return;
        }
    };
    // A delayed put may have replaced a newer snapshot by an older one. Restoring the older one
    // would let keys run again that ran after it.
    if object.birth != birth {
        slog::warn!(node.log, "stored idempotency keys are from another process");
        return;
    }
    let keys = object.memory.intents.len();
    let mut tables = node.calls.executor.borrow_mut();
    tables.homes.restore(object.members);
    tables.keys.restore(object.memory);
    slog::info!(node.log, "idempotency keys restored"; "keys" => keys);
}

async fn read(node: &Node) -> Result<Option<StoredRow>, PlatformError> {
    let req = ReadRequest {
        gets: vec![row_key(node)],
        ranges: Vec::new(),
    };
    let row = node.platform.read(req).await?.rows.into_iter().next();
    Ok(row.flatten().map(|row| StoredRow::from(&row)))
}

impl From<&Row> for StoredRow {
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

fn own_incarnation(node: &Node) -> Incarnation {
    let now = node.calls.clock.now();
    node.calls.executor.borrow().ledger.ticket(now).incarnation
}

fn row_key(node: &Node) -> SmolStr {
    format_smolstr!("home/{}", node.cfg.upstream)
}

fn object_name(node: &Node) -> SmolStr {
    format_smolstr!("memory/{}", node.cfg.upstream)
}
