//! What a placement has seen of one target, and the time to an answer that follows
//! from it.

use std::time::Duration;

use super::Seen;
use crate::candidates::{self, Lengths};
use crate::ids::Time;
use crate::queue::Occupancy;

/// Mean bytes of a route's answers from which they count as large. Smaller ones go out
/// between the pieces of large ones.
const LARGE_ANSWER: f64 = 16_384.0;

/// Age at which a reported occupancy no longer counts: a few run times.
const OCCUPANCY_LIFE: Duration = Duration::from_millis(500);

/// Age up to which words of several targets are compared. In that time a target with 6
/// slots and runs of 200 ms gets some three calls from all entries.
const FRESH: Duration = Duration::from_millis(100);

/// Age of the last word, or of the last question, from which a target is asked again.
const ASK_AGAIN: Duration = Duration::from_millis(50);

/// Least age at which a reported run time no longer counts. A slow target is left alone
/// for so long, and then tried again as if it were like the others.
const LEAST_RUN_LIFE: Duration = Duration::from_secs(3);

/// The same for each target of the zone, where that is more. An entry that has 37 targets
/// calls each of them every few seconds: what it forgets sooner it does not know when it
/// chooses, and with a life that grows with their number it tries slow ones again with
/// the same small share of its calls.
const RUN_LIFE_A_TARGET: Duration = Duration::from_secs(1);

/// Longest such age: a target that is well again is in use within a minute.
const LONGEST_RUN_LIFE: Duration = Duration::from_mins(1);

/// Age at which a reported run time no longer counts, among so many targets of a zone.
pub(super) fn run_life(targets: usize) -> Duration {
    let targets = u32::try_from(targets).unwrap_or(u32::MAX);
    let life = RUN_LIFE_A_TARGET.saturating_mul(targets);
    life.clamp(LEAST_RUN_LIFE, LONGEST_RUN_LIFE)
}

/// Age at which a reported state of a link no longer counts: large answers leave it
/// within seconds.
const LINK_LIFE: Duration = Duration::from_secs(3);

/// Time for which a target that said it is full is taken to be so, beyond what
/// it reported.
const FULL_FOR: Duration = Duration::from_millis(50);

/// Weight of a new outcome in the share of failures.
const FAILURE_GAIN: f64 = 0.15;

/// Share of failures from which a target is ejected: four failures in a row, or
/// about every third call over a longer time. Single failures are ordinary.
const EJECT_FROM: f64 = 0.4;

/// Share with which a target comes back: two more failures eject it again.
const AFTER_EJECTION: f64 = 0.2;

/// How long a target is left out. One that was mended is in use again within the
/// longest.
const EJECTIONS: Lengths = Lengths {
    first: Duration::from_millis(400),
    longest: Duration::from_secs(4),
};

pub(super) type Row = candidates::Row<Record>;

/// What was seen of one target.
#[derive(Clone, Debug, Default)]
pub(super) struct Record {
    /// Attempts of this entry that were sent after the last report.
    sent_since: u32,
    /// What its executor said last, and when.
    reported: Option<(Occupancy, Time)>,
    /// When it was last asked how occupied it is.
    asked: Option<Time>,
    full_until: Time,
    /// Share of failures, the newer ones weighing more.
    failures: f64,
}

impl Record {
    pub(super) fn sent(&mut self) {
        self.sent_since += 1;
    }

    /// It was asked how occupied it is.
    pub(super) fn asked(&mut self, now: Time) {
        self.asked = Some(now);
    }

    /// It said how occupied it is.
    pub(super) fn told(&mut self, occupancy: Occupancy, now: Time) {
        self.reported = Some((occupancy, now));
        self.sent_since = 0;
    }

    /// Whether its last word is so fresh that it can be compared with others by it.
    pub(super) fn is_fresh(&self, now: Time) -> bool {
        self.reported
            .is_some_and(|(_, at)| now.saturating_sub(at) < FRESH)
    }

    /// Whether a question now would bring news.
    pub(super) fn is_worth_asking(&self, now: Time) -> bool {
        let is_recent = |at: Time| now.saturating_sub(at) < ASK_AGAIN;
        let was_asked = self.asked.is_some_and(is_recent);
        let was_heard = self.reported.is_some_and(|(_, at)| is_recent(at));
        !was_asked && !was_heard
    }

    /// Mean time of a run, where it is known and recent.
    pub(super) fn service(&self, life: Duration, now: Time) -> Option<Duration> {
        let (reported, at) = self.reported?;
        let is_recent = now.saturating_sub(at) < life;
        let is_known = !reported.service.is_zero();
        (is_recent && is_known).then_some(reported.service)
    }

    /// Time that an answer of so many bytes takes on the way from there. Small ones go
    /// before large ones, and hardly take any.
    fn on_link(&self, bytes: f64, now: Time) -> Duration {
        let Some((reported, at)) = self.reported else {
            return Duration::ZERO;
        };
        let age = now.saturating_sub(at);
        let rate = f64::from(reported.link_bytes_per_s);
        if rate <= 0.0 || bytes < LARGE_ANSWER || age >= LINK_LIFE {
            return Duration::ZERO;
        }
        let own = Duration::try_from_secs_f64(bytes / rate).unwrap_or_default();
        let sent_since = own * self.sent_since;
        reported.link_backlog.saturating_sub(age) + sent_since + own
    }

    /// Calls that ran or waited there lately, by its own word. That has the calls of
    /// all entries in it, and those sent since come on top.
    fn occupied(&self, now: Time) -> u32 {
        match self.reported {
            Some((reported, at)) if now.saturating_sub(at) < OCCUPANCY_LIFE => {
                reported.running + reported.queued + self.sent_since
            }
            _ => 0,
        }
    }
}

/// What is known beside the target's own record.
#[derive(Clone, Copy, Debug)]
pub(super) struct Typical {
    /// What a run takes at a target of which nothing recent is known.
    pub(super) service: Duration,
    /// Age at which a reported run time no longer counts.
    pub(super) life: Duration,
    /// What a run of this call's route takes, over all targets.
    pub(super) run: Option<Duration>,
    /// Mean bytes of the answers of this call's route.
    pub(super) bytes: f64,
}

impl Typical {
    /// What a run of this call takes at a target whose runs take `service`. Targets
    /// report a mean over all routes: where the others run for longer, a short call
    /// would look late wherever it goes and leave its zone for nothing.
    fn run_at(&self, service: Duration) -> Duration {
        let Some(run) = self.run.filter(|_| !self.service.is_zero()) else {
            return service;
        };
        run.mul_f64(service.as_secs_f64() / self.service.as_secs_f64())
    }
}

/// Time that an answer would take: the wait for a slot and the run itself.
pub(super) fn time_to_answer(row: &Row, typical: Typical, now: Time) -> Duration {
    let service = row.seen.service(typical.life, now);
    let service = service.unwrap_or(typical.service);
    let slots = row.slots.max(1);
    let occupied = row.seen.occupied(now).max(row.in_flight);
    let waiting = (occupied + 1).saturating_sub(slots);
    let wait = service * waiting / slots;
    let full = row.seen.full_until.saturating_sub(now);
    wait.max(full) + typical.run_at(service) + row.seen.on_link(typical.bytes, now)
}

/// Takes in how an attempt ended. Gives the time for which the target is left out,
/// where this is what ejected it.
pub(super) fn finished(
    row: &mut Row,
    seen: Seen,
    occupancy: Option<Occupancy>,
    may_eject: bool,
    now: Time,
) -> Option<Duration> {
    if let Some(occupancy) = occupancy {
        row.seen.told(occupancy, now);
    }
    match seen {
        Seen::Answered => succeeded(row),
        Seen::Full => row.seen.full_until = now + FULL_FOR,
        Seen::Failed => return failed(row, may_eject, now),
        Seen::Leaving => row.leaves(now),
        Seen::Nothing => {}
    }
    None
}

fn succeeded(row: &mut Row) {
    row.seen.failures *= 1.0 - FAILURE_GAIN;
    row.ejection.succeeded();
}

fn failed(row: &mut Row, may_eject: bool, now: Time) -> Option<Duration> {
    row.ejection.failed();
    row.seen.failures += (1.0 - row.seen.failures) * FAILURE_GAIN;
    if row.seen.failures < EJECT_FROM || !may_eject || row.ejection.is_ejected(now) {
        return None;
    }
    row.seen.failures = AFTER_EJECTION;
    Some(row.ejection.eject(EJECTIONS, now))
}
