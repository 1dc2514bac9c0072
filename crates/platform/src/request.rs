//! What is asked of the table, and what it answers.

use smol_str::SmolStr;

/// Key of a row; keys order bytewise.
pub type RowKey = SmolStr;

/// Number of a commit, counted over the whole table from 1. It only grows, so
/// a row that was deleted and written again never has an older number.
pub type TableRevision = u64;

/// A row as it was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// Key of the row.
    pub key: RowKey,
    /// The commit that wrote the row.
    pub revision: TableRevision,
    /// What the writer put there.
    pub value: Vec<u8>,
}

/// The rows from `start` (included) to `end` (excluded).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RangeRead {
    /// First key.
    pub start: RowKey,
    /// First key that is no longer wanted.
    pub end: RowKey,
    /// Rows at most; the first ones by key.
    pub limit: usize,
}

/// Rows to read, all in one consistent view.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReadRequest {
    /// Single rows.
    pub gets: Vec<RowKey>,
    /// Ranges of rows.
    pub ranges: Vec<RangeRead>,
}

/// What a [`ReadRequest`] found, in its order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReadAnswer {
    /// For each of the gets, the row if there is one.
    pub rows: Vec<Option<Row>>,
    /// For each of the ranges, its rows by key.
    pub ranges: Vec<Vec<Row>>,
}

/// What has to be so for a commit to happen.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Condition {
    /// No row has this key.
    Absent(RowKey),
    /// A row has this key.
    Exists(RowKey),
    /// The row was last written by this commit.
    AtRevision(RowKey, TableRevision),
}

/// One row's change.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Write {
    /// Writes the row, new or in place of the old one.
    Put {
        /// Key of the row.
        key: RowKey,
        /// Its new value.
        value: Vec<u8>,
    },
    /// Deletes the row; an absent one stays absent.
    Delete {
        /// Key of the row.
        key: RowKey,
    },
}

/// A transaction: all writes if all conditions hold, else nothing.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct CommitRequest {
    /// What has to be so.
    pub conditions: Vec<Condition>,
    /// What is written then.
    pub writes: Vec<Write>,
}

/// How a transaction ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommitAnswer {
    /// It happened, as this commit.
    Committed {
        /// Revision that the written rows now have.
        revision: TableRevision,
    },
    /// It did not happen.
    Conflict {
        /// Positions of the conditions that did not hold.
        failed: Vec<usize>,
    },
}
