//! Safeguards of keys that are taken away.

use stoatstep_spec::{Invariant, Safeguard};

use crate::support::breaks;

/// An answer that was held up on its way makes an old configuration look recent.
#[test]
fn a_late_answer_dated_by_its_arrival() {
    breaks(
        Safeguard::AgeFromQuestion,
        Invariant::KeyEnds,
        6,
        &["Tick", "Deliver"],
    );
}

/// Word that a newer version was the newest is taken for word of the one held.
#[test]
fn a_confirmation_of_a_version_that_is_not_held() {
    breaks(
        Safeguard::ConfirmsOnlyHeld,
        Invariant::KeyEnds,
        8,
        &["Ask(1)", "Deliver"],
    );
}

/// A daemon that starts takes what a peer hands over for new.
#[test]
fn a_copy_of_an_old_configuration() {
    breaks(
        Safeguard::CopyConfirmsNothing,
        Invariant::KeyEnds,
        5,
        &["Tick", "Restart(0)"],
    );
}

/// A daemon wakes up and takes its configuration for as recent as it was.
#[test]
fn a_clock_that_stands_still_with_the_instance() {
    breaks(
        Safeguard::SleepCounts,
        Invariant::KeyEnds,
        6,
        &["Deliver", "Sleep(0)"],
    );
}
