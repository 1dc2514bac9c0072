//! Safeguards of configuration: without any one of them a promise breaks.

use stoatstep_spec::{Invariant, Safeguard};

use crate::support::breaks;

// The operator is told nothing, since the answer is lost after the effect. The
// writer reads the log, can't tell its own version from another's, and writes
// the change a second time.
#[test]
fn an_answer_lost_without_the_operation_row() {
    breaks(
        Safeguard::OperationRow,
        Invariant::OperationOnce,
        4,
        &["Read(0)", "Committed(0)"],
    );
}

// Two operators read the same head and both write the next version. The second
// one replaces the first one's row, after its operator was told "accepted".
#[test]
fn two_writers_without_a_condition_on_the_head() {
    breaks(
        Safeguard::HeadCondition,
        Invariant::LogIsFinal,
        4,
        &["Committed(0)", "Committed(2)"],
    );
}

// Two operators create the same service, each having seen that it is absent. The
// second one overwrites what the first was told is accepted.
#[test]
fn a_race_without_revisions() {
    breaks(
        Safeguard::RevisionCheck,
        Invariant::ExpectedRevision,
        4,
        &["Read(2)", "Committed(2)"],
    );
}

// One operator deletes a service while another adds a route to it. Each change is
// fine by itself; both together make a version that no proxy can apply.
#[test]
fn a_deletion_beside_a_new_route_without_validation() {
    breaks(
        Safeguard::Validation,
        Invariant::LogIsValid,
        3,
        &["Committed(0)", "Read(1)"],
    );
}

// The answer is lost after the effect, and then the platform is out until the
// writer's time is over. Told "refused", the operator would edit again under a new
// id, while the first edit is in the log.
#[test]
fn a_lost_answer_forgotten() {
    breaks(
        Safeguard::UnansweredMemory,
        Invariant::RefusedIsNotInLog,
        3,
        &["AnswerLost(2)", "GaveUp(2)"],
    );
}

// A whole state at version 1 is slow on its way to a daemon that has meanwhile
// read version 2 at the platform. Callers would see what 2 removed come back.
#[test]
fn an_old_state_that_arrives_late() {
    breaks(
        Safeguard::VersionAboveOwn,
        Invariant::NeverBack,
        6,
        &[
            "Send(Message { to: 1, payload: Whole(1) })",
            "Deliver(Message { to: 1, payload: Whole(1) })",
        ],
    );
}

// A delta loses one of its two resources on the way. Without the digest the
// receiver applies the rest and calls it the version.
#[test]
fn a_delta_that_lost_its_route() {
    breaks(
        Safeguard::DigestCheck,
        Invariant::WholeVersion,
        4,
        &[
            "Send(Message { to: 1, payload: Delta(1) })",
            "Damage(Message { to: 1, payload: Delta(1) })",
        ],
    );
}

// A faulty sender leaves the service out of a delta and computes a fitting digest.
// The receiver would route callers to a service that it does not hold.
#[test]
fn a_delta_that_lost_its_service() {
    breaks(
        Safeguard::ReferenceCheck,
        Invariant::NoDanglingReference,
        4,
        &[
            "Send(Message { to: 1, payload: Delta(1) })",
            "Damage(Message { to: 1, payload: Delta(1) })",
        ],
    );
}

// Version 2 arrives at a daemon that never saw version 1. Applied to nothing, it
// holds half of what was accepted.
#[test]
fn a_delta_ahead_of_its_turn() {
    breaks(
        Safeguard::OrderCheck,
        Invariant::WholeVersion,
        5,
        &[
            "Send(Message { to: 1, payload: Delta(2) })",
            "Deliver(Message { to: 1, payload: Delta(2) })",
        ],
    );
}

// An instance serves version 2 and restarts with the platform out. Its peer holds
// version 1, and has heard of 2 from the former life but does not say so.
#[test]
fn a_restart_that_nobody_remembers() {
    breaks(
        Safeguard::RestartFloor,
        Invariant::NeverBack,
        11,
        &["Exchange(1, 0)", "Serve(1)"],
    );
}

// An instance serves version 2, restarts, and gets version 1 from a peer. It serves
// that before anyone could tell it what it served before.
#[test]
fn a_start_without_asking_anyone() {
    breaks(
        Safeguard::EnoughHeard,
        Invariant::NeverBack,
        9,
        &["Pull(1, 0)", "Serve(1)"],
    );
}

// An instance reads version 2, serves by it and dies before it told anyone. Started
// again it hears from its peer, at version 1, before it has asked the platform,
// which is reachable and knows better.
#[test]
fn peers_heard_before_the_platform() {
    breaks(
        Safeguard::PlatformFirst,
        Invariant::NeverBack,
        9,
        &["Exchange(1, 0)", "Serve(1)"],
    );
}
