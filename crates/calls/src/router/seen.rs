//! What a router has seen of one upstream, and the score that follows from it.

use std::time::Duration;

use super::Report;
use crate::admission::Load;
use crate::candidates::{self, Lengths};
use crate::ids::Time;

/// Time in which a new upstream comes to its full share. Cold targets have
/// empty caches: a full share at once makes all of it slow.
const SLOW_START: Duration = Duration::from_secs(5);

/// Share with which a new upstream begins.
const FIRST_SHARE: f64 = 0.2;

/// Age at which a reported load no longer counts.
const LOAD_LIFE: Duration = Duration::from_secs(1);

/// Longest pause after a refusal that the router believes.
const LONGEST_PAUSE: Duration = Duration::from_secs(1);

/// Score added while an upstream has asked for a pause.
const REFUSED_SCORE: f64 = 1.0;

/// Failures in a row that eject.
const FAILURES: u32 = 3;

/// How long an upstream is left out.
const EJECTIONS: Lengths = Lengths {
    first: Duration::from_millis(500),
    longest: Duration::from_secs(30),
};

pub(super) type Row = candidates::Row<Record>;

#[derive(Clone, Debug, Default)]
pub(super) struct Record {
    reported: Load,
    reported_at: Time,
    paused_until: Time,
    failures: u32,
}

/// Load for each slot; 1 is "every slot taken". What the executor reported
/// loses weight with age, since a report that says "busy" would otherwise
/// keep calls away and so never be replaced.
pub(super) fn score(row: &Row, now: Time) -> f64 {
    let seen = &row.seen;
    let age = now.saturating_sub(seen.reported_at);
    let fresh = 1.0 - (age.as_secs_f64() / LOAD_LIFE.as_secs_f64()).min(1.0);
    let reported = f64::from(seen.reported.running + seen.reported.queued) * fresh;
    let own = f64::from(row.in_flight);
    let slots = f64::from(row.slots.max(1)) * share(row, now);
    let paused = if now < seen.paused_until {
        REFUSED_SCORE
    } else {
        0.0
    };
    // The executor's count has our own calls in it: the larger is nearer the
    // truth than the sum. One more makes an idle cold upstream worse than an
    // idle warm one.
    (own.max(reported) + 1.0) / slots + paused
}

fn share(row: &Row, now: Time) -> f64 {
    let ejected = row.ejection.ended().unwrap_or_default();
    let since = row.since.max(ejected);
    let age = now.saturating_sub(since).as_secs_f64();
    let ramp = (age / SLOW_START.as_secs_f64()).min(1.0);
    FIRST_SHARE + (1.0 - FIRST_SHARE) * ramp
}

/// Takes in how an attempt ended.
pub(super) fn report(row: &mut Row, report: Report, may_eject: bool, now: Time) {
    match report {
        Report::Answered(load) => {
            take_load(&mut row.seen, load, now);
            succeeded(row);
        }
        Report::Refused(load, pause) => {
            take_load(&mut row.seen, load, now);
            succeeded(row);
            row.seen.paused_until = now + pause.min(LONGEST_PAUSE);
        }
        Report::Failed => failed(row, may_eject, now),
        Report::Leaving => row.leaves(now),
        Report::Cancelled => {}
    }
}

fn take_load(seen: &mut Record, load: Option<Load>, now: Time) {
    if let Some(load) = load {
        seen.reported = load;
        seen.reported_at = now;
    }
}

fn succeeded(row: &mut Row) {
    row.seen.failures = 0;
    row.ejection.succeeded();
}

fn failed(row: &mut Row, may_eject: bool, now: Time) {
    row.ejection.failed();
    row.seen.failures = row.seen.failures.saturating_add(1);
    if row.seen.failures < FAILURES || !may_eject || row.ejection.is_ejected(now) {
        return;
    }
    row.ejection.eject(EJECTIONS, now);
    row.seen.failures = 0;
}
