//! The log as it is stored in the table, and the checks of its versions.

use std::sync::Arc;

use smol_str::SmolStr;
use stoatstep_platform::{CommitRequest, Condition, Table, Write};
use stoatstep_resource::wire::Change;
use stoatstep_resource::{Delta, Key, OperationId, Revision, State, Version};
use stoatstep_versionlog::{Head, LOG_PREFIX, LogEntry, OPERATION_PREFIX};

use super::request::Edit;
use crate::invariant::Invariant;
use crate::resources::service;

/// Index of the operation's row in a writer's read.
pub(super) const OPERATION_ROW: usize = 1;

/// Id of the operation that produces the initial version.
const BASE: &str = "base";

pub(super) fn is_operation_condition(condition: &Condition) -> bool {
    let key = match condition {
        Condition::Absent(key) | Condition::Exists(key) | Condition::AtRevision(key, _) => key,
    };
    key.starts_with(OPERATION_PREFIX)
}

pub(super) fn writes_operation(write: &Write) -> bool {
    let (Write::Put { key, .. } | Write::Delete { key }) = write;
    key.starts_with(OPERATION_PREFIX)
}

/// Returns a table with one service at version 1, and the state at that version.
pub(super) fn with_one_service() -> (Table, Arc<State>) {
    let state = State::default();
    let delta = state.delta(vec![service("floatdesk")], Vec::new());
    let next = state
        .apply(&delta)
        .expect("the delta was made for this state");
    let mut table = Table::default();
    let writes = rows(delta, BASE.into());
    let conditions = Vec::new();
    table.commit(CommitRequest { conditions, writes });
    (table, Arc::new(next))
}

fn rows(delta: Delta, operation: OperationId) -> Vec<Write> {
    let head = Head {
        version: delta.version,
        ..Head::empty(delta.digest)
    };
    let author = SmolStr::new_static("operator");
    let entry = LogEntry {
        delta,
        operation,
        author,
    };
    vec![head.put(), entry.put()]
}

/// The log's versions in order.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Log {
    versions: Vec<(OperationId, Delta)>,
}

impl Log {
    pub(super) fn read(table: &Table) -> Self {
        let rows = table.with_prefix(LOG_PREFIX);
        let entry = |row| LogEntry::try_from(&row).expect("writers write well formed rows");
        let entries = rows.map(entry);
        Self {
            versions: entries.map(|it| (it.operation, it.delta)).collect(),
        }
    }

    /// Whether every version of `before` is still in the log and unchanged.
    pub(super) fn extends(&self, before: &Self) -> bool {
        self.versions.starts_with(&before.versions)
    }

    pub(super) fn operation(&self, version: Version) -> Option<&OperationId> {
        let index = usize::try_from(version.checked_sub(1)?).ok()?;
        self.versions.get(index).map(|(operation, _)| operation)
    }

    pub(super) fn count(&self, operation: &OperationId) -> usize {
        let same = self.versions.iter().filter(|(it, _)| it == operation);
        same.count()
    }

    /// The version and the rows that add a change to the log without validation.
    pub(super) fn unchecked(&self, change: &Change) -> (Version, Vec<Write>) {
        let puts = change.puts.iter().map(|(it, _)| it.clone()).collect();
        let deletes = change.deletes.iter().map(|(it, _)| it.clone()).collect();
        let delta = self.newest().delta(puts, deletes);
        (delta.version, rows(delta, change.operation.clone()))
    }

    fn newest(&self) -> State {
        let apply = |state: State, (_, delta): &(_, Delta)| state.apply(delta).unwrap_or(state);
        self.versions.iter().fold(State::default(), apply)
    }

    pub(super) fn violated(&self, edits: &[Edit]) -> Option<Invariant> {
        let mut state = State::default();
        for (operation, delta) in &self.versions {
            if self.count(operation) > 1 {
                return Some(Invariant::OperationOnce);
            }
            if !matches_expected(edits, operation, &state) {
                return Some(Invariant::ExpectedRevision);
            }
            let Ok(next) = state.apply(delta) else {
                return Some(Invariant::LogIsValid);
            };
            state = next;
        }
        None
    }
}

fn matches_expected(edits: &[Edit], operation: &OperationId, state: &State) -> bool {
    let changes = edits.iter().map(Edit::change);
    let mut own = changes.filter(|it| it.operation == *operation);
    own.all(|change| {
        let mut puts = change.puts.iter();
        puts.all(|(resource, expected)| is_at_revision(state, &resource.key(), *expected))
    })
}

fn is_at_revision(state: &State, key: &Key, expected: Option<Revision>) -> bool {
    let found = state.get(key).map_or(0, |held| held.revision);
    expected.is_none_or(|expected| expected == found)
}
