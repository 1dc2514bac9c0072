//! Safeguards of calls: without any one of them a promise breaks.

use stoatstep_spec::{Invariant, Safeguard};

use crate::support::breaks;

// The connection breaks, the entry revokes, and the caller is told "not run". The
// request was only slow: it arrives after that and runs.
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

// As above, but the request is so late that the fence was dropped by age. Only the
// age of its ticket tells that it must not run.
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

// The ledger drops the fence while the ticket of the revoked attempt is still good.
// The request arrives in between and runs after "not run".
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

// The executor restarts and has lost the fence. The request that was revoked arrives
// under a ticket of the former process and runs after "not run".
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

// The attempt waits in the queue when its entry revokes it and tells "not run". Then
// its turn comes.
#[test]
fn a_queued_attempt_started_after_its_revoke() {
    breaks(
        Safeguard::StartCheck,
        Invariant::NotRunIsTrue,
        5,
        &["Revoke(0)", "Start(0, 1)"],
    );
}

// A second copy of a request arrives while the first one runs. Taken for a new one
// it runs beside it: the ledger of a school shows the claim twice.
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

// Two callers wait at one entry. The answer to the second comes first and is given
// to whoever waits first.
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

// The target's connection breaks while a claim runs. The entry tries again as if it
// had not run, and it runs twice.
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

// An attempt waits in the queue past its deadline, as after a freeze. Its caller has
// gone, and the target would work for nobody.
#[test]
fn a_start_after_the_deadline() {
    breaks(
        Safeguard::DeadlineCheck,
        Invariant::StartsInTime,
        4,
        &["Tick", "Start(0, 1)"],
    );
}

// A claim runs at its home. A new version moves the home, and the caller's retry goes
// to the new one, which does not ask the old one.
#[test]
fn a_new_home_that_asks_nobody() {
    breaks(
        Safeguard::HomeConfirm,
        Invariant::RunsOnce,
        8,
        &["Arrive(2)", "Start(1, 2)"],
    );
}

// The home moved to b and back to a, which skipped the version in between and has
// never heard of b. b lags, takes the key and asks a, which says "never"; then a
// takes another try of the key as well.
#[test]
fn a_promise_to_one_who_is_not_the_home() {
    breaks(
        Safeguard::AskerCheck,
        Invariant::RunsOnce,
        14,
        &["Hear(1, 2)", "Start(1, 2)"],
    );
}

// A key ran at b, whose upstream is then taken away. a is restarted as planned with
// its memory, by which it has authority over the key, and nobody is left to ask:
// it must still know that b was a home.
#[test]
fn a_planned_restart_that_forgets_who_was_a_home() {
    breaks(
        Safeguard::MembersHandedOver,
        Invariant::RunsOnce,
        14,
        &["Arrive(1)", "Start(0, 1)"],
    );
}

// b asks a about the key, and is told "never". Before the answer arrives the home
// moves back to a, which asks b and is told the same. Both run it.
#[test]
fn a_set_that_changed_while_the_old_home_was_asked() {
    breaks(
        Safeguard::RecheckAfterAsk,
        Invariant::RunsOnce,
        16,
        &["Hear(1, 2)", "Start(1, 2)"],
    );
}

// A claim runs at its home, which restarts. The retry finds no record of it and is
// taken for the first try.
#[test]
fn a_restarted_home_without_memory() {
    breaks(
        Safeguard::AuthoritySince,
        Invariant::RunsOnce,
        7,
        &["Arrive(2)", "Start(0, 2)"],
    );
}

// The caller's clock is ahead, within the bound. Its key seems to be made after the
// restart of the home, where it ran before.
#[test]
fn a_key_from_a_clock_that_is_ahead() {
    breaks(
        Safeguard::SkewMargin,
        Invariant::RunsOnce,
        7,
        &["Arrive(2)", "Start(0, 2)"],
    );
}

// The caller's clock is ahead by more than is allowed. Without the check the key
// runs, and still seems to be made after the restart that follows.
#[test]
fn a_key_from_the_future() {
    breaks(
        Safeguard::FutureKeyCheck,
        Invariant::RunsOnce,
        7,
        &["Arrive(2)", "Start(0, 2)"],
    );
}

// A claim ran, and its record was dropped by age. A retry that comes after that is
// taken for a new key.
#[test]
fn a_key_older_than_its_record() {
    breaks(
        Safeguard::KeyExpiry,
        Invariant::RunsOnce,
        12,
        &["Arrive(2)", "Start(0, 2)"],
    );
}

// The target's connection breaks while a claim runs. The home frees the key, and the
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
