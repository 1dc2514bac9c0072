//! Calls that are not idempotent, from their entry to the target, while
//! messages and processes are lost.
//!
//! Each executor's memory is a shipped [`Ledger`](stoatstep_calls::Ledger), and
//! whether another attempt may follow is decided by the shipped
//! [`may_retry`](stoatstep_calls::may_retry). The entry's waiting and settling,
//! which in the daemon is asynchronous code, is written here anew. An executor
//! that is frozen is one to which nothing happens while time goes on.

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

pub use entry::Told as CallTold;
use entry::{Call, Told};
use executor::Executor;
use message::Message;
pub use message::{End, Message as CallMessage};

/// Life of a ticket, in ticks.
const TICKET_LIFE: u8 = 2;

/// Time that an attempt brings to its executor, in ticks.
const LEFT: u8 = 1;

/// Bounds of an [`AttemptSpec`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptBounds {
    /// Calls, all under way at the same time at one entry.
    pub calls: u8,
    /// Attempts that a call may make.
    pub attempts: u8,
    /// Executors; the attempts of a call go to one after the other.
    pub executors: u8,
    /// Records that a ledger has room for.
    pub records: usize,
    /// Messages, connections and answers that may be lost or doubled.
    pub faults: u8,
    /// Restarts of executors.
    pub restarts: u8,
    /// Ticks of the clocks.
    pub ticks: u8,
}

/// A few calls at one entry.
#[derive(Clone, Copy, Debug)]
pub struct AttemptSpec {
    pub(crate) bounds: AttemptBounds,
    pub(crate) safeguards: Safeguards,
}

/// What the entry knows of each call, what each executor knows of each attempt,
/// what is on its way, and what the targets ran.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct AttemptState {
    now: u8,
    calls: Vec<Call>,
    tickets: Vec<Ticket>,
    executors: Vec<Shared<Executor>>,
    messages: BTreeSet<Message>,
    /// How often each attempt ran.
    ran: BTreeMap<AttemptId, u8>,
    started_late: bool,
    faults: u8,
    restarts: u8,
}

/// One event. Numbers are those of calls and executors; an attempt's id is ten
/// times its call's number plus its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptStep {
    /// The entry sends the call's next attempt.
    Send(u8),
    /// A message arrives.
    Deliver(Message),
    /// It arrives, and a copy stays on its way.
    Double(Message),
    /// It never arrives.
    Lose(Message),
    /// The entry gives the attempt's connection up.
    Break(u8),
    /// The entry revokes the attempt and hears the ledger's word.
    Revoke(u8),
    /// The entry revokes the attempt, and the word is lost.
    RevokeUnheard(u8),
    /// The entry stops asking.
    GiveUp(u8),
    /// An attempt gets its slot.
    Start(u8, AttemptId),
    /// It gets its slot, and the target refuses without running.
    Shed(u8, AttemptId),
    /// The target answers.
    Finish(u8, AttemptId),
    /// The connection to the target breaks.
    TargetLost(u8, AttemptId),
    /// A ledger drops what is old.
    Clean(u8),
    /// An executor restarts. What its target runs goes on.
    Restart(u8),
    /// Time goes on.
    Tick,
}

impl AttemptSpec {
    /// Calls that start at the same time.
    #[must_use]
    pub fn new(bounds: AttemptBounds, safeguards: Safeguards) -> Self {
        Self { bounds, safeguards }
    }

    fn is_free_of_loss(&self, state: &AttemptState) -> bool {
        let no_faults = state.faults == self.bounds.faults;
        no_faults && state.restarts == self.bounds.restarts && state.now == 0
    }
}

impl AttemptState {
    fn runs_of(&self, call: u8) -> u8 {
        let own = self
            .ran
            .iter()
            .filter(|(id, _)| message::call_of(**id) == call);
        own.map(|(_, runs)| runs).sum()
    }

    fn check_call(&self, number: u8, call: &Call, free_of_loss: bool) -> Option<Invariant> {
        if call.not_run().iter().any(|id| self.ran.contains_key(id)) {
            return Some(Invariant::NotRunIsTrue);
        }
        if self.runs_of(number) > 1 {
            return Some(Invariant::RunsOnce);
        }
        match call.told() {
            Some(Told::Answered(whose)) if whose != number => Some(Invariant::OwnAnswer),
            Some(Told::Unknown) if free_of_loss => Some(Invariant::UnknownIsHonest),
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
            ran: BTreeMap::new(),
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
        let free_of_loss = self.is_free_of_loss(state);
        let mut calls = (0..).zip(&state.calls);
        calls.find_map(|(number, call)| state.check_call(number, call, free_of_loss))
    }
}

fn ticks(count: u8) -> Duration {
    Duration::from_secs(u64::from(count))
}
