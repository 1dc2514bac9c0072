//! Reading the head and the versions after one that is held.

use smol_str::SmolStr;
use stoatstep_platform::{ReadAnswer, ReadRequest, Row};
use stoatstep_resource::{Delta, State, Version};

use crate::error::LogError;
use crate::keys::{HEAD, log_range};
use crate::rows::{Head, HeadRow, LogEntry};

/// The versions after one that is held.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Tail {
    /// The log leads on.
    Deltas {
        /// The head in the same view.
        head: Head,
        /// The next versions in order; fewer than there are where the read's
        /// limit cut them, so whoever is still behind the head reads on.
        deltas: Vec<Delta>,
    },
    /// The next version's row was trimmed; a snapshot has to be fetched.
    Trimmed {
        /// The head in the same view.
        head: Head,
    },
}

/// The read of a poll: one row.
#[must_use]
pub fn head_request() -> ReadRequest {
    ReadRequest {
        gets: vec![SmolStr::new_static(HEAD)],
        ranges: Vec::new(),
    }
}

/// Understands the answer to [`head_request`].
///
/// # Errors
///
/// The row is malformed.
pub fn read_head(answer: &ReadAnswer) -> Result<HeadRow, LogError> {
    let row = answer.rows.first().ok_or(LogError::Shape)?;
    head_row(row.as_ref())
}

/// Reads the head and the first `limit` versions after `from` in one view.
#[must_use]
pub fn tail_request(from: Version, limit: usize) -> ReadRequest {
    ReadRequest {
        ranges: vec![log_range(from + 1, limit)],
        ..head_request()
    }
}

/// Understands the answer to [`tail_request`].
///
/// # Errors
///
/// A row is malformed or missing, or the head is behind `from`.
pub fn read_tail(from: Version, answer: &ReadAnswer) -> Result<Tail, LogError> {
    let head = read_head(answer)?.head;
    let rows = answer.ranges.first().ok_or(LogError::Shape)?;
    if head.version < from {
        return Err(LogError::Regressed {
            held: from,
            head: head.version,
        });
    }
    if !head.leads_on_from(from) {
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

/// The rows' deltas, checked for gaps. A view that lacks a row which the head
/// vouches for would otherwise look like "nothing new", and its reader would
/// stay behind for good without a word.
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

/// Applies deltas one after the other.
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
