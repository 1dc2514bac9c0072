//! The time by which the answer to an attempt has to be at its entry: the caller's deadline, or
//! earlier if the entry or this daemon stops.

use std::rc::Rc;

use stoatstep_calls::{AttemptId, Time};

use super::{Tables, slot};
use crate::node::Node;

/// Where an attempt came from, and where its answer goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Origin {
    /// This daemon's entry. The answer does not leave the instance.
    Local,
    /// Another daemon, over a link.
    Link {
        /// When the answer has to be there, if that daemon stops.
        answers_due: Option<Time>,
    },
}

impl Origin {
    /// The time by which an attempt with the deadline `expires` has to be answered: before its
    /// entry exits, and before this daemon does.
    pub(crate) fn answer_by(self, node: &Node, expires: Time) -> Time {
        self.answers_due(node).map_or(expires, |it| it.min(expires))
    }

    /// The time by which answers have to be at the entry, if that daemon or this one stops.
    pub(super) fn answers_due(self, node: &Node) -> Option<Time> {
        let at_entry = match self {
            Self::Link { answers_due } => answers_due,
            Self::Local => None,
        };
        let here = node.departure.get().answers_due();
        at_entry.into_iter().chain(here).min()
    }
}

/// The time by which the answer to an attempt has to be at its entry.
pub(super) fn of_attempt(node: &Node, attempt: AttemptId) -> Option<Time> {
    let tables = node.executor.tables.borrow();
    tables.runs.get(&attempt).map(|it| it.answer_by)
}

/// Has all attempts answered by `due`: this daemon stops.
pub(crate) fn require_all_answers_by(node: &Rc<Node>, due: Time) {
    let attempts: Vec<_> = node.executor.tables.borrow().runs.keys().copied().collect();
    require_answers_by(node, attempts, due);
}

/// Has these attempts answered by `due` if they can be, or else refused as not run. Their entry
/// stops.
pub(crate) fn require_answers_by(
    node: &Rc<Node>,
    attempts: impl IntoIterator<Item = AttemptId>,
    due: Time,
) {
    let mut tables = node.executor.tables.borrow_mut();
    let Tables { runs, queue, .. } = &mut *tables;
    for attempt in attempts {
        if let Some(run) = runs.get_mut(&attempt) {
            run.answer_by = run.answer_by.min(due);
        }
        queue.expire_by(attempt, due);
    }
    drop(tables);
    slot::dispatch_waiting(node);
}
