//! Selects the target of a call by the estimated time to its answer.
//!
//! The answers of every executor report its occupancy and its mean run time. The time
//! that an answer would take is estimated from this report and from the attempts that
//! this entry has sent since. The targets of a service differ in speed by several times,
//! so equal shares would make the slow ones queue while the fast ones idle.
//!
//! Calls stay in the availability zone of their entry as long as they most likely meet
//! their latency objective there, or another zone would not answer much sooner: traffic
//! between zones is expensive, and an answer that meets the objective is as good as one
//! that beats it.

mod stats;

use std::time::Duration;

use rand::{Rng, RngExt};
use stoatstep_resource::{ServiceName, UpstreamName, ZoneName};

use crate::candidates::{Candidate, Candidates, Eligible, Pick, TargetFilter};
use crate::ids::Time;
use crate::queue::Occupancy;
use stats::{EstimateInputs, Row, TargetStats, run_max_age, time_to_answer};

/// Share of the time to the objective that an answer may take on average for its call to
/// stay in its zone. Run times of twice the mean are common enough that with a larger
/// share too many answers would be late.
const STAY_SHARE: f64 = 0.6;

/// Share of the time to the objective that another zone must save before a call with a
/// small answer goes there. It amounts to some milliseconds, so that calls don't cause
/// traffic between zones for no gain. Calls that leave make room for the large answers
/// of their zone.
const SPILL_SHARE: f64 = 0.05;

/// Answer size for which another zone must save the whole time to the objective. It lies
/// between small answers of a few KB, whose calls leave first, and downloads of some
/// 90 KB. Taking the size into account improves the value of the answers as a whole; see
/// `docs/design/further.md`.
const SPILL_BYTES: f64 = 32_768.0;

/// Value that replaces `STAY_SHARE` for answers of `SPILL_BYTES` or more. A large answer
/// that most likely meets its objective in its zone has nothing to gain elsewhere.
const STAY_SHARE_LARGE: f64 = 1.0;

/// Multiple of the time to the objective from which an estimated answer counts as late. Run times
/// of half the mean are common enough that a smaller estimate may still turn out in time.
const LATE_FACTOR: f64 = 2.0;

/// A call to select a target for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacementRequest<'a> {
    /// Time left to its latency objective; zero if that has passed.
    pub objective: Duration,
    /// Time left until a late answer has no value either: to its deadline, or to its objective if
    /// its route is not served late.
    pub left: Duration,
    /// Mean size of the answers of its route.
    pub answer_bytes: f64,
    /// Mean run time of its route; `None` before the first run.
    pub run: Option<Duration>,
    /// Targets that it may go to.
    pub filter: TargetFilter<'a>,
    /// Another zone that has room for it, while its own zone has too little.
    pub zone: Option<&'a ZoneName>,
    /// Whether no other zone has room, so that it stays in its zone if that has any target.
    pub stays: bool,
}

impl PlacementRequest<'_> {
    /// Size of its answer relative to `SPILL_BYTES`.
    fn relative_size(&self) -> f64 {
        self.answer_bytes / SPILL_BYTES
    }

    /// Whether the call leaves its zone, if an answer takes `here` in its own zone and
    /// `there` in another one.
    fn spills(&self, here: Duration, there: Duration) -> bool {
        let stay = STAY_SHARE + (STAY_SHARE_LARGE - STAY_SHARE) * self.relative_size().min(1.0);
        let spill = SPILL_SHARE + self.relative_size();
        let bound = self.answer_by(there);
        let saved = here.saturating_sub(there);
        let is_late = here > bound.mul_f64(stay);
        is_late && saved > bound.mul_f64(spill)
    }

    /// Time by which an answer still has a value, if the soonest one takes `soonest`. A call
    /// that is late wherever it goes has until its deadline: judged by what is left of its
    /// objective, it would leave its zone for every millisecond saved.
    fn answer_by(&self, soonest: Duration) -> Duration {
        if soonest < self.objective.mul_f64(LATE_FACTOR) {
            self.objective
        } else {
            self.left.max(self.objective)
        }
    }
}

/// Share of the time to the objective by which the times to two answers may differ and
/// still count as equal. Callers don't notice the difference. Without the tolerance, a
/// target that is slightly slower than the fastest one, or has just joined, would get no
/// calls while all are idle.
const TOLERANCE_SHARE: f64 = 0.05;

/// Number of random candidates of a zone that are compared. If all were compared, every
/// entry would choose the same target until its next answer.
const SAMPLES: usize = 2;

/// How an attempt ended, as far as it says something about the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AttemptFeedback {
    /// It answered.
    Answered,
    /// It refused because its slots and queue are full.
    Full,
    /// It answered with a failure, broke the connection or stopped responding.
    Failed,
    /// It refused because it is leaving.
    Leaving,
    /// The attempt ended because of its caller, which says nothing about the target.
    Nothing,
}

/// Selects targets for the calls of one entry, with statistics of every target.
#[derive(Clone, Debug)]
pub struct Placement {
    candidates: Candidates<TargetStats>,
}

impl Placement {
    /// Creates the placement of an entry in `zone`.
    #[must_use]
    pub fn new(zone: ZoneName) -> Self {
        Self {
            candidates: Candidates::new(zone),
        }
    }

    /// Replaces the candidates of a service. The statistics of those that remain are kept.
    pub fn set_candidates(&mut self, service: &ServiceName, list: &[Candidate], now: Time) {
        self.candidates.set(service, list, now);
    }

    /// Removes the services for which `keep` returns false.
    pub fn retain_services(&mut self, keep: impl Fn(&ServiceName) -> bool) {
        self.candidates.retain_services(keep);
    }

    /// Selects a target that is not in `tried`. Returns `None` if there is none.
    pub fn pick(
        &self,
        service: &ServiceName,
        tried: &[UpstreamName],
        request: PlacementRequest<'_>,
        now: Time,
        rng: &mut dyn Rng,
    ) -> Option<Pick> {
        let eligible = self
            .candidates
            .eligible(service, tried, request.filter, now)?;
        let chosen = choose(&eligible, request, now, rng)?;
        Some(self.candidates.pick(chosen))
    }

    /// Selects targets of the own zone to probe for their occupancy: up to `count` random
    /// ones among those without a recent report or probe. They count as probed from now
    /// on.
    pub fn select_probes(
        &mut self,
        service: &ServiceName,
        filter: TargetFilter<'_>,
        count: usize,
        now: Time,
        rng: &mut dyn Rng,
    ) -> Vec<UpstreamName> {
        let Some(eligible) = self.candidates.eligible(service, &[], filter, now) else {
            return Vec::new();
        };
        let local = eligible.local.iter().filter(|it| it.stats.needs_probe(now));
        let mut names: Vec<UpstreamName> = local.map(|it| it.name.clone()).collect();
        while names.len() > count {
            names.swap_remove(rng.random_range(0..names.len()));
        }
        for name in &names {
            if let Some(row) = self.candidates.row(service, name) {
                row.stats.record_probe(now);
            }
        }
        names
    }

    /// Records the occupancy that an executor reported in answer to a probe.
    pub fn record_occupancy(
        &mut self,
        service: &ServiceName,
        upstream: &UpstreamName,
        occupancy: Occupancy,
        now: Time,
    ) {
        if let Some(row) = self.candidates.row(service, upstream) {
            row.stats.record_occupancy(occupancy, now);
        }
    }

    /// An attempt was sent to this target.
    pub fn started(&mut self, service: &ServiceName, upstream: &UpstreamName) {
        if let Some(row) = self.candidates.started(service, upstream) {
            row.stats.record_sent();
        }
    }

    /// An attempt ended; `occupancy` is what the executor's answer reported. If this
    /// ejects the target, returns the duration of the ejection.
    pub fn finished(
        &mut self,
        service: &ServiceName,
        upstream: &UpstreamName,
        feedback: AttemptFeedback,
        occupancy: Option<Occupancy>,
        now: Time,
    ) -> Option<Duration> {
        let (row, may_eject) = self.candidates.finished(service, upstream, now)?;
        stats::finished(row, feedback, occupancy, may_eject, now)
    }

    /// A target has stated that it leaves. It is never selected again, whatever its daemon or
    /// membership say of it. Returns whether that was unknown.
    pub fn depart(&mut self, service: &ServiceName, upstream: &UpstreamName) -> bool {
        self.candidates.depart(service, upstream)
    }

    /// Targets of a service that are currently ejected.
    #[must_use]
    pub fn ejected(&self, service: &ServiceName, now: Time) -> Vec<UpstreamName> {
        self.candidates.ejected(service, now)
    }
}

fn choose<'a>(
    eligible: &Eligible<'a, TargetStats>,
    request: PlacementRequest<'_>,
    now: Time,
    rng: &mut dyn Rng,
) -> Option<&'a Row> {
    let max_age = run_max_age(eligible.local.len());
    let inputs = EstimateInputs {
        service: assumed_service(eligible, max_age, now),
        max_age,
        run: request.run,
        bytes: request.answer_bytes,
        is_late: request.objective.is_zero(),
    };
    if let Some(zone) = request.zone {
        let there = eligible.remote.iter().copied();
        let there: Vec<&Row> = there.filter(|it| it.zone == *zone).collect();
        if let Some(row) = soonest_sampled(&there, inputs, now, rng) {
            return Some(row);
        }
    }
    let tolerance = request.objective.mul_f64(TOLERANCE_SHARE);
    let Some(local) = soonest_by_reports(&eligible.local, inputs, tolerance, now, rng) else {
        return soonest_sampled(&eligible.remote, inputs, now, rng);
    };
    if request.stays {
        return Some(local);
    }
    let Some(remote) = soonest_sampled(&eligible.remote, inputs, now, rng) else {
        return Some(local);
    };
    let here = time_to_answer(local, inputs, now);
    let there = time_to_answer(remote, inputs, now);
    Some(if request.spills(here, there) {
        remote
    } else {
        local
    })
}

/// Run time that is assumed for a target without a recent report: the mean of the others.
fn assumed_service(eligible: &Eligible<'_, TargetStats>, max_age: Duration, now: Time) -> Duration {
    let rows = eligible.local.iter().chain(&eligible.remote);
    let known: Vec<Duration> = rows
        .filter_map(|it| it.stats.service(max_age, now))
        .collect();
    let sum: Duration = known.iter().sum();
    sum / u32::try_from(known.len().max(1)).unwrap_or(1)
}

/// The target with the soonest answer among all with a fresh report, or among a few
/// random ones if there are hardly any fresh reports.
///
/// An entry that calls each of its 17 targets once a second has hardly any information
/// without fresh reports: with 6 slots for each target and four fifths of them in use,
/// calls wait at one target while slots are free at another.
fn soonest_by_reports<'a>(
    rows: &[&'a Row],
    inputs: EstimateInputs,
    tolerance: Duration,
    now: Time,
    rng: &mut dyn Rng,
) -> Option<&'a Row> {
    let known = rows.iter().copied().filter(|it| it.stats.is_fresh(now));
    let known: Vec<_> = known.collect();
    if known.len() < SAMPLES {
        return soonest_sampled(rows, inputs, now, rng);
    }
    let timed = known
        .into_iter()
        .map(|row| (time_to_answer(row, inputs, now), row));
    let mut timed: Vec<_> = timed.collect();
    let best = timed.iter().map(|(time, _)| *time).min()?;
    timed.retain(|(time, _)| *time <= best + tolerance);
    Some(timed[rng.random_range(0..timed.len())].1)
}

/// The target with the soonest answer among a few random ones.
fn soonest_sampled<'a>(
    rows: &[&'a Row],
    inputs: EstimateInputs,
    now: Time,
    rng: &mut dyn Rng,
) -> Option<&'a Row> {
    let first = (!rows.is_empty()).then(|| rng.random_range(0..rows.len()))?;
    let step = match rows.len() {
        1 => 0,
        len => rng.random_range(1..len),
    };
    let drawn = (0..SAMPLES).map(|it| rows[(first + it * step) % rows.len()]);
    drawn.min_by_key(|row| time_to_answer(row, inputs, now))
}
