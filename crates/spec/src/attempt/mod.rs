//! Calls that are not idempotent, from their entry to the target, while messages are lost and
//! processes restart.
//!
//! Each executor has a production [`Ledger`](stoatstep_calls::Ledger), and the production function
//! [`may_retry`](stoatstep_calls::may_retry) decides whether another attempt may follow. How the
//! entry waits for an attempt and settles it is asynchronous code in the daemon and reimplemented
//! here. A frozen executor is covered as one that takes no step while time passes.

mod entry;
mod executor;
mod message;
mod successors;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use stoatstep_calls::{AttemptId, Ticket};

use crate::invariant::Invariant;
use crate::safeguard::Safeguards;
use crate::search::Spec;
use crate::shared::Shared;

use entry::Call;
pub use entry::CallOutcome;
use executor::Executor;
use message::Message;
pub use message::{AttemptOutcome, Message as CallMessage};

/// Validity of a ticket, in ticks.
const TICKET_LIFE: u8 = 2;

/// Time from an attempt's arrival at its executor to its deadline, in ticks.
const TIME_TO_DEADLINE: u8 = 1;

/// Bounds of an [`AttemptSpec`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptBounds {
    /// Concurrent calls at one entry.
    pub calls: u8,
    /// Attempts that a call may make.
    pub attempts: u8,
    /// Executors; successive attempts of a call go to different ones in turn.
    pub executors: u8,
    /// Records that a ledger has room for.
    pub records: usize,
    /// Messages, connections and answers that may be lost or duplicated.
    pub faults: u8,
    /// Restarts of executors.
    pub restarts: u8,
    /// Ticks of the clocks.
    pub ticks: u8,
}

/// Specification of a few calls at one entry.
#[derive(Clone, Copy, Debug)]
pub struct AttemptSpec {
    pub(crate) bounds: AttemptBounds,
    pub(crate) safeguards: Safeguards,
}

/// State of the entry's calls, of the executors and of the messages in flight, and which attempts
/// the targets ran.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct AttemptState {
    now: u8,
    calls: Vec<Call>,
    tickets: Vec<Ticket>,
    executors: Vec<Shared<Executor>>,
    messages: BTreeSet<Message>,
    /// Number of runs of each attempt.
    run_counts: BTreeMap<AttemptId, u8>,
    started_late: bool,
    faults: u8,
    restarts: u8,
}

/// One event. A `u8` is the index of a call or of an executor; an attempt's id is ten times its
/// call's index plus its own number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptStep {
    /// The entry sends the call's next attempt.
    Send(u8),
    /// A message arrives.
    Deliver(Message),
    /// A message arrives, and a duplicate of it stays in flight.
    Double(Message),
    /// A message is lost.
    Lose(Message),
    /// The entry abandons the attempt's connection.
    Break(u8),
    /// The entry revokes the attempt and receives the ledger's answer.
    Revoke(u8),
    /// The entry revokes the attempt, and the ledger's answer is lost.
    RevokeUnheard(u8),
    /// The entry stops revoking the attempt and reports its outcome as unknown.
    GiveUp(u8),
    /// An attempt gets its slot and starts in the target.
    Start(u8, AttemptId),
    /// An attempt gets its slot, and the target refuses it without running it.
    Shed(u8, AttemptId),
    /// The target answers.
    Finish(u8, AttemptId),
    /// The connection to the target breaks.
    TargetLost(u8, AttemptId),
    /// A ledger drops expired records.
    Clean(u8),
    /// An executor restarts, while its target continues to run.
    Restart(u8),
    /// Time advances by one tick.
    Tick,
}

impl AttemptSpec {
    /// Creates a specification of calls that start at the same time.
    #[must_use]
    pub fn new(bounds: AttemptBounds, safeguards: Safeguards) -> Self {
        Self { bounds, safeguards }
    }

    fn is_fault_free(&self, state: &AttemptState) -> bool {
        let no_faults = state.faults == self.bounds.faults;
        no_faults && state.restarts == self.bounds.restarts && state.now == 0
    }
}

impl AttemptState {
    fn runs_of(&self, call: u8) -> u8 {
        let own = self
            .run_counts
            .iter()
            .filter(|(id, _)| message::call_of(**id) == call);
        own.map(|(_, runs)| runs).sum()
    }

    fn check_call(&self, number: u8, call: &Call, fault_free: bool) -> Option<Invariant> {
        if call
            .not_run()
            .iter()
            .any(|id| self.run_counts.contains_key(id))
        {
            return Some(Invariant::NotRunIsTrue);
        }
        if self.runs_of(number) > 1 {
            return Some(Invariant::RunsOnce);
        }
        match call.outcome() {
            Some(CallOutcome::Answered(whose)) if whose != number => Some(Invariant::OwnAnswer),
            Some(CallOutcome::Unknown) if fault_free => Some(Invariant::UnknownIsHonest),
            _ => None,
        }
    }
}

impl Spec for AttemptSpec {
    type State = AttemptState;
    type Step = AttemptStep;

    fn start(&self) -> AttemptState {
        let executors = 0..self.bounds.executors;
        let executors: Vec<_> = executors
            .map(|number| Shared::new(Executor::new(number, self.bounds.records)))
            .collect();
        AttemptState {
            now: 0,
            calls: vec![Call::default(); usize::from(self.bounds.calls)],
            tickets: executors.iter().map(|it| it.ticket(0)).collect(),
            executors,
            messages: BTreeSet::new(),
            run_counts: BTreeMap::new(),
            started_late: false,
            faults: self.bounds.faults,
            restarts: self.bounds.restarts,
        }
    }

    fn steps(&self, state: &AttemptState) -> Vec<(AttemptStep, AttemptState)> {
        self.successors(state)
    }

    fn violated(&self, state: &AttemptState) -> Option<Invariant> {
        if state.started_late {
            return Some(Invariant::StartsInTime);
        }
        let fault_free = self.is_fault_free(state);
        let mut calls = (0..).zip(&state.calls);
        calls.find_map(|(number, call)| state.check_call(number, call, fault_free))
    }
}

fn ticks(count: u8) -> Duration {
    Duration::from_secs(u64::from(count))
}
