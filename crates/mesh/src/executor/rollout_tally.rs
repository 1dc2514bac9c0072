//! Counts the target's runs as evidence for or against its software version in a roll-out.

use stoatstep_calls::{Reason, Time};

use super::Tables;
use super::run::RunOutcome;
use crate::wire::{Attempt, End};

/// Counts a run that the target has ended or should have ended. Runs of a target that is
/// warming up are not counted: they are slow whatever its version.
pub(super) fn record_run(tables: &mut Tables, attempt: &Attempt, outcome: &RunOutcome, now: Time) {
    if outcome.at_target.is_zero() || tables.local_target.is_cold(now) {
        return;
    }
    let is_failure = match &outcome.end {
        End::Answered(answer) => answer.is_failure(),
        End::Refused(refusal) => match refusal.reason {
            Reason::LostAnswer | Reason::TimedOut => true,
            _ => return,
        },
    };
    let route = &attempt.call.route;
    tables
        .tally
        .record(route, is_failure, outcome.at_target, now);
}
