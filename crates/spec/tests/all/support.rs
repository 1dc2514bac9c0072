//! Searches with one safeguard switched off.

use stoatstep_spec::cases::SAFEGUARD_CASES;
use stoatstep_spec::{Invariant, Safeguard, Safeguards};

/// Asserts that without this safeguard the invariant is violated, and that the shortest
/// counterexample has this number of steps and ends with the steps in `last`.
pub(crate) fn breaks(safeguard: Safeguard, invariant: Invariant, steps: usize, last: &[&str]) {
    let mut cases = SAFEGUARD_CASES.iter().filter(|(it, _)| *it == safeguard);
    let (_, case) = cases.next().expect("every safeguard has a case");
    let summary = case.search(Safeguards::without(safeguard));
    let (found, counterexample) = summary
        .violation
        .expect("an invariant is violated without the safeguard");
    assert_eq!(found, invariant, "{counterexample:?}");
    assert_eq!(counterexample.len(), steps, "{counterexample:?}");
    assert!(
        counterexample.ends_with(&last.iter().map(ToString::to_string).collect::<Vec<_>>()),
        "{counterexample:?}"
    );
}
