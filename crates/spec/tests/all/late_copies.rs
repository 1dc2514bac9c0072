//! Safeguards of answers of targets that repeat some of them late.

use stoatstep_spec::{Invariant, Safeguard};

use crate::support::breaks;

/// The copy of a claim's own refusal answers its second send, which runs.
#[test]
fn a_claim_sent_twice_on_one_connection() {
    breaks(
        Safeguard::SentOnceOnConnection,
        Invariant::NotRunIsTrue,
        2,
        &[],
    );
}

/// The copy of a refusal without an id answers another claim, which runs.
#[test]
fn a_claim_behind_a_refusal_without_an_id() {
    breaks(Safeguard::NamedConnection, Invariant::NotRunIsTrue, 2, &[]);
}

/// The copy of an answer that states its request answers another one.
#[test]
fn an_answer_that_states_another_request() {
    breaks(
        Safeguard::ForeignAnswersDropped,
        Invariant::NotRunIsTrue,
        2,
        &[],
    );
}

/// The copy of a failure without an id goes to the caller of another request.
#[test]
fn a_failure_without_an_id_on_a_connection_that_is_kept() {
    breaks(
        Safeguard::UnnamedFailureCloses,
        Invariant::OwnAnswer,
        2,
        &[],
    );
}
