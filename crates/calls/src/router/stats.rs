//! Statistics of one upstream, and the score that is computed from them.

use std::time::Duration;

use super::Report;
use crate::admission::Load;
use crate::candidates::{self, EjectionDurations};
use crate::ids::Time;

/// Time in which the share of a new upstream grows to the full share. A cold target has
/// empty caches, and with a full share at once all its answers would be slow.
const SLOW_START: Duration = Duration::from_secs(5);

/// Share of its calls that a new upstream gets at first.
const INITIAL_SHARE: f64 = 0.2;

/// Age at which a reported load expires.
const LOAD_MAX_AGE: Duration = Duration::from_secs(1);

/// Upper bound on the delay after a refusal, whatever the upstream requested.
const MAX_DELAY: Duration = Duration::from_secs(1);

/// Age at which a reported wait for the target's limit expires.
const LIMIT_MAX_AGE: Duration = Duration::from_secs(3);

/// Score added during the delay that an upstream requested, and while the limit of its target
/// leaves no room.
const REFUSED_SCORE: f64 = 1.0;

/// Failures in a row after which an upstream is ejected.
const EJECTION_FAILURES: u32 = 3;

/// Durations of ejections.
const EJECTIONS: EjectionDurations = EjectionDurations {
    first: Duration::from_millis(500),
    longest: Duration::from_secs(30),
};

pub(super) type Row = candidates::Row<UpstreamStats>;

#[derive(Clone, Debug, Default)]
pub(super) struct UpstreamStats {
    reported: Load,
    reported_at: Time,
    delayed_until: Time,
    failures: u32,
}

/// Load per slot; 1 means that every slot is taken. The reported load loses weight with
/// age, because a report of a high load would otherwise keep calls away and so never be
/// replaced.
pub(super) fn score(row: &Row, now: Time) -> f64 {
    let stats = &row.stats;
    let age = now.saturating_sub(stats.reported_at);
    let fresh = 1.0 - (age.as_secs_f64() / LOAD_MAX_AGE.as_secs_f64()).min(1.0);
    let reported = f64::from(stats.reported.running + stats.reported.queued) * fresh;
    let own = f64::from(row.in_flight);
    let slots = f64::from(row.slots.max(1)) * share(row, now);
    let limit = &stats.reported.limit;
    let is_limited = age < LIMIT_MAX_AGE && age < limit.wait;
    let delay_score = if now < stats.delayed_until || is_limited {
        REFUSED_SCORE
    } else {
        0.0
    };
    // The executor's count includes our own calls, so the larger of the two is more
    // accurate than the sum. Adding one gives an idle cold upstream a higher score than
    // an idle warm one.
    (own.max(reported) + 1.0) / slots + delay_score
}

fn share(row: &Row, now: Time) -> f64 {
    let ejected = row.ejection.ended().unwrap_or_default();
    let since = row.since.max(ejected);
    let age = now.saturating_sub(since).as_secs_f64();
    let ramp = (age / SLOW_START.as_secs_f64()).min(1.0);
    INITIAL_SHARE + (1.0 - INITIAL_SHARE) * ramp
}

/// Records how an attempt ended.
pub(super) fn record_report(row: &mut Row, report: Report, may_eject: bool, now: Time) {
    match report {
        Report::Answered(load) => {
            record_load(&mut row.stats, load, now);
            succeeded(row);
        }
        Report::Refused(load, delay) => {
            record_load(&mut row.stats, load, now);
            succeeded(row);
            row.stats.delayed_until = now + delay.min(MAX_DELAY);
        }
        Report::Failed => failed(row, may_eject, now),
        Report::Leaving => row.mark_leaving(now),
        Report::Cancelled => {}
    }
}

fn record_load(stats: &mut UpstreamStats, load: Option<Load>, now: Time) {
    if let Some(load) = load {
        stats.reported = load;
        stats.reported_at = now;
    }
}

fn succeeded(row: &mut Row) {
    row.stats.failures = 0;
    row.ejection.succeeded();
}

fn failed(row: &mut Row, may_eject: bool, now: Time) {
    row.ejection.failed();
    row.stats.failures = row.stats.failures.saturating_add(1);
    if row.stats.failures < EJECTION_FAILURES || !may_eject || row.ejection.is_ejected(now) {
        return;
    }
    row.ejection.eject(EJECTIONS, now);
    row.stats.failures = 0;
}
