//! Statistics of one target, and the time to an answer that is estimated from them.

use std::time::Duration;

use super::AttemptFeedback;
use crate::candidates::{self, EjectionDurations};
use crate::ids::Time;
use crate::queue::Occupancy;

/// Mean size of a route's answers from which they count as large. Smaller answers are
/// sent between the chunks of large ones.
const LARGE_ANSWER_BYTES: f64 = 16_384.0;

/// Age at which a reported occupancy expires: a few run times.
const OCCUPANCY_MAX_AGE: Duration = Duration::from_millis(500);

/// Age up to which the reports of several targets are compared. In that time a target
/// with 6 slots and runs of 200 ms gets some three calls from all entries.
const FRESH_MAX_AGE: Duration = Duration::from_millis(100);

/// Age of the last report or the last probe from which a target is probed again.
const PROBE_INTERVAL: Duration = Duration::from_millis(50);

/// Lower bound of the age at which a reported run time expires. A slow target is avoided
/// for that time, and then tried again as if it were like the others.
const MIN_RUN_MAX_AGE: Duration = Duration::from_secs(3);

/// Age at which a reported run time expires, for each target of the zone. An entry with
/// 37 targets calls each of them every few seconds, so run times that expire sooner would
/// be missing when it selects one. As the age grows with the number of targets, slow ones
/// are tried again with the same small share of the calls.
const RUN_MAX_AGE_PER_TARGET: Duration = Duration::from_secs(1);

/// Upper bound of the age at which a reported run time expires. A target that has
/// recovered is used again within a minute.
const MAX_RUN_MAX_AGE: Duration = Duration::from_mins(1);

/// Age at which a reported run time expires, in a zone with this number of targets.
pub(super) fn run_max_age(targets: usize) -> Duration {
    let targets = u32::try_from(targets).unwrap_or(u32::MAX);
    let max_age = RUN_MAX_AGE_PER_TARGET.saturating_mul(targets);
    max_age.clamp(MIN_RUN_MAX_AGE, MAX_RUN_MAX_AGE)
}

/// Age at which a reported state of a link expires: large answers leave it within
/// seconds.
const LINK_MAX_AGE: Duration = Duration::from_secs(3);

/// Age at which a reported wait for the target's limit expires.
const LIMIT_MAX_AGE: Duration = Duration::from_secs(3);

/// Time for which a target that refused a call as full counts as full, whatever occupancy
/// it reported.
const FULL_TIME: Duration = Duration::from_millis(50);

/// Weight of a new outcome in the share of failures.
const FAILURE_GAIN: f64 = 0.15;

/// Share of failures from which a target is ejected: four failures in a row, or
/// about every third call over a longer time. Single failures are normal.
const EJECTION_FAILURE_SHARE: f64 = 0.4;

/// Share of failures that is assumed after an ejection: two more failures eject the
/// target again.
const SHARE_AFTER_EJECTION: f64 = 0.2;

/// Durations of ejections. A target that has recovered is used again within the longest.
const EJECTIONS: EjectionDurations = EjectionDurations {
    first: Duration::from_millis(400),
    longest: Duration::from_secs(4),
};

pub(super) type Row = candidates::Row<TargetStats>;

/// Statistics of one target.
#[derive(Clone, Debug, Default)]
pub(super) struct TargetStats {
    /// Attempts of this entry that were sent after the last report.
    sent_since: u32,
    /// Last occupancy that its executor reported, and when.
    reported: Option<(Occupancy, Time)>,
    /// When it was last probed for its occupancy.
    probed_at: Option<Time>,
    full_until: Time,
    /// Exponentially weighted share of failures.
    failures: f64,
}

impl TargetStats {
    /// An attempt was sent to it.
    pub(super) fn record_sent(&mut self) {
        self.sent_since += 1;
    }

    /// A probe for its occupancy was sent.
    pub(super) fn record_probe(&mut self, now: Time) {
        self.probed_at = Some(now);
    }

    /// It reported its occupancy.
    pub(super) fn record_occupancy(&mut self, occupancy: Occupancy, now: Time) {
        self.reported = Some((occupancy, now));
        self.sent_since = 0;
    }

    /// Whether its last report is fresh enough to compare it with other targets.
    pub(super) fn is_fresh(&self, now: Time) -> bool {
        self.reported
            .is_some_and(|(_, at)| now.saturating_sub(at) < FRESH_MAX_AGE)
    }

    /// Whether neither a report nor a probe of it is recent.
    pub(super) fn needs_probe(&self, now: Time) -> bool {
        let is_recent = |at: Time| now.saturating_sub(at) < PROBE_INTERVAL;
        let was_probed = self.probed_at.is_some_and(is_recent);
        let was_reported = self.reported.is_some_and(|(_, at)| is_recent(at));
        !was_probed && !was_reported
    }

    /// Mean run time from the last report, if it is recent.
    pub(super) fn service(&self, max_age: Duration, now: Time) -> Option<Duration> {
        let (reported, at) = self.reported?;
        let is_recent = now.saturating_sub(at) < max_age;
        let is_known = !reported.service.is_zero();
        (is_recent && is_known).then_some(reported.service)
    }

    /// Estimated time that an answer of this size takes on the target's link. Small answers
    /// go before large ones and take hardly any.
    fn time_on_link(&self, bytes: f64, now: Time) -> Duration {
        let Some((reported, at)) = self.reported else {
            return Duration::ZERO;
        };
        let age = now.saturating_sub(at);
        let rate = f64::from(reported.link_bytes_per_s);
        if rate <= 0.0 || bytes < LARGE_ANSWER_BYTES || age >= LINK_MAX_AGE {
            return Duration::ZERO;
        }
        let own = Duration::try_from_secs_f64(bytes / rate).unwrap_or_default();
        let sent_since = own * self.sent_since;
        reported.link_backlog.saturating_sub(age) + sent_since + own
    }

    /// Estimated time until the target's limit lets one more call start. The executor refuses
    /// calls beyond the limit; calls that are placed by it go elsewhere without the refusal.
    fn wait_for_limit(&self, now: Time) -> Duration {
        let Some((reported, at)) = self.reported else {
            return Duration::ZERO;
        };
        let age = now.saturating_sub(at);
        if age >= LIMIT_MAX_AGE {
            return Duration::ZERO;
        }
        let limit = reported.limit;
        let sent_since = limit.interval.saturating_mul(self.sent_since);
        (limit.wait + sent_since).saturating_sub(age)
    }

    /// Calls that run or wait at it and go before another one: those of all entries according
    /// to its last report, and those of this entry that were sent since.
    fn occupied(&self, is_late: bool, now: Time) -> u32 {
        match self.reported {
            Some((reported, at)) if now.saturating_sub(at) < OCCUPANCY_MAX_AGE => {
                let late = if is_late { reported.late } else { 0 };
                reported.running + reported.queued + late + self.sent_since
            }
            _ => 0,
        }
    }
}

/// Inputs of the estimate beside the target's own statistics.
#[derive(Clone, Copy, Debug)]
pub(super) struct EstimateInputs {
    /// Run time that is assumed for a target without a recent report.
    pub(super) service: Duration,
    /// Age at which a reported run time expires.
    pub(super) max_age: Duration,
    /// Mean run time of this call's route, over all targets.
    pub(super) run: Option<Duration>,
    /// Mean size of the answers of this call's route.
    pub(super) bytes: f64,
    /// Whether its objective has passed, so that it goes after calls in time.
    pub(super) is_late: bool,
}

impl EstimateInputs {
    /// Estimated run time of this call at a target whose mean run time is `service`.
    /// Targets report a mean over all routes. If the other routes run for longer, a short
    /// call would look late at every target and leave its zone for no gain.
    fn run_at(&self, service: Duration) -> Duration {
        let Some(run) = self.run.filter(|_| !self.service.is_zero()) else {
            return service;
        };
        run.mul_f64(service.as_secs_f64() / self.service.as_secs_f64())
    }
}

/// Estimated time to an answer: the wait for a slot or for the target's limit, the run, and the
/// time on the link.
pub(super) fn time_to_answer(row: &Row, inputs: EstimateInputs, now: Time) -> Duration {
    let service = row.stats.service(inputs.max_age, now);
    let service = service.unwrap_or(inputs.service);
    let slots = row.slots.max(1);
    let occupied = row.stats.occupied(inputs.is_late, now).max(row.in_flight);
    let waiting = (occupied + 1).saturating_sub(slots);
    let wait = service * waiting / slots;
    let full = row.stats.full_until.saturating_sub(now);
    let limit = row.stats.wait_for_limit(now);
    wait.max(full).max(limit) + inputs.run_at(service) + row.stats.time_on_link(inputs.bytes, now)
}

/// Records how an attempt ended. If this ejects the target, returns the duration of the
/// ejection.
pub(super) fn finished(
    row: &mut Row,
    feedback: AttemptFeedback,
    occupancy: Option<Occupancy>,
    may_eject: bool,
    now: Time,
) -> Option<Duration> {
    if let Some(occupancy) = occupancy {
        row.stats.record_occupancy(occupancy, now);
    }
    match feedback {
        AttemptFeedback::Answered => succeeded(row),
        AttemptFeedback::Full => row.stats.full_until = now + FULL_TIME,
        AttemptFeedback::Failed => return failed(row, may_eject, now),
        AttemptFeedback::Leaving => row.mark_leaving(now),
        AttemptFeedback::Nothing => {}
    }
    None
}

fn succeeded(row: &mut Row) {
    row.stats.failures *= 1.0 - FAILURE_GAIN;
    row.ejection.succeeded();
}

fn failed(row: &mut Row, may_eject: bool, now: Time) -> Option<Duration> {
    row.ejection.failed();
    row.stats.failures += (1.0 - row.stats.failures) * FAILURE_GAIN;
    if row.stats.failures < EJECTION_FAILURE_SHARE || !may_eject || row.ejection.is_ejected(now) {
        return None;
    }
    row.stats.failures = SHARE_AFTER_EJECTION;
    Some(row.ejection.eject(EJECTIONS, now))
}
