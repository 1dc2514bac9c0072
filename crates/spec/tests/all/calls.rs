//! Safeguards of calls: without any one of them an invariant is violated.

use stoatstep_spec::{Invariant, Safeguard};

use crate::support::breaks;

// The connection breaks, the entry revokes the attempt, and the caller gets the outcome "not run".
// The request was only delayed: it arrives after that and runs.
#[test]
fn a_late_arrival_without_a_fence() {
    breaks(
        Safeguard::RevokeFence,
        Invariant::NotRunIsTrue,
        5,
        &[
            "Deliver(Attempt { id: 1, to: 0, incarnation: 0, stamp: 0, copy: false })",
            "Start(0, 1)",
        ],
    );
}

// A revoked request arrives so late that the ledger's record of the revoke has expired. Only the
// age of its ticket shows that it must not run.
#[test]
fn a_late_arrival_after_the_fence_is_dropped() {
    breaks(
        Safeguard::TicketExpiry,
        Invariant::NotRunIsTrue,
        8,
        &[
            "Deliver(Attempt { id: 1, to: 0, incarnation: 0, stamp: 0, copy: false })",
            "Start(0, 1)",
        ],
    );
}

// The ledger drops the record of the revoke while the ticket of the revoked attempt is still valid.
// The request arrives before the ticket expires and runs after the outcome "not run".
#[test]
fn a_fence_dropped_before_its_ticket_is_old() {
    breaks(
        Safeguard::RecordRetention,
        Invariant::NotRunIsTrue,
        6,
        &[
            "Deliver(Attempt { id: 1, to: 0, incarnation: 0, stamp: 0, copy: false })",
            "Start(0, 1)",
        ],
    );
}

// The executor restarts and loses the record of the revoke. The revoked request arrives with a
// ticket of the previous process and runs after the outcome "not run".
#[test]
fn a_late_arrival_at_a_restarted_executor() {
    breaks(
        Safeguard::IncarnationCheck,
        Invariant::NotRunIsTrue,
        6,
        &[
            "Deliver(Attempt { id: 1, to: 0, incarnation: 0, stamp: 0, copy: false })",
            "Start(0, 1)",
        ],
    );
}

// The attempt waits in the queue when its entry revokes it and reports the outcome "not run". Then
// it gets a slot.
#[test]
fn a_queued_attempt_started_after_its_revoke() {
    breaks(
        Safeguard::StartCheck,
        Invariant::NotRunIsTrue,
        5,
        &["Revoke(0)", "Start(0, 1)"],
    );
}

// A duplicate of a request arrives while the first one runs. Taken for a new request it runs too,
// and the request is executed twice.
#[test]
fn a_second_copy_that_runs() {
    breaks(
        Safeguard::DuplicateCheck,
        Invariant::RunsOnce,
        5,
        &[
            "Deliver(Attempt { id: 1, to: 0, incarnation: 0, stamp: 0, copy: true })",
            "Start(0, 1)",
        ],
    );
}

// Two callers wait at one entry. The answer to the second one arrives first and is given to the
// first one.
#[test]
fn an_answer_given_to_another_caller() {
    breaks(
        Safeguard::AnswerId,
        Invariant::OwnAnswer,
        6,
        &[
            "Finish(0, 11)",
            "Deliver(Reply { id: 11, end: Answered(1) })",
        ],
    );
}

// The connection to the target breaks while a request runs. The entry retries as if it had not run,
// and it runs twice.
#[test]
fn a_retry_of_what_may_have_run() {
    breaks(
        Safeguard::RetryRule,
        Invariant::RunsOnce,
        8,
        &[
            "Deliver(Attempt { id: 2, to: 0, incarnation: 0, stamp: 0, copy: false })",
            "Start(0, 2)",
        ],
    );
}

// An attempt waits in the queue past its deadline, as after a freeze. Its caller no longer waits,
// and the target would do useless work.
#[test]
fn a_start_after_the_deadline() {
    breaks(
        Safeguard::DeadlineCheck,
        Invariant::StartsInTime,
        4,
        &["Tick", "Start(0, 1)"],
    );
}

// A request runs at its home. A new version changes the home, and the caller's retry goes to the
// new home, which does not ask the previous one.
#[test]
fn a_new_home_that_asks_nobody() {
    breaks(
        Safeguard::HomeConfirm,
        Invariant::RunsOnce,
        8,
        &["Arrive(2)", "Start(1, 2)"],
    );
}

// The home changed to b and back to a, which skipped the version in between and doesn't know of b.
// b lags behind, receives the key and asks a, which answers that it never ran it; then a accepts
// another attempt with the key as well.
#[test]
fn never_ran_is_answered_to_an_executor_that_is_not_the_home() {
    breaks(
        Safeguard::AskerCheck,
        Invariant::RunsOnce,
        14,
        &["Hear(1, 2)", "Start(1, 2)"],
    );
}

// A key ran at b, whose upstream is then deleted. a restarts as planned and restores its snapshot,
// which gives it authority over the key, and no other home is left to ask: a must still know that b
// was a home.
#[test]
fn a_planned_restart_that_forgets_who_was_a_home() {
    breaks(
        Safeguard::MembersHandedOver,
        Invariant::RunsOnce,
        14,
        &["Arrive(1)", "Start(0, 1)"],
    );
}

// b asks a about the key, and a answers that it never ran it. Before the answer arrives the home
// changes back to a, which asks b and gets the same answer. Both run it.
#[test]
fn a_set_that_changed_while_the_old_home_was_asked() {
    breaks(
        Safeguard::RecheckAfterAsk,
        Invariant::RunsOnce,
        16,
        &["Hear(1, 2)", "Start(1, 2)"],
    );
}

// A request runs at its home, which restarts. The retry finds no record of it and is taken for the
// first attempt.
#[test]
fn a_restarted_home_without_memory() {
    breaks(
        Safeguard::AuthoritySince,
        Invariant::RunsOnce,
        7,
        &["Arrive(2)", "Start(0, 2)"],
    );
}

// The caller's clock is ahead, within the allowed skew. Its key seems to have been created after
// the restart of the home, where it ran before that.
#[test]
fn a_key_from_a_clock_that_is_ahead() {
    breaks(
        Safeguard::SkewMargin,
        Invariant::RunsOnce,
        7,
        &["Arrive(2)", "Start(0, 2)"],
    );
}

// The caller's clock is ahead by more than the allowed skew. Without the check the key runs, and
// still seems to have been created after the restart that follows.
#[test]
fn a_key_from_the_future() {
    breaks(
        Safeguard::FutureKeyCheck,
        Invariant::RunsOnce,
        7,
        &["Arrive(2)", "Start(0, 2)"],
    );
}

// A request ran, and its record has expired. A retry that arrives after that is taken for a new
// key.
#[test]
fn a_key_older_than_its_record() {
    breaks(
        Safeguard::KeyExpiry,
        Invariant::RunsOnce,
        12,
        &["Arrive(2)", "Start(0, 2)"],
    );
}

// The connection to the target breaks while a request runs. The home releases the key, and the
// retry runs it again.
#[test]
fn a_key_freed_after_a_lost_answer() {
    breaks(
        Safeguard::LostKeyKept,
        Invariant::RunsOnce,
        7,
        &["Arrive(2)", "Start(0, 2)"],
    );
}
