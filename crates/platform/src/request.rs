//! Requests to the table and its answers.

use smol_str::SmolStr;

/// Key of a row. Keys are ordered bytewise.
pub type RowKey = SmolStr;

/// Number of a commit, counted over the whole table from 1. It only grows, so a row that was
/// deleted and written again never has an older revision.
pub type TableRevision = u64;

/// A row of the table with the revision at which it was written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// Key of the row.
    pub key: RowKey,
    /// Revision of the commit that wrote the row.
    pub revision: TableRevision,
    /// Value of the row.
    pub value: Vec<u8>,
}

/// A read of the rows from `start` (included) to `end` (excluded).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RangeRead {
    /// First key of the range.
    pub start: RowKey,
    /// First key after the range.
    pub end: RowKey,
    /// Largest number of rows to return; the first ones by key are returned.
    pub limit: usize,
}

/// Rows and ranges of rows to read in one consistent view.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReadRequest {
    /// Keys of single rows.
    pub gets: Vec<RowKey>,
    /// Ranges of rows.
    pub ranges: Vec<RangeRead>,
}

/// Answer to a [`ReadRequest`], in the order of its keys and ranges.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReadAnswer {
    /// The row of each key of [`ReadRequest::gets`], if there is one.
    pub rows: Vec<Option<Row>>,
    /// The rows of each range, ordered by key.
    pub ranges: Vec<Vec<Row>>,
}

/// A condition for a transaction to be committed.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Condition {
    /// No row has this key.
    Absent(RowKey),
    /// A row has this key.
    Exists(RowKey),
    /// A row has this key and was last written by this commit.
    AtRevision(RowKey, TableRevision),
}

/// A change of one row.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Write {
    /// Inserts the row or replaces its value.
    Put {
        /// Key of the row.
        key: RowKey,
        /// New value of the row.
        value: Vec<u8>,
    },
    /// Deletes the row, if there is one.
    Delete {
        /// Key of the row.
        key: RowKey,
    },
}

/// A transaction, which applies all writes if all conditions hold, or none of them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct CommitRequest {
    /// Conditions that must all hold.
    pub conditions: Vec<Condition>,
    /// Writes that are applied together.
    pub writes: Vec<Write>,
}

/// Outcome of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommitAnswer {
    /// The transaction was committed.
    Committed {
        /// Revision of the commit, which the written rows now have.
        revision: TableRevision,
    },
    /// The transaction was not committed, since conditions did not hold.
    Conflict {
        /// Positions in the request of the conditions that did not hold.
        failed: Vec<usize>,
    },
}
