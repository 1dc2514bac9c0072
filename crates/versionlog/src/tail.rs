//! Reads the head and the versions after a given one.

use smol_str::SmolStr;
use stoatstep_platform::{ReadAnswer, ReadRequest, Row};
use stoatstep_resource::{Delta, State, Version};

use crate::error::LogError;
use crate::keys::{HEAD, log_range};
use crate::rows::{Head, HeadRow, LogEntry};

/// The versions after a given one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Tail {
    /// The log holds the next versions.
    Deltas {
        /// The head in the same view.
        head: Head,
        /// The next versions in order. They may end before the head where the read's limit was
        /// reached; the rest takes another read.
        deltas: Vec<Delta>,
    },
    /// The next version's row was deleted, so a snapshot has to be fetched.
    Trimmed {
        /// The head in the same view.
        head: Head,
    },
}

/// The request that reads the head row.
#[must_use]
pub fn head_request() -> ReadRequest {
    ReadRequest {
        gets: vec![SmolStr::new_static(HEAD)],
        ranges: Vec::new(),
    }
}

/// Decodes the answer to [`head_request`].
///
/// # Errors
///
/// The row is malformed.
pub fn read_head(answer: &ReadAnswer) -> Result<HeadRow, LogError> {
    let row = answer.rows.first().ok_or(LogError::IncompleteAnswer)?;
    head_row(row.as_ref())
}

/// The request that reads the head and the first `limit` versions after `from` in one consistent
/// view.
#[must_use]
pub fn tail_request(from: Version, limit: usize) -> ReadRequest {
    ReadRequest {
        ranges: vec![log_range(from + 1, limit)],
        ..head_request()
    }
}

/// Decodes the answer to [`tail_request`].
///
/// # Errors
///
/// A row is malformed or missing, or the head is older than `from`.
pub fn read_tail(from: Version, answer: &ReadAnswer) -> Result<Tail, LogError> {
    let head = read_head(answer)?.head;
    let rows = answer.ranges.first().ok_or(LogError::IncompleteAnswer)?;
    if head.version < from {
        return Err(LogError::Regressed {
            held: from,
            head: head.version,
        });
    }
    if !head.log_continues_from(from) {
        return Ok(Tail::Trimmed { head });
    }
    let deltas = read_deltas(from, &head, rows)?;
    Ok(Tail::Deltas { head, deltas })
}

fn head_row(row: Option<&Row>) -> Result<HeadRow, LogError> {
    let Some(row) = row else {
        return Ok(HeadRow {
            head: Head::empty(State::default().digest()),
            revision: None,
        });
    };
    Ok(HeadRow {
        head: Head::try_from(row)?,
        revision: Some(row.revision),
    })
}

/// Decodes the rows' deltas and checks for gaps. Without the check a missing row would look like
/// the end of the log, and the reader would stay behind the head forever without an error.
fn read_deltas(from: Version, head: &Head, rows: &[Row]) -> Result<Vec<Delta>, LogError> {
    let mut deltas = Vec::with_capacity(rows.len());
    let mut next = from + 1;
    for row in rows {
        let delta = LogEntry::try_from(row)?.delta;
        if delta.version != next || next > head.version {
            return Err(LogError::Missing { version: next });
        }
        deltas.push(delta);
        next += 1;
    }
    if deltas.is_empty() && from < head.version {
        return Err(LogError::Missing { version: next });
    }
    Ok(deltas)
}

/// Applies the deltas in order. Returns `None` if there are none.
pub(crate) fn apply_all(state: &State, deltas: &[Delta]) -> Result<Option<State>, LogError> {
    let mut latest = None;
    for delta in deltas {
        let base = latest.as_ref().unwrap_or(state);
        let next = base.apply(delta).map_err(|error| LogError::Apply {
            version: delta.version,
            error,
        })?;
        latest = Some(next);
    }
    Ok(latest)
}
