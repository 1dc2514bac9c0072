//! The transaction that adds a snapshot to the head and trims the log.

use smol_str::SmolStr;
use stoatstep_platform::{CommitRequest, Row, Write};
use stoatstep_resource::Version;

use crate::config::LogConfig;
use crate::error::LogError;
use crate::keys::operation_key;
use crate::rows::{Head, HeadRow, LogEntry, SnapshotRef, version_of};

/// Most snapshots in the head row. With the default settings the retained tail needs five; the
/// bound takes effect only where the settings were changed between snapshots.
const MAX_SNAPSHOTS: usize = 8;

/// Returns the head with `snapshot` added, and the transaction that writes it. The transaction also
/// deletes those of `oldest_rows` that lie below the retained tail; further ones are deleted by a
/// later snapshot.
pub(super) fn trim(
    row: &HeadRow,
    snapshot: SnapshotRef,
    oldest_rows: &[Row],
    cfg: &LogConfig,
) -> Result<(Head, CommitRequest), LogError> {
    let keep_from = snapshot.version.saturating_sub(cfg.retained_tail) + 1;
    let mut log_start = row.head.log_start;
    let mut deletes = Vec::new();
    for row in oldest_rows {
        let version = version_of(row)?;
        if version >= keep_from {
            break;
        }
        deletes.extend(delete_rows(row)?);
        log_start = log_start.max(version + 1);
    }
    let head = Head {
        log_start,
        snapshots: retained_snapshots(&row.head, snapshot, log_start),
        ..row.head.clone()
    };
    let mut writes = vec![head.put()];
    writes.append(&mut deletes);
    let req = CommitRequest {
        conditions: vec![row.unchanged()],
        writes,
    };
    Ok((head, req))
}

/// Deletes a version's row together with that of its operation. An operation row that outlived its
/// version would never be deleted, and the table would grow without bound.
fn delete_rows(row: &Row) -> Result<[Write; 2], LogError> {
    let entry = LogEntry::try_from(row)?;
    let key = |key: SmolStr| Write::Delete { key };
    Ok([key(row.key.clone()), key(operation_key(&entry.operation))])
}

/// The new snapshot and those older ones from which the log is still complete.
fn retained_snapshots(head: &Head, newest: SnapshotRef, log_start: Version) -> Vec<SnapshotRef> {
    let is_retained = |it: &&SnapshotRef| log_start <= it.version + 1;
    let older = head.snapshots.iter().filter(is_retained).copied();
    std::iter::once(newest)
        .chain(older)
        .take(MAX_SNAPSHOTS)
        .collect()
}
