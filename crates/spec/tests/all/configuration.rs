//! Safeguards of the configuration: without any one of them an invariant is violated.

use stoatstep_spec::{Invariant, Safeguard};

use crate::support::breaks;

// The transaction is applied and its answer is lost. The writer reads the log, can't tell its own
// version from another one's, and writes the change a second time.
#[test]
fn an_answer_lost_without_the_operation_row() {
    breaks(
        Safeguard::OperationRow,
        Invariant::OperationOnce,
        4,
        &["Read(0)", "Committed(0)"],
    );
}

// Two operators read the same head and both write the next version. The second one replaces the
// first one's row, which was already reported as accepted.
#[test]
fn two_writers_without_a_condition_on_the_head() {
    breaks(
        Safeguard::HeadCondition,
        Invariant::LogIsFinal,
        4,
        &["Committed(0)", "Committed(2)"],
    );
}

// Two operators create the same service, and each one expects it to be absent. The second one
// overwrites the first one's service, which was already reported as accepted.
#[test]
fn a_race_without_revisions() {
    breaks(
        Safeguard::RevisionCheck,
        Invariant::ExpectedRevision,
        4,
        &["Read(2)", "Committed(2)"],
    );
}

// One operator deletes a service while another adds a route to it. Each change is valid by itself;
// together they produce a version that no daemon can apply.
#[test]
fn a_deletion_beside_a_new_route_without_validation() {
    breaks(
        Safeguard::Validation,
        Invariant::LogIsValid,
        3,
        &["Committed(0)", "Read(1)"],
    );
}

// The transaction is applied, its answer is lost, and the platform stays unavailable until the
// writer times out. If the change were reported as refused, the operator would repeat it under a
// new id although it is in the log.
#[test]
fn a_lost_answer_forgotten() {
    breaks(
        Safeguard::UnansweredMemory,
        Invariant::RefusedIsNotInLog,
        3,
        &["AnswerLost(2)", "GaveUp(2)"],
    );
}

// A whole state at version 1 arrives late at a daemon that has read version 2 from the platform in
// the meantime. The daemon would revert to version 1.
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

// A delta loses one of its two resources on the way. Without the check of the digest the receiver
// applies the rest as if it were the whole version.
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

// A faulty sender omits the service from a delta and computes a matching digest. The receiver would
// route callers to a service that it does not hold.
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

// The delta of version 2 arrives at a daemon that doesn't hold version 1. Applied to the empty
// state it produces only a part of version 2.
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

// An instance serves version 2 and restarts while the platform is unavailable. Its peer holds
// version 1, and received the number 2 from the previous process but does not report it.
#[test]
fn a_restart_that_nobody_remembers() {
    breaks(
        Safeguard::RestartFloor,
        Invariant::NeverBack,
        11,
        &["Exchange(1, 0)", "Serve(1)"],
    );
}

// An instance serves version 2, restarts, and gets version 1 from a peer. It serves version 1
// before any answer could report which version it served before.
#[test]
fn a_start_without_asking_anyone() {
    breaks(
        Safeguard::EnoughHeard,
        Invariant::NeverBack,
        9,
        &["Pull(1, 0)", "Serve(1)"],
    );
}

// An instance reads version 2, serves by it and crashes before it has reported that to any peer.
// After the restart it gets an answer of its peer, at version 1, before it has asked the platform,
// which is reachable and has version 2.
#[test]
fn peers_heard_before_the_platform() {
    breaks(
        Safeguard::PlatformFirst,
        Invariant::NeverBack,
        9,
        &["Exchange(1, 0)", "Serve(1)"],
    );
}
