//! A transactional table in memory, independent of any transport.

use std::collections::BTreeMap;

use crate::request::{
    CommitAnswer, CommitRequest, Condition, RangeRead, ReadAnswer, ReadRequest, Row, RowKey,
    TableRevision, Write,
};

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Stored {
    revision: TableRevision,
    value: Vec<u8>,
}

/// An ordered table of rows with conditional transactions over several rows.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Table {
    revision: TableRevision,
    rows: BTreeMap<RowKey, Stored>,
}

impl Table {
    /// Returns the revision of the last commit, or 0 before the first.
    #[must_use]
    pub fn revision(&self) -> TableRevision {
        self.revision
    }

    /// Reads rows and ranges at the current revision.
    #[must_use]
    pub fn read(&self, req: &ReadRequest) -> ReadAnswer {
        ReadAnswer {
            rows: req.gets.iter().map(|key| self.get(key)).collect(),
            ranges: req.ranges.iter().map(|range| self.range(range)).collect(),
        }
    }

    /// Commits a transaction, or returns which of its conditions did not hold.
    pub fn commit(&mut self, req: CommitRequest) -> CommitAnswer {
        let failed = self.failed(&req.conditions);
        if !failed.is_empty() {
            return CommitAnswer::Conflict { failed };
        }
        self.revision += 1;
        for write in req.writes {
            self.write(write);
        }
        CommitAnswer::Committed {
            revision: self.revision,
        }
    }

    /// Returns all rows whose keys start with `prefix`, ordered by key.
    pub fn with_prefix(&self, prefix: &str) -> impl Iterator<Item = Row> {
        self.rows
            .range::<str, _>((
                std::ops::Bound::Included(prefix),
                std::ops::Bound::Unbounded,
            ))
            .take_while(move |(key, _)| key.starts_with(prefix))
            .map(|(key, stored)| row(key, stored))
    }

    fn get(&self, key: &RowKey) -> Option<Row> {
        self.rows.get(key).map(|stored| row(key, stored))
    }

    fn range(&self, range: &RangeRead) -> Vec<Row> {
        // `BTreeMap::range` panics if the start is after the end; such a range has no rows.
        if range.start >= range.end {
            return Vec::new();
        }
        self.rows
            .range(range.start.clone()..range.end.clone())
            .take(range.limit)
            .map(|(key, stored)| row(key, stored))
            .collect()
    }

    fn failed(&self, conditions: &[Condition]) -> Vec<usize> {
        let holds = |condition: &Condition| match condition {
            Condition::Absent(key) => !self.rows.contains_key(key),
            Condition::Exists(key) => self.rows.contains_key(key),
            Condition::AtRevision(key, revision) => self
                .rows
                .get(key)
                .is_some_and(|stored| stored.revision == *revision),
        };
        conditions
            .iter()
            .enumerate()
            .filter(|(_, condition)| !holds(condition))
            .map(|(position, _)| position)
            .collect()
    }

    fn write(&mut self, write: Write) {
        match write {
            Write::Put { key, value } => {
                let revision = self.revision;
                self.rows.insert(key, Stored { revision, value });
            }
            Write::Delete { key } => {
                self.rows.remove(&key);
            }
        }
    }
}

fn row(key: &RowKey, stored: &Stored) -> Row {
    Row {
        key: key.clone(),
        revision: stored.revision,
        value: stored.value.clone(),
    }
}
