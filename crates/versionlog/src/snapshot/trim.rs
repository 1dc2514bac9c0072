//! The transaction that refers to a snapshot and trims the log.

use smol_str::SmolStr;
use stoatstep_platform::{CommitRequest, Row, Write};
use stoatstep_resource::Version;

use crate::config::LogConfig;
use crate::error::LogError;
use crate::keys::operation_key;
use crate::rows::{Head, HeadRow, LogEntry, SnapshotRef, version_of};

/// Snapshots in the head row. With the defaults the retained tail starts from
/// five; the bound holds where the settings were changed in between.
const MAX_SNAPSHOTS: usize = 8;

/// The head with `snapshot`, and the transaction that gets there. Rows below
/// the retained tail go, as far as `oldest_rows` shows them; the rest goes
/// with a later snapshot.
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
        deletes.extend(delete(row)?);
        log_start = log_start.max(version + 1);
    }
    let head = Head {
        log_start,
        snapshots: snapshots(&row.head, snapshot, log_start),
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

/// An operation is forgotten together with its version: a row that outlived
/// it would be deleted by nobody, and the table would grow for good.
fn delete(row: &Row) -> Result<[Write; 2], LogError> {
    let entry = LogEntry::try_from(row)?;
    let key = |key: SmolStr| Write::Delete { key };
    Ok([key(row.key.clone()), key(operation_key(&entry.operation))])
}

/// The new snapshot and the older ones from which the log still leads on.
fn snapshots(head: &Head, newest: SnapshotRef, log_start: Version) -> Vec<SnapshotRef> {
    let leads_on = |it: &&SnapshotRef| log_start <= it.version + 1;
    let older = head.snapshots.iter().filter(leads_on).copied();
    std::iter::once(newest)
        .chain(older)
        .take(MAX_SNAPSHOTS)
        .collect()
}
