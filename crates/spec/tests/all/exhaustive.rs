//! Tests that no invariant is violated with all safeguards.

use stoatstep_spec::cases::{CASES, Case};
use stoatstep_spec::{Safeguard, Safeguards};

/// Cases that are too large for all their states to be visited.
const TRUNCATED: &[Case] = &[Case::RestartOutageThree, Case::RestartReachableThree];

/// Checks every fourth case from `first` on, so that four tests share the work evenly.
fn hold(first: usize) {
    for case in CASES.iter().skip(first).step_by(4) {
        let summary = case.search(Safeguards::all());
        println!(
            "{case:?}: {} states, {} steps",
            summary.states, summary.depth
        );
        assert_eq!(summary.violation, None, "{case:?}");
        assert_eq!(summary.is_truncated, TRUNCATED.contains(case), "{case:?}");
    }
}

#[test]
fn the_first_quarter_of_the_cases_holds_with_all_safeguards() {
    hold(0);
}

#[test]
fn the_second_quarter_of_the_cases_holds_with_all_safeguards() {
    hold(1);
}

#[test]
fn the_third_quarter_of_the_cases_holds_with_all_safeguards() {
    hold(2);
}

#[test]
fn the_last_quarter_of_the_cases_holds_with_all_safeguards() {
    hold(3);
}

#[test]
fn searches_are_repeatable() {
    let search = || Case::Attempt.search(Safeguards::all());
    assert_eq!(search(), search());
}

// An entry holds another set of upstreams than the home to which it sends an attempt. The home
// compares the set's id, but would refuse the same attempts by its own set alone: the check saves a
// round trip, and no invariant depends on it.
#[test]
fn the_set_id_alone_prevents_nothing() {
    for case in [Case::Intent, Case::IntentBack] {
        let summary = case.search(Safeguards::without(Safeguard::SetIdCheck));
        assert_eq!(summary.violation, None, "{case:?}");
        assert!(!summary.is_truncated, "{case:?}");
    }
}
