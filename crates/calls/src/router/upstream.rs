//! One upstream as an entry sees it.

use std::time::Duration;

use stoatstep_resource::{UpstreamName, ZoneName};

use super::ejection::Ejection;
use super::{Candidate, CandidateState, Report};
use crate::admission::Load;
use crate::ids::{Incarnation, Time};

/// Time in which a new upstream comes to its full share. Cold targets have
/// empty caches: a full share at once makes all of it slow.
const SLOW_START: Duration = Duration::from_secs(5);

/// Share with which a new upstream begins.
const FIRST_SHARE: f64 = 0.2;

/// Age at which a reported load no longer counts.
const LOAD_LIFE: Duration = Duration::from_secs(1);

/// Longest pause after a refusal that the router believes.
const LONGEST_PAUSE: Duration = Duration::from_secs(1);

/// Time for which an upstream's own word that it is leaving counts, unless
/// membership says so too. Its daemon may have been replaced meanwhile.
const LEAVING_LIFE: Duration = Duration::from_secs(5);

/// Score added while an upstream has asked for a pause.
const REFUSED_SCORE: f64 = 1.0;

#[derive(Clone, Debug)]
pub(super) struct Row {
    pub(super) name: UpstreamName,
    pub(super) zone: ZoneName,
    pub(super) in_flight: u32,
    incarnation: Incarnation,
    state: CandidateState,
    slots: u32,
    since: Time,
    reported: Load,
    reported_at: Time,
    paused_until: Time,
    leaving_until: Time,
    ejection: Ejection,
}

impl Row {
    pub(super) fn new(candidate: &Candidate, now: Time) -> Self {
        Self {
            name: candidate.upstream.clone(),
            zone: candidate.zone.clone(),
            in_flight: 0,
            incarnation: candidate.incarnation,
            state: candidate.state,
            slots: candidate.slots,
            since: now,
            reported: Load::default(),
            reported_at: now,
            paused_until: Time::ZERO,
            leaving_until: Time::ZERO,
            ejection: Ejection::default(),
        }
    }

    pub(super) fn update(&mut self, candidate: &Candidate, now: Time) {
        if self.incarnation != candidate.incarnation {
            // Failures, load and pauses were those of another process.
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
        self.ejection.is_ejected(now)
    }

    pub(super) fn is_sound(&self, now: Time) -> bool {
        self.state == CandidateState::Ready && !self.is_ejected(now)
    }

    /// Load for each slot; 1 is "every slot taken". What the executor reported
    /// loses weight with age, since a report that says "busy" would otherwise
    /// keep calls away and so never be replaced.
    pub(super) fn score(&self, now: Time) -> f64 {
        let age = now.saturating_sub(self.reported_at);
        let fresh = 1.0 - (age.as_secs_f64() / LOAD_LIFE.as_secs_f64()).min(1.0);
        let reported = f64::from(self.reported.running + self.reported.queued) * fresh;
        let own = f64::from(self.in_flight);
        let slots = f64::from(self.slots.max(1)) * self.share(now);
        let paused = if now < self.paused_until {
            REFUSED_SCORE
        } else {
            0.0
        };
        // The executor's count has our own calls in it: the larger is nearer the
        // truth than the sum. One more makes an idle cold upstream worse than an
        // idle warm one.
        (own.max(reported) + 1.0) / slots + paused
    }

    fn share(&self, now: Time) -> f64 {
        let ejected = self.ejection.ended().unwrap_or_default();
        let since = self.since.max(ejected);
        let age = now.saturating_sub(since).as_secs_f64();
        let ramp = (age / SLOW_START.as_secs_f64()).min(1.0);
        FIRST_SHARE + (1.0 - FIRST_SHARE) * ramp
    }

    pub(super) fn report(&mut self, report: Report, may_eject: bool, now: Time) {
        match report {
            Report::Answered(load) => {
                self.take_load(load, now);
                self.ejection.succeeded();
            }
            Report::Refused(load, pause) => {
                self.take_load(load, now);
                self.ejection.succeeded();
                self.paused_until = now + pause.min(LONGEST_PAUSE);
            }
            Report::Failed => self.ejection.failed(may_eject, now),
            Report::Leaving => self.leaving_until = now + LEAVING_LIFE,
            Report::Cancelled => {}
        }
    }

    fn take_load(&mut self, load: Option<Load>, now: Time) {
        if let Some(load) = load {
            self.reported = load;
            self.reported_at = now;
        }
    }
}
