//! Breadth-first search of a specification, up to a bound on the steps.

use std::fmt;
use std::hash::{Hash, Hasher};

use pathfinding::directed::bfs::bfs;

use crate::invariant::Invariant;

/// A state machine that can be searched. Each implementation runs the production decision code and
/// simulates its environment: which messages are lost, delayed or duplicated, and which processes
/// restart.
pub trait Spec {
    /// Everything that later steps depend on, and the history that the invariants refer to.
    type State: Clone + Eq + Hash;

    /// One event, printed in a counterexample.
    type Step: Clone + fmt::Debug;

    /// The initial state.
    fn start(&self) -> Self::State;

    /// All possible next steps with the states that they lead to. The order decides which of
    /// several shortest counterexamples is found, so it has to be the same on every run.
    fn steps(&self, state: &Self::State) -> Vec<(Self::Step, Self::State)>;

    /// The first invariant that does not hold in this state.
    fn violated(&self, state: &Self::State) -> Option<Invariant>;
}

/// A shortest sequence of steps from the initial state to a violation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Counterexample<T> {
    /// The invariant that does not hold after the last step.
    pub invariant: Invariant,
    /// The steps in order.
    pub steps: Vec<T>,
}

/// Result of a search.
#[derive(Clone, Debug)]
pub struct SearchReport<T> {
    /// Number of distinct states whose next steps were explored.
    pub states: usize,
    /// Number of steps from the initial state to the farthest of them.
    pub depth: usize,
    /// Whether some states were not visited because they lie beyond the bound.
    pub is_truncated: bool,
    /// The shortest counterexample, if there is one.
    pub counterexample: Option<Counterexample<T>>,
}

/// A state together with the step that led to it. Nodes with the same state are equal whichever way
/// they were reached; breadth-first search reaches each one by a shortest way first.
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

/// Visits every state within `bound` steps of the initial one, or stops at the first that violates
/// an invariant.
pub fn search<S: Spec + Clone>(spec: &S, bound: usize) -> SearchReport<S::Step> {
    let start = Node {
        state: spec.start(),
        depth: 0,
        step: None,
    };
    let mut states = 0;
    let mut depth = 0;
    let mut is_truncated = false;
    let successors = |node: &Node<S>| {
        states += 1;
        depth = node.depth;
        let next = spec.steps(&node.state);
        if node.depth == bound {
            is_truncated |= !next.is_empty();
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
    SearchReport {
        states,
        depth,
        is_truncated,
        counterexample: path.and_then(|path| counterexample(spec, path)),
    }
}

fn counterexample<S: Spec>(spec: &S, path: Vec<Node<S>>) -> Option<Counterexample<S::Step>> {
    let invariant = spec.violated(&path.last()?.state)?;
    let steps = path.into_iter().filter_map(|node| node.step).collect();
    Some(Counterexample { invariant, steps })
}
