//! Safeguards of revoked keys: without any one of them an invariant is violated.

use stoatstep_spec::{Invariant, Safeguard};

use crate::support::breaks;

/// A delayed answer makes an old configuration look recent.
#[test]
fn a_late_answer_dated_by_its_arrival() {
    breaks(
        Safeguard::AgeFromQuestion,
        Invariant::KeyEnds,
        6,
        &["Tick", "Deliver"],
    );
}

/// The confirmation of a newer version is taken for a confirmation of the version held.
#[test]
fn a_confirmation_of_a_version_that_is_not_held() {
    breaks(
        Safeguard::ConfirmsOnlyHeld,
        Invariant::KeyEnds,
        8,
        &["Ask(1)", "Deliver"],
    );
}

/// A daemon that starts takes the configuration from a peer for a recently confirmed one.
#[test]
fn a_copy_of_an_old_configuration() {
    breaks(
        Safeguard::CopyConfirmsNothing,
        Invariant::KeyEnds,
        5,
        &["Tick", "Restart(0)"],
    );
}

/// A daemon resumes after a suspension and doesn't count the time that has passed.
#[test]
fn a_clock_that_stands_still_with_the_instance() {
    breaks(
        Safeguard::SleepCounts,
        Invariant::KeyEnds,
        6,
        &["Deliver", "Sleep(0)"],
    );
}
