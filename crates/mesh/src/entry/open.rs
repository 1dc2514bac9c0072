//! The calls of an entry that have no answer yet, and how far each has got.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use stoatstep_calls::{AttemptId, Deadline, Reason, Refusal, Time};
use stoatstep_resource::UpstreamName;

use super::call::{Call, DRAINING_RETRY};
use super::throttle;
use crate::journal::CallOpen;
use crate::link::BytesReceived;
use crate::node::Node;
use crate::wire::CallParts;

/// How far a call has got.
#[derive(Clone, Debug, Default)]
enum Stage {
    /// It waits for its customer's quota, or for the choice of a target.
    #[default]
    Placing,
    /// An executor has its attempt.
    Asked(AttemptId, UpstreamName, BytesReceived),
    /// The link of its attempt was lost, and the executor is asked how that ended.
    Settling(AttemptId, UpstreamName),
}

/// Progress of one call, which its attempts update.
#[derive(Debug, Default)]
pub(super) struct Progress {
    stage: RefCell<Stage>,
    /// Whether an attempt that has ended reached its target, or may have.
    has_arrived: Cell<bool>,
}

impl Progress {
    fn may_have_run(&self) -> bool {
        self.has_arrived.get() || !matches!(*self.stage.borrow(), Stage::Placing)
    }

    /// An attempt begins. The result counts the bytes of its answer.
    pub(super) fn asked(&self, attempt: AttemptId, upstream: &UpstreamName) -> BytesReceived {
        let received = BytesReceived::default();
        *self.stage.borrow_mut() = Stage::Asked(attempt, upstream.clone(), Rc::clone(&received));
        received
    }

    /// The link of the attempt was lost.
    pub(super) fn settling(&self) {
        self.stage.replace_with(|stage| match stage {
            Stage::Asked(attempt, upstream, _) => Stage::Settling(*attempt, upstream.clone()),
            Stage::Placing | Stage::Settling(..) => std::mem::take(stage),
        });
    }

    /// The attempt has ended, after it `arrived` at its target or may have.
    pub(super) fn ended(&self, arrived: bool) {
        self.stage.replace(Stage::Placing);
        self.has_arrived.set(self.has_arrived.get() || arrived);
    }
}

/// What is known of an open call.
struct OpenCall {
    parts: Rc<CallParts>,
    progress: Rc<Progress>,
    started_at: Time,
    deadline: Deadline,
}

impl OpenCall {
    /// Passes its details to `log`.
    fn describe(&self, now: Time, log: impl FnOnce(&CallOpen<'_>)) {
        let stage = self.progress.stage.borrow();
        let (name, attempt, upstream, received) = match &*stage {
            Stage::Placing => ("placing", 0, "", 0),
            Stage::Asked(attempt, upstream, received) => {
                let name = if received.get() == 0 {
                    "asked"
                } else {
                    "receiving"
                };
                (name, *attempt, upstream.as_str(), received.get())
            }
            Stage::Settling(attempt, upstream) => ("settling", *attempt, upstream.as_str(), 0),
        };
        log(&CallOpen {
            call: &self.parts,
            stage: name,
            upstream,
            attempt,
            received,
            waited: now.saturating_sub(self.started_at),
            left: self.deadline.left(now),
        });
    }
}

/// All open calls of an entry, in the order in which they came.
#[derive(Default)]
pub(super) struct OpenCalls {
    next: Cell<u64>,
    calls: RefCell<BTreeMap<u64, OpenCall>>,
}

impl OpenCalls {
    fn add(&self, call: &Call, started_at: Time) -> u64 {
        let number = self.next.get();
        self.next.set(number + 1);
        let open = OpenCall {
            parts: Rc::clone(&call.parts),
            progress: Rc::clone(&call.progress),
            started_at,
            deadline: call.deadline,
        };
        self.calls.borrow_mut().insert(number, open);
        number
    }
}

/// Guard of an open call. If it is dropped before the call has ended, it records that the caller
/// left.
pub(super) struct OpenGuard<'a> {
    node: &'a Node,
    call: &'a Call,
    number: u64,
    has_ended: bool,
}

impl<'a> OpenGuard<'a> {
    pub(super) fn new(node: &'a Node, call: &'a Call, started_at: Time) -> Self {
        Self {
            node,
            call,
            number: node.entry.open.add(call, started_at),
            has_ended: false,
        }
    }

    /// Records that the call has ended.
    pub(super) fn end(mut self) {
        self.has_ended = true;
    }
}

impl Drop for OpenGuard<'_> {
    fn drop(&mut self) {
        let open = self.node.entry.open.calls.borrow_mut().remove(&self.number);
        if self.has_ended {
            return;
        }
        throttle::caller_left(self.node, self.call);
        let now = self.node.clock.now();
        if let Some(open) = open {
            open.describe(now, |it| self.node.journal.caller_left(it, now));
        }
    }
}

/// The final answer to a call that is open when this daemon exits. It says that the call did not
/// run only if no attempt may have.
pub(super) fn cut_off(call: &Call) -> Refusal {
    if call.progress.may_have_run() {
        Refusal::permanent(Reason::LostAnswer)
    } else {
        Refusal::retry(Reason::Draining, DRAINING_RETRY)
    }
}

/// Logs the calls that are open when this daemon exits, and forgets them.
pub(crate) fn log_cut_off(node: &Node) {
    let now = node.clock.now();
    for open in node.entry.open.calls.take().values() {
        open.describe(now, |it| node.journal.call_cut_off(it, now));
    }
}
