//! Daemons that pass accepted versions on, restart with nothing, and serve.
//!
//! What a daemon holds is a shipped [`Replica`](stoatstep_distribution::Replica)
//! and whether it may serve a shipped [`Serving`](stoatstep_distribution::Serving).
//! The world decides when versions are accepted, which message arrives when, how
//! often and how damaged, and who restarts. A daemon that is frozen is one to
//! which nothing happens for a while, and a cut is a message that does not come;
//! the search tries both with everything else.

mod daemon;
mod message;
mod successors;

use std::collections::BTreeSet;
use std::sync::Arc;

use stoatstep_resource::{Delta, Digest, Key, Kind, Resource, State, Version};

use crate::invariant::Invariant;
use crate::resources::{key, route, service};
use crate::safeguard::Safeguards;
use crate::search::Spec;
use crate::shared::Shared;

use daemon::Daemon;
pub use message::{Message, Payload};

/// Number of a daemon, from 0.
pub type DaemonIndex = usize;

/// Bounds of a [`SpreadingSpec`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SpreadingBounds {
    /// Daemons.
    pub daemons: usize,
    /// Versions that may be accepted, at most 3.
    pub versions: Version,
    /// Whether all daemons hold version 1 at the start, serve by it, and have
    /// heard of each other.
    pub is_warm: bool,
    /// Messages on their way at a time. Where none may be, daemons pull from each
    /// other in one step.
    pub in_flight: usize,
    /// Messages that may be damaged or doubled.
    pub faults: u8,
    /// Restarts. Where there are none, nobody serves: what may be served matters
    /// to a restarted daemon only.
    pub restarts: u8,
    /// Freezes.
    pub freezes: u8,
    /// Whether the platform answers whenever it is asked. Otherwise it may fail
    /// to, and restarts are bound by the assumption at
    /// [`SpreadingStep::Restart`].
    pub has_platform: bool,
}

/// Accepted versions on their way to a few daemons.
#[derive(Clone, Debug)]
pub struct SpreadingSpec {
    bounds: SpreadingBounds,
    safeguards: Safeguards,
    /// The state at each version, from 0.
    states: Vec<Arc<State>>,
    digests: Vec<Digest>,
    deltas: Vec<Arc<Delta>>,
}

/// What was accepted, what each daemon holds, and what is on its way.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct SpreadingState {
    head: Version,
    daemons: Vec<Shared<Daemon>>,
    messages: BTreeSet<Message>,
    faults: u8,
    restarts: u8,
    freezes: u8,
}

/// One event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SpreadingStep {
    /// The platform accepts the next version.
    Accept,
    /// A daemon reads the head and what it lacks.
    Poll(DaemonIndex),
    /// A daemon asks the platform and gets no answer.
    PollFailed(DaemonIndex),
    /// The first daemon asks the second for its whole state.
    Pull(DaemonIndex, DaemonIndex),
    /// A daemon sends something to another one.
    Send(Message),
    /// It arrives.
    Deliver(Message),
    /// It arrives, and a copy stays on its way.
    Double(Message),
    /// It arrives damaged.
    Damage(Message),
    /// It never arrives.
    Lose(Message),
    /// The first daemon asks the second what it holds, and tells what it holds
    /// itself.
    Exchange(DaemonIndex, DaemonIndex),
    /// A daemon serves callers by what it holds, if it may.
    Serve(DaemonIndex),
    /// A daemon wakes from a freeze.
    Wake(DaemonIndex),
    /// A daemon that woke and hears nothing serves by what it has.
    ServeAlone(DaemonIndex),
    /// A daemon loses all that it knew. Where the platform may be out, it is
    /// assumed that afterwards some living daemon still remembers or holds each
    /// version that an instance served by.
    Restart(DaemonIndex),
}

impl SpreadingSpec {
    /// Daemons that start with nothing, and an empty log.
    ///
    /// # Panics
    ///
    /// Never: the versions follow each other.
    #[must_use]
    pub fn new(bounds: SpreadingBounds, safeguards: Safeguards) -> Self {
        let mut states = vec![Arc::new(State::default())];
        let mut deltas = Vec::new();
        for (puts, deletes) in changes() {
            let last = &states[states.len() - 1];
            let delta = last.delta(puts, deletes);
            let next = last.apply(&delta).expect("the versions follow each other");
            states.push(Arc::new(next));
            deltas.push(Arc::new(delta));
        }
        Self {
            bounds,
            safeguards,
            digests: states.iter().map(|it| it.digest()).collect(),
            states,
            deltas,
        }
    }

    /// Reads head and tail, or head and snapshot where deltas won't do.
    fn poll(&self, daemon: &mut Daemon, head: Version) {
        daemon.hear_head(head, self.digests[index(head)]);
        if daemon.asks_whole() {
            daemon.take_state(&self.states[index(head)], self.safeguards);
            return;
        }
        for delta in &self.deltas[index(daemon.version())..index(head)] {
            daemon.take_delta(delta, self.safeguards);
        }
    }

    fn warm(&self, mut state: SpreadingState) -> SpreadingState {
        state.head = 1;
        let daemons = state.daemons.len();
        for i in 0..daemons {
            state.change(i, |it| self.poll(it, 1));
            state.change(i, |it| it.serve(daemons - 1, self.safeguards));
        }
        for i in 0..daemons {
            for j in (0..daemons).filter(|j| *j != i) {
                state = state.exchange(i, j, self.safeguards);
            }
        }
        state
    }

    /// From here on nothing goes wrong and the daemon reads the platform: does
    /// it hold the newest version after two reads?
    fn catches_up(&self, daemon: &Daemon, head: Version) -> bool {
        let mut daemon = daemon.clone();
        self.poll(&mut daemon, head);
        self.poll(&mut daemon, head);
        daemon.version() == head
    }

    fn check(&self, state: &SpreadingState, daemon: &Daemon) -> Option<Invariant> {
        let held = daemon.in_force();
        if held.check_references().is_err() {
            return Some(Invariant::NoDanglingReference);
        }
        let is_accepted = held.version() <= state.head;
        if !is_accepted || *held != self.states[index(held.version())] {
            return Some(Invariant::WholeVersion);
        }
        if daemon.went_back() {
            return Some(Invariant::NeverBack);
        }
        let catches_up = || self.catches_up(daemon, state.head);
        let is_damaged = self.bounds.faults > state.faults;
        (is_damaged && !catches_up()).then_some(Invariant::CatchesUp)
    }
}

impl SpreadingState {
    fn change(&mut self, i: DaemonIndex, change: impl FnOnce(&mut Daemon)) {
        self.daemons[i] = self.daemons[i].changed(change).0;
    }

    fn exchange(&self, i: DaemonIndex, j: DaemonIndex, safeguards: Safeguards) -> Self {
        let mut next = self.clone();
        let (one, other) = (&self.daemons[i], &self.daemons[j]);
        next.change(i, |it| it.hear_answer(i, j, other, safeguards));
        next.change(j, |it| it.hear_question(j, i, one, safeguards));
        next
    }

    /// The assumption for restarts while the platform is out: whatever version
    /// an instance served by, some living daemon remembers it or holds it.
    fn is_remembered(&self) -> bool {
        let knows = |daemon: &Daemon, i, served| {
            daemon.remembers(i) >= served || daemon.version() >= served
        };
        let mut all = self.daemons.iter().enumerate();
        all.all(|(i, daemon)| {
            let served = daemon.served();
            let mut others = self.daemons.iter();
            served == 0 || others.any(|it| knows(it, i, served))
        })
    }
}

impl Spec for SpreadingSpec {
    type State = SpreadingState;
    type Step = SpreadingStep;

    fn start(&self) -> SpreadingState {
        let daemon = Shared::new(Daemon::new(self.bounds.daemons));
        let cold = SpreadingState {
            head: 0,
            daemons: vec![daemon; self.bounds.daemons],
            messages: BTreeSet::new(),
            faults: self.bounds.faults,
            restarts: self.bounds.restarts,
            freezes: self.bounds.freezes,
        };
        if self.bounds.is_warm {
            self.warm(cold)
        } else {
            cold
        }
    }

    fn steps(&self, state: &SpreadingState) -> Vec<(SpreadingStep, SpreadingState)> {
        self.successors(state)
    }

    fn violated(&self, state: &SpreadingState) -> Option<Invariant> {
        let mut daemons = state.daemons.iter();
        daemons.find_map(|daemon| self.check(state, daemon))
    }
}

/// A service with a route; a second route; and both of them gone again, for
/// which the order of versions matters.
fn changes() -> Vec<(Vec<Resource>, Vec<Key>)> {
    let first = vec![service("floatdesk"), route("floats", "floatdesk")];
    let second = vec![service("refundhall"), route("refunds", "refundhall")];
    let third = vec![key(Kind::Route, "floats"), key(Kind::Service, "floatdesk")];
    vec![
        (first, Vec::new()),
        (second, Vec::new()),
        (Vec::new(), third),
    ]
}

fn index(version: Version) -> usize {
    usize::try_from(version).expect("versions here are small")
}
