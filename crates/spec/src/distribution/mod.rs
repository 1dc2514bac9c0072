//! Daemons that distribute accepted versions, restart with no state, and serve.
//!
//! A daemon's configuration is a production [`Replica`](stoatstep_distribution::Replica), and a
//! production [`Serving`](stoatstep_distribution::Serving) decides whether the daemon may serve.
//! The simulated environment decides when versions are accepted, when messages arrive, whether they
//! are lost, duplicated or damaged, and which daemons restart. A frozen daemon is covered as one
//! that takes no step for a while, and a network partition as lost messages.

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

/// Index of a daemon, from 0.
pub type DaemonIndex = usize;

/// Bounds of a [`DistributionSpec`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DistributionBounds {
    /// Number of daemons.
    pub daemons: usize,
    /// Versions that may be accepted, at most 3.
    pub versions: Version,
    /// Whether initially all daemons hold version 1, serve by it, and have exchanged what they
    /// hold.
    pub is_warm: bool,
    /// Messages in flight at a time. If this is 0, daemons pull from each other in one step.
    pub in_flight: usize,
    /// Messages that may be damaged or duplicated.
    pub faults: u8,
    /// Restarts of daemons. If this is 0, no daemon serves, since only a restarted daemon can break
    /// the rules of serving.
    pub restarts: u8,
    /// Freezes of daemons.
    pub freezes: u8,
    /// Whether the platform answers every request. Otherwise requests may fail, and restarts are
    /// limited by the assumption at [`DistributionStep::Restart`].
    pub has_platform: bool,
}

/// Specification of the distribution of accepted versions to a few daemons.
#[derive(Clone, Debug)]
pub struct DistributionSpec {
    bounds: DistributionBounds,
    safeguards: Safeguards,
    /// The state at each version, from 0.
    states: Vec<Arc<State>>,
    digests: Vec<Digest>,
    deltas: Vec<Arc<Delta>>,
}

/// The newest accepted version, the state of each daemon, and the messages in flight.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct DistributionState {
    head: Version,
    daemons: Vec<Shared<Daemon>>,
    messages: BTreeSet<Message>,
    faults: u8,
    restarts: u8,
    freezes: u8,
}

/// One event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DistributionStep {
    /// The platform accepts the next version.
    Accept,
    /// A daemon reads the head and the versions that it lacks.
    Poll(DaemonIndex),
    /// A daemon sends a read to the platform and gets no answer.
    PollFailed(DaemonIndex),
    /// The first daemon pulls the whole state from the second.
    Pull(DaemonIndex, DaemonIndex),
    /// A daemon sends a message to another one.
    Send(Message),
    /// A message arrives.
    Deliver(Message),
    /// A message arrives, and a duplicate of it stays in flight.
    Double(Message),
    /// A message arrives damaged.
    Damage(Message),
    /// A message is lost.
    Lose(Message),
    /// The first daemon asks the second which version it holds, and reports its own.
    Exchange(DaemonIndex, DaemonIndex),
    /// A daemon serves callers by the version that it holds, if it may.
    Serve(DaemonIndex),
    /// A daemon resumes after a freeze.
    Wake(DaemonIndex),
    /// A daemon that resumed and gets no answers serves by the version that it holds.
    ServeAlone(DaemonIndex),
    /// A daemon restarts and loses its state. If the platform may be unavailable, it is assumed
    /// that afterwards some running daemon still remembers or holds each version by which an
    /// instance served.
    Restart(DaemonIndex),
}

impl DistributionSpec {
    /// Creates a specification of daemons that start with no state and an empty log.
    ///
    /// # Panics
    ///
    /// Never: the versions follow each other.
    #[must_use]
    pub fn new(bounds: DistributionBounds, safeguards: Safeguards) -> Self {
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

    /// Reads the head and the tail of the log, or the head and a snapshot if the daemon needs a
    /// whole state.
    fn poll(&self, daemon: &mut Daemon, head: Version) {
        daemon.handle_head(head, self.digests[index(head)]);
        if daemon.needs_state() {
            daemon.apply_state(&self.states[index(head)], self.safeguards);
            return;
        }
        for delta in &self.deltas[index(daemon.version())..index(head)] {
            daemon.apply_delta(delta, self.safeguards);
        }
    }

    fn warm(&self, mut state: DistributionState) -> DistributionState {
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

    /// Whether the daemon holds the newest version after two further reads of the platform without
    /// faults.
    fn catches_up(&self, daemon: &Daemon, head: Version) -> bool {
        let mut daemon = daemon.clone();
        self.poll(&mut daemon, head);
        self.poll(&mut daemon, head);
        daemon.version() == head
    }

    fn check(&self, state: &DistributionState, daemon: &Daemon) -> Option<Invariant> {
        let held = daemon.in_force();
        if held.check_references().is_err() {
            return Some(Invariant::NoDanglingReference);
        }
        let is_accepted = held.version() <= state.head;
        if !is_accepted || *held != self.states[index(held.version())] {
            return Some(Invariant::WholeVersion);
        }
        if daemon.has_reverted() {
            return Some(Invariant::NeverBack);
        }
        let catches_up = || self.catches_up(daemon, state.head);
        let is_damaged = self.bounds.faults > state.faults;
        (is_damaged && !catches_up()).then_some(Invariant::CatchesUp)
    }
}

impl DistributionState {
    fn change(&mut self, i: DaemonIndex, change: impl FnOnce(&mut Daemon)) {
        self.daemons[i] = self.daemons[i].changed(change).0;
    }

    fn exchange(&self, i: DaemonIndex, j: DaemonIndex, safeguards: Safeguards) -> Self {
        let mut next = self.clone();
        let (one, other) = (&self.daemons[i], &self.daemons[j]);
        next.change(i, |it| it.handle_answer(i, j, other, safeguards));
        next.change(j, |it| it.handle_request(j, i, one, safeguards));
        next
    }

    /// The assumption for restarts while the platform is unavailable: every version by which an
    /// instance served is remembered or held by some running daemon.
    fn served_versions_are_known(&self) -> bool {
        let knows = |daemon: &Daemon, i, served| {
            daemon.remembers(i) >= served || daemon.version() >= served
        };
        let mut all = self.daemons.iter().enumerate();
        all.all(|(i, daemon)| {
            let served = daemon.highest_served();
            let mut others = self.daemons.iter();
            served == 0 || others.any(|it| knows(it, i, served))
        })
    }
}

impl Spec for DistributionSpec {
    type State = DistributionState;
    type Step = DistributionStep;

    fn start(&self) -> DistributionState {
        let daemon = Shared::new(Daemon::new(self.bounds.daemons));
        let cold = DistributionState {
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

    fn steps(&self, state: &DistributionState) -> Vec<(DistributionStep, DistributionState)> {
        self.successors(state)
    }

    fn violated(&self, state: &DistributionState) -> Option<Invariant> {
        let mut daemons = state.daemons.iter();
        daemons.find_map(|daemon| self.check(state, daemon))
    }
}

/// The changes of the versions: the first adds a service with a route, the second another service
/// with a route, and the third deletes those of the first, so that the order of versions matters.
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
