//! Breadth-first search of a specification, up to a bound on the steps.

use std::fmt;
use std::hash::{Hash, Hasher};

use pathfinding::directed::bfs::bfs;

use crate::invariant::Invariant;

/// What a search needs of a specification. Each implementation drives the
/// shipped decision code and adds the world around it: what gets lost, comes
/// late or twice, and what restarts.
pub trait Spec {
    /// Everything that later steps depend on, and the record of what happened
    /// that the invariants speak of.
    type State: Clone + Eq + Hash;

    /// One event, for people who read a counterexample.
    type Step: Clone + fmt::Debug;

    /// Where the search starts.
    fn start(&self) -> Self::State;

    /// All that may happen next. The order decides which of several shortest
    /// counterexamples is found, so it has to be the same on every run.
    fn steps(&self, state: &Self::State) -> Vec<(Self::Step, Self::State)>;

    /// The first invariant that does not hold here.
    fn violated(&self, state: &Self::State) -> Option<Invariant>;
}

/// Shortest way from the start to a violation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Counterexample<T> {
    /// What does not hold at its end.
    pub invariant: Invariant,
    /// What happened, in order.
    pub steps: Vec<T>,
}

/// What a search found.
#[derive(Clone, Debug)]
pub struct Report<T> {
    /// Different states that were visited with all their next steps.
    pub states: usize,
    /// Steps from the start to the farthest of them.
    pub depth: usize,
    /// Whether some states were left out because they lie beyond the bound.
    pub is_cut: bool,
    /// The shortest counterexample, if there is one.
    pub counterexample: Option<Counterexample<T>>,
}

/// A state on its way. Two nodes with the same state are the same place, however
/// they were reached; breadth-first order reaches each by its shortest way first.
#[derive(Clone)]
struct Node<S: Spec> {
    state: S::State,
    depth: usize,
    step: Option<S::Step>,
}

impl<S: Spec> PartialEq for Node<S> {
    fn eq(&self, other: &Self) -> bool {
        self.state == other.state
    }
}

impl<S: Spec> Eq for Node<S> {}

impl<S: Spec> Hash for Node<S> {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.state.hash(hasher);
    }
}

/// Visits every state within `bound` steps of the start, or stops at the first
/// that violates an invariant.
pub fn search<S: Spec + Clone>(spec: &S, bound: usize) -> Report<S::Step> {
    let start = Node {
        state: spec.start(),
        depth: 0,
        step: None,
    };
    let mut states = 0;
    let mut depth = 0;
    let mut is_cut = false;
    let successors = |node: &Node<S>| {
        states += 1;
        depth = node.depth;
        let next = spec.steps(&node.state);
        if node.depth == bound {
            is_cut |= !next.is_empty();
            return Vec::new();
        }
        next.into_iter()
            .map(|(step, state)| Node {
                state,
                depth: node.depth + 1,
                step: Some(step),
            })
            .collect()
    };
    let path = bfs(&start, successors, |node: &Node<S>| {
        spec.violated(&node.state).is_some()
    });
    Report {
        states,
        depth,
        is_cut,
        counterexample: path.and_then(|path| counterexample(spec, path)),
    }
}

fn counterexample<S: Spec>(spec: &S, path: Vec<Node<S>>) -> Option<Counterexample<S::Step>> {
    let invariant = spec.violated(&path.last()?.state)?;
    let steps = path.into_iter().filter_map(|node| node.step).collect();
    Some(Counterexample { invariant, steps })
}
