//! Calls and attempts for which a drain has to wait.

use std::collections::BTreeMap;
use std::fmt;
use std::rc::Rc;

use smol_str::SmolStr;
use stoatstep_calls::Time;

use crate::node::Node;

/// Largest number of calls that [`InFlightTable::list`] names.
const MAX_LISTED: usize = 16;

/// How far an accepted call or attempt has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallStage {
    /// The entry receives the caller's request.
    Receiving,
    /// The entry waits for an executor.
    Attempt,
    /// The entry waits before the next attempt.
    Backoff,
    /// The executor waits for a slot of the target.
    Queued,
    /// The target runs the attempt.
    Running,
    /// The executor sends the outcome to the entry.
    Replying,
    /// The executor writes the outcome into the row of the call's key.
    Recording,
}

impl fmt::Display for CallStage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Receiving => "receiving",
            Self::Attempt => "attempt",
            Self::Backoff => "backoff",
            Self::Queued => "queued",
            Self::Running => "running",
            Self::Replying => "replying",
            Self::Recording => "recording",
        })
    }
}

struct CallInFlight {
    /// Id that the caller gave the request; empty if it gave none.
    request: SmolStr,
    stage: CallStage,
    since: Time,
}

/// Accepted calls and attempts that are not answered yet.
#[derive(Default)]
pub(super) struct InFlightTable {
    calls: BTreeMap<u64, CallInFlight>,
    next: u64,
}

impl InFlightTable {
    pub(super) fn len(&self) -> u32 {
        u32::try_from(self.calls.len()).unwrap_or(u32::MAX)
    }

    /// Describes the oldest calls: request id, stage, and time since their arrival.
    pub(super) fn list(&self, now: Time) -> String {
        let oldest = self.calls.values().take(MAX_LISTED).map(|call| {
            let ms = now.saturating_sub(call.since).as_millis();
            let request = if call.request.is_empty() {
                "-"
            } else {
                &call.request
            };
            format!("{request} {} {ms} ms", call.stage)
        });
        oldest.collect::<Vec<_>>().join(", ")
    }
}

/// One accepted call or attempt that is not answered yet. It is in the table until it is dropped.
pub(super) struct InFlight {
    node: Rc<Node>,
    number: u64,
}

impl InFlight {
    pub(super) fn enter(node: &Rc<Node>, stage: CallStage) -> Self {
        let since = node.calls.clock.now();
        let mut table = node.calls.in_flight.borrow_mut();
        let number = table.next;
        table.next += 1;
        let call = CallInFlight {
            request: SmolStr::default(),
            stage,
            since,
        };
        table.calls.insert(number, call);
        drop(table);
        let node = Rc::clone(node);
        Self { node, number }
    }

    pub(super) fn set_request(&self, request: &SmolStr) {
        self.update(|call| call.request = request.clone());
    }

    pub(super) fn set_stage(&self, stage: CallStage) {
        self.update(|call| call.stage = stage);
    }

    fn update(&self, change: impl FnOnce(&mut CallInFlight)) {
        let mut table = self.node.calls.in_flight.borrow_mut();
        if let Some(call) = table.calls.get_mut(&self.number) {
            change(call);
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let mut table = self.node.calls.in_flight.borrow_mut();
        table.calls.remove(&self.number);
    }
}
