//! One target as an entry sees it.

use std::time::Duration;

use stoatstep_resource::{UpstreamName, ZoneName};

use super::Seen;
use crate::ids::{Incarnation, Time};
use crate::queue::Occupancy;
use crate::router::{Candidate, CandidateState};

/// Age at which a reported occupancy no longer counts: a few run times.
const OCCUPANCY_LIFE: Duration = Duration::from_millis(500);

/// Age at which a reported run time no longer counts. A slow target is left
/// alone for so long, and then tried again as if it were like the others.
const SERVICE_LIFE: Duration = Duration::from_secs(3);

/// Time for which a target that said it is full is taken to be so, beyond what
/// it reported.
const FULL_FOR: Duration = Duration::from_millis(50);

/// Time for which a target's own word that it is leaving counts, unless
/// membership says so too. Its daemon may have been replaced meanwhile.
const LEAVING_LIFE: Duration = Duration::from_secs(5);

/// Weight of a new outcome in the share of failures.
const FAILURE_GAIN: f64 = 0.15;

/// Share of failures from which a target is ejected: four failures in a row, or
/// about every third call over a longer time. Single failures are ordinary.
const EJECT_FROM: f64 = 0.4;

/// Share with which a target comes back: two more failures eject it again.
const AFTER_EJECTION: f64 = 0.2;

/// First ejection; each further one doubles it.
const FIRST: Duration = Duration::from_millis(400);

/// Longest ejection. A target that was mended is in use again within it.
const LONGEST: Duration = Duration::from_secs(4);

/// Calls in a row without a failure after which earlier ejections are forgotten.
const FORGIVEN_AFTER: u32 = 20;

#[derive(Clone, Debug)]
pub(super) struct Row {
    pub(super) name: UpstreamName,
    pub(super) zone: ZoneName,
    incarnation: Incarnation,
    state: CandidateState,
    slots: u32,
    in_flight: u32,
    /// Attempts of this entry that were sent after the last report.
    sent_since: u32,
    reported: Occupancy,
    reported_at: Time,
    full_until: Time,
    leaving_until: Time,
    failures: f64,
    successes: u32,
    ejections: u32,
    ejected_until: Time,
}

impl Row {
    pub(super) fn new(candidate: &Candidate, now: Time) -> Self {
        Self {
            name: candidate.upstream.clone(),
            zone: candidate.zone.clone(),
            incarnation: candidate.incarnation,
            state: candidate.state,
            slots: candidate.slots,
            in_flight: 0,
            sent_since: 0,
            reported: Occupancy::default(),
            reported_at: now.saturating_sub(SERVICE_LIFE),
            full_until: Time::ZERO,
            leaving_until: Time::ZERO,
            failures: 0.0,
            successes: 0,
            ejections: 0,
            ejected_until: Time::ZERO,
        }
    }

    pub(super) fn update(&mut self, candidate: &Candidate, now: Time) {
        if self.incarnation != candidate.incarnation {
            // Failures and occupancy were those of another process.
            let in_flight = self.in_flight;
            *self = Self::new(candidate, now);
            self.in_flight = in_flight;
            return;
        }
        self.zone = candidate.zone.clone();
        self.state = candidate.state;
        self.slots = candidate.slots;
    }

    pub(super) fn is_leaving(&self, now: Time) -> bool {
        self.state == CandidateState::Leaving || now < self.leaving_until
    }

    pub(super) fn is_ejected(&self, now: Time) -> bool {
        now < self.ejected_until
    }

    pub(super) fn is_sound(&self, now: Time) -> bool {
        self.state == CandidateState::Ready && !self.is_ejected(now)
    }

    /// Mean time of a run, where it is known and recent.
    pub(super) fn service(&self, now: Time) -> Option<Duration> {
        let is_recent = now.saturating_sub(self.reported_at) < SERVICE_LIFE;
        let is_known = !self.reported.service.is_zero();
        (is_recent && is_known).then_some(self.reported.service)
    }

    /// Time that an answer would take: the wait for a slot and the run itself.
    pub(super) fn time_to_answer(&self, typical: Duration, now: Time) -> Duration {
        let service = self.service(now).unwrap_or(typical);
        let slots = self.slots.max(1);
        let waiting = (self.occupied(now) + 1).saturating_sub(slots);
        let wait = service * waiting / slots;
        let full = self.full_until.saturating_sub(now);
        wait.max(full) + service
    }

    /// Calls that run or wait there. What was reported has the calls of all
    /// entries in it, and those sent since come on top.
    fn occupied(&self, now: Time) -> u32 {
        let age = now.saturating_sub(self.reported_at);
        if age >= OCCUPANCY_LIFE {
            return self.in_flight;
        }
        let reported = self.reported.running + self.reported.queued;
        (reported + self.sent_since).max(self.in_flight)
    }

    pub(super) fn started(&mut self) {
        self.in_flight += 1;
        self.sent_since += 1;
    }

    pub(super) fn finished(
        &mut self,
        seen: Seen,
        occupancy: Option<Occupancy>,
        may_eject: bool,
        now: Time,
    ) -> Option<Duration> {
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(occupancy) = occupancy {
            self.reported = occupancy;
            self.reported_at = now;
            self.sent_since = 0;
        }
        match seen {
            Seen::Answered => self.succeeded(),
            Seen::Full => self.full_until = now + FULL_FOR,
            Seen::Failed => return self.failed(may_eject, now),
            Seen::Leaving => self.leaving_until = now + LEAVING_LIFE,
            Seen::Nothing => {}
        }
        None
    }

    fn succeeded(&mut self) {
        self.failures *= 1.0 - FAILURE_GAIN;
        self.successes = self.successes.saturating_add(1);
        if self.successes >= FORGIVEN_AFTER {
            self.ejections = 0;
        }
    }

    fn failed(&mut self, may_eject: bool, now: Time) -> Option<Duration> {
        self.failures += (1.0 - self.failures) * FAILURE_GAIN;
        self.successes = 0;
        if self.failures < EJECT_FROM || !may_eject || self.is_ejected(now) {
            return None;
        }
        let doublings = self.ejections.min(16);
        let time = (FIRST * (1 << doublings)).min(LONGEST);
        self.ejected_until = now + time;
        self.ejections += 1;
        self.failures = AFTER_EJECTION;
        Some(time)
    }
}
