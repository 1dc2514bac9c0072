//! Encoded types of the table's requests and answers.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::{MAX_COMMIT_ITEMS, MAX_KEY, MAX_READ_ITEMS, WireError};
use crate::request::{
    CommitAnswer, CommitRequest, Condition, RangeRead, ReadAnswer, ReadRequest, Row, Write,
};

#[derive(Serialize, Deserialize)]
pub(super) struct WireRow {
    key: SmolStr,
    revision: u64,
    #[serde(with = "serde_bytes")]
    value: Vec<u8>,
}

#[derive(Serialize, Deserialize)]
pub(super) struct WireRange {
    start: SmolStr,
    end: SmolStr,
    limit: u64,
}

#[derive(Serialize, Deserialize)]
pub(super) struct WireRead {
    gets: Vec<SmolStr>,
    ranges: Vec<WireRange>,
}

#[derive(Serialize, Deserialize)]
pub(super) struct WireReadAnswer {
    rows: Vec<Option<WireRow>>,
    ranges: Vec<Vec<WireRow>>,
}

#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum WireCondition {
    Absent(SmolStr),
    Exists(SmolStr),
    AtRevision(SmolStr, u64),
}

#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum WireWrite {
    Put {
        key: SmolStr,
        #[serde(with = "serde_bytes")]
        value: Vec<u8>,
    },
    Delete {
        key: SmolStr,
    },
}

#[derive(Serialize, Deserialize)]
pub(super) struct WireCommit {
    conditions: Vec<WireCondition>,
    writes: Vec<WireWrite>,
}

#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum WireCommitAnswer {
    Committed { revision: u64 },
    Conflict { failed: Vec<u64> },
}

impl From<Row> for WireRow {
    fn from(row: Row) -> Self {
        Self {
            key: row.key,
            revision: row.revision,
            value: row.value,
        }
    }
}

impl TryFrom<WireRow> for Row {
    type Error = WireError;

    fn try_from(wire: WireRow) -> Result<Self, WireError> {
        Ok(Self {
            key: check_key(wire.key)?,
            revision: wire.revision,
            value: wire.value,
        })
    }
}

impl From<ReadRequest> for WireRead {
    fn from(req: ReadRequest) -> Self {
        let range = |range: RangeRead| WireRange {
            start: range.start,
            end: range.end,
            limit: range.limit as u64,
        };
        Self {
            gets: req.gets,
            ranges: req.ranges.into_iter().map(range).collect(),
        }
    }
}

impl TryFrom<WireRead> for ReadRequest {
    type Error = WireError;

    fn try_from(wire: WireRead) -> Result<Self, WireError> {
        check_count(wire.gets.len() + wire.ranges.len(), MAX_READ_ITEMS)?;
        // The bounds of a range are not check_key as keys, since the end may be any text.
        let range = |range: WireRange| RangeRead {
            start: range.start,
            end: range.end,
            limit: usize::try_from(range.limit).unwrap_or(usize::MAX),
        };
        Ok(Self {
            gets: wire
                .gets
                .into_iter()
                .map(check_key)
                .collect::<Result<_, _>>()?,
            ranges: wire.ranges.into_iter().map(range).collect(),
        })
    }
}

impl From<ReadAnswer> for WireReadAnswer {
    fn from(answer: ReadAnswer) -> Self {
        let rows = |rows: Vec<Row>| rows.into_iter().map(WireRow::from).collect();
        Self {
            rows: answer
                .rows
                .into_iter()
                .map(|row| row.map(WireRow::from))
                .collect(),
            ranges: answer.ranges.into_iter().map(rows).collect(),
        }
    }
}

impl TryFrom<WireReadAnswer> for ReadAnswer {
    type Error = WireError;

    fn try_from(wire: WireReadAnswer) -> Result<Self, WireError> {
        let get = |row: Option<WireRow>| row.map(Row::try_from).transpose();
        let range = |rows: Vec<WireRow>| rows.into_iter().map(Row::try_from).collect();
        Ok(Self {
            rows: wire.rows.into_iter().map(get).collect::<Result<_, _>>()?,
            ranges: wire
                .ranges
                .into_iter()
                .map(range)
                .collect::<Result<_, _>>()?,
        })
    }
}

impl From<Condition> for WireCondition {
    fn from(condition: Condition) -> Self {
        match condition {
            Condition::Absent(key) => Self::Absent(key),
            Condition::Exists(key) => Self::Exists(key),
            Condition::AtRevision(key, revision) => Self::AtRevision(key, revision),
        }
    }
}

impl TryFrom<WireCondition> for Condition {
    type Error = WireError;

    fn try_from(wire: WireCondition) -> Result<Self, WireError> {
        Ok(match wire {
            WireCondition::Absent(key) => Self::Absent(check_key(key)?),
            WireCondition::Exists(key) => Self::Exists(check_key(key)?),
            WireCondition::AtRevision(key, revision) => Self::AtRevision(check_key(key)?, revision),
        })
    }
}

impl From<Write> for WireWrite {
    fn from(write: Write) -> Self {
        match write {
            Write::Put { key, value } => Self::Put { key, value },
            Write::Delete { key } => Self::Delete { key },
        }
    }
}

impl TryFrom<WireWrite> for Write {
    type Error = WireError;

    fn try_from(wire: WireWrite) -> Result<Self, WireError> {
        Ok(match wire {
            WireWrite::Put { key, value } => Self::Put {
                key: check_key(key)?,
                value,
            },
            WireWrite::Delete { key } => Self::Delete {
                key: check_key(key)?,
            },
        })
    }
}

impl From<CommitRequest> for WireCommit {
    fn from(req: CommitRequest) -> Self {
        Self {
            conditions: req.conditions.into_iter().map(Into::into).collect(),
            writes: req.writes.into_iter().map(Into::into).collect(),
        }
    }
}

impl TryFrom<WireCommit> for CommitRequest {
    type Error = WireError;

    fn try_from(wire: WireCommit) -> Result<Self, WireError> {
        check_count(wire.conditions.len() + wire.writes.len(), MAX_COMMIT_ITEMS)?;
        let conditions = wire.conditions.into_iter().map(TryInto::try_into);
        let writes = wire.writes.into_iter().map(TryInto::try_into);
        Ok(Self {
            conditions: conditions.collect::<Result<_, _>>()?,
            writes: writes.collect::<Result<_, _>>()?,
        })
    }
}

impl From<CommitAnswer> for WireCommitAnswer {
    fn from(answer: CommitAnswer) -> Self {
        match answer {
            CommitAnswer::Committed { revision } => Self::Committed { revision },
            CommitAnswer::Conflict { failed } => Self::Conflict {
                failed: failed.into_iter().map(|position| position as u64).collect(),
            },
        }
    }
}

impl TryFrom<WireCommitAnswer> for CommitAnswer {
    type Error = WireError;

    fn try_from(wire: WireCommitAnswer) -> Result<Self, WireError> {
        let position = |position: u64| {
            usize::try_from(position)
                .map_err(|_| WireError::Malformed("position out of range".into()))
        };
        Ok(match wire {
            WireCommitAnswer::Committed { revision } => Self::Committed { revision },
            WireCommitAnswer::Conflict { failed } => Self::Conflict {
                failed: failed.into_iter().map(position).collect::<Result<_, _>>()?,
            },
        })
    }
}

fn check_key(key: SmolStr) -> Result<SmolStr, WireError> {
    if key.is_empty() || key.len() > MAX_KEY {
        return Err(WireError::BadKey(key));
    }
    Ok(key)
}

fn check_count(found: usize, allowed: usize) -> Result<(), WireError> {
    if found > allowed {
        return Err(WireError::TooMany { found, allowed });
    }
    Ok(())
}
