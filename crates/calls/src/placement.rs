//! Which target takes a call, by the time to its answer.
//!
//! Every executor's answers say how occupied it is and how long its runs take.
//! From that, and from what this entry has sent since, follows the time that an
//! answer from it would take. The targets of a service differ in speed by
//! several times, so an equal share for each makes the slow ones queue while the
//! fast ones idle.
//!
//! Calls stay in the availability zone of their entry as long as they most likely
//! meet their latency objective there, or another zone would not answer much
//! sooner: bytes between zones are dear, and an answer that meets the objective is
//! as good as one that beats it.

mod seen;

use std::time::Duration;

use rand::{Rng, RngExt};
use stoatstep_resource::{ServiceName, UpstreamName, ZoneName};

use crate::candidates::{Among, Candidate, Candidates, Open, Pick};
use crate::ids::Time;
use crate::queue::Occupancy;
use seen::{Record, Row, Typical, run_life, time_to_answer};

/// Share of the time to the objective that an answer may take, on average, while
/// the call stays in its zone. Run times of twice their mean are common enough
/// that with more of it too many answers would be late.
const STAY_SHARE: f64 = 0.6;

/// Share of the time to the objective that another zone has to save before a call
/// with a small answer goes there: some milliseconds, or a gain of nothing would cost
/// bytes. What it leaves makes room for the large answers of its zone.
const SPILL_SHARE: f64 = 0.05;

/// Bytes of an answer for which another zone has to save the whole time to the
/// objective. It lies between the answers that leave first, of a few KB, and downloads
/// of some 90 KB. Over five days with trouble and three seeds each, placing by bytes
/// raised the mean worth from 0.555 to 0.561; see `docs/design/further.md`.
const SPILL_BYTES: f64 = 32_768.0;

/// The same as `STAY_SHARE`, for a call whose answer is this large or larger. One that
/// most likely meets its objective in its zone has nothing to gain elsewhere.
const STAY_SHARE_LARGE: f64 = 1.0;

/// A call that is to be placed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Wish<'a> {
    /// Time left to its latency objective.
    pub objective: Duration,
    /// Mean bytes of the answers of its route.
    pub answer_bytes: f64,
    /// Mean time of a run of its route, where one was seen.
    pub run: Option<Duration>,
    /// Targets that it may go to.
    pub among: Among<'a>,
}

impl Wish<'_> {
    /// Part of the time to the objective for which its answer's bytes count.
    fn weight(&self) -> f64 {
        self.answer_bytes / SPILL_BYTES
    }

    /// Whether an answer from its own zone in `here` is worth one from elsewhere in
    /// `there`.
    fn spills(&self, here: Duration, there: Duration) -> bool {
        let stay = STAY_SHARE + (STAY_SHARE_LARGE - STAY_SHARE) * self.weight().min(1.0);
        let spill = SPILL_SHARE + self.weight();
        let saved = here.saturating_sub(there);
        let is_late = here > self.objective.mul_f64(stay);
        is_late && saved > self.objective.mul_f64(spill)
    }
}

/// Share of the time to the objective by which answers may differ and count as equally
/// soon. Callers don't notice, and a target that is a little slower than the fastest one,
/// or has just joined, would else stand idle while all are.
const EVEN_SHARE: f64 = 0.05;

/// Candidates of a zone that are looked at. The best of all would draw every
/// entry to the same target until its next answer.
const SAMPLES: usize = 2;

/// How an attempt ended, as far as it tells about the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Seen {
    /// It answered.
    Answered,
    /// It is too occupied.
    Full,
    /// It answered with a failure, broke the connection or fell silent.
    Failed,
    /// It refused because it is leaving.
    Leaving,
    /// Nothing: the attempt ended for reasons of the caller's.
    Nothing,
}

/// Tables of the targets of every service, as one entry sees them.
#[derive(Clone, Debug)]
pub struct Placement {
    candidates: Candidates<Record>,
}

impl Placement {
    /// For an entry in `zone`.
    #[must_use]
    pub fn new(zone: ZoneName) -> Self {
        Self {
            candidates: Candidates::new(zone),
        }
    }

    /// Replaces the candidates of a service. What was seen of those that stay is
    /// kept.
    pub fn set_candidates(&mut self, service: &ServiceName, list: &[Candidate], now: Time) {
        self.candidates.set(service, list, now);
    }

    /// Forgets services that are not in `keep`.
    pub fn retain_services(&mut self, keep: impl Fn(&ServiceName) -> bool) {
        self.candidates.retain_services(keep);
    }

    /// Chooses a target, none of `tried`. `None` where no one is left.
    pub fn pick(
        &self,
        service: &ServiceName,
        tried: &[UpstreamName],
        wish: Wish<'_>,
        now: Time,
        rng: &mut dyn Rng,
    ) -> Option<Pick> {
        let open = self.candidates.open(service, tried, wish.among, now)?;
        let chosen = choose(&open, wish, now, rng)?;
        Some(self.candidates.pick(chosen))
    }

    /// Targets of the own zone that are worth asking how occupied they are: up to
    /// `count`, drawn from those of which nothing was heard in the last moments. They
    /// count as asked from now on.
    pub fn to_ask(
        &mut self,
        service: &ServiceName,
        among: Among<'_>,
        count: usize,
        now: Time,
        rng: &mut dyn Rng,
    ) -> Vec<UpstreamName> {
        let Some(open) = self.candidates.open(service, &[], among, now) else {
            return Vec::new();
        };
        let near = open.near.iter().filter(|it| it.seen.is_worth_asking(now));
        let mut names: Vec<UpstreamName> = near.map(|it| it.name.clone()).collect();
        while names.len() > count {
            names.swap_remove(rng.random_range(0..names.len()));
        }
        for name in &names {
            if let Some(row) = self.candidates.row(service, name) {
                row.seen.asked(now);
            }
        }
        names
    }

    /// An executor said, asked beside calls, how occupied it is.
    pub fn told(
        &mut self,
        service: &ServiceName,
        upstream: &UpstreamName,
        occupancy: Occupancy,
        now: Time,
    ) {
        if let Some(row) = self.candidates.row(service, upstream) {
            row.seen.told(occupancy, now);
        }
    }

    /// An attempt was sent.
    pub fn started(&mut self, service: &ServiceName, upstream: &UpstreamName) {
        if let Some(row) = self.candidates.started(service, upstream) {
            row.seen.sent();
        }
    }

    /// An attempt ended; `occupancy` is what the executor's answer said of it. Gives
    /// the time for which the target is left out, where this is what ejected it.
    pub fn finished(
        &mut self,
        service: &ServiceName,
        upstream: &UpstreamName,
        seen: Seen,
        occupancy: Option<Occupancy>,
        now: Time,
    ) -> Option<Duration> {
        let (row, may_eject) = self.candidates.finished(service, upstream, now)?;
        seen::finished(row, seen, occupancy, may_eject, now)
    }

    /// Targets of a service that are ejected now.
    #[must_use]
    pub fn ejected(&self, service: &ServiceName, now: Time) -> Vec<UpstreamName> {
        self.candidates.ejected(service, now)
    }
}

fn choose<'a>(
    open: &Open<'a, Record>,
    wish: Wish<'_>,
    now: Time,
    rng: &mut dyn Rng,
) -> Option<&'a Row> {
    let life = run_life(open.near.len());
    let typical = Typical {
        service: typical_service(open, life, now),
        life,
        run: wish.run,
        bytes: wish.answer_bytes,
    };
    let even = wish.objective.mul_f64(EVEN_SHARE);
    let Some(near) = soonest_known(&open.near, typical, even, now, rng) else {
        return soonest(&open.far, typical, now, rng);
    };
    let Some(far) = soonest(&open.far, typical, now, rng) else {
        return Some(near);
    };
    let here = time_to_answer(near, typical, now);
    let there = time_to_answer(far, typical, now);
    Some(if wish.spills(here, there) { far } else { near })
}

/// What a run takes at a target of which nothing recent is known: the mean of
/// the others.
fn typical_service(open: &Open<'_, Record>, life: Duration, now: Time) -> Duration {
    let rows = open.near.iter().chain(&open.far);
    let known: Vec<Duration> = rows.filter_map(|it| it.seen.service(life, now)).collect();
    let sum: Duration = known.iter().sum();
    sum / u32::try_from(known.len().max(1)).unwrap_or(1)
}

/// The one that would answer soonest among all of which something was heard in the last
/// moments, or among a few random ones where that is hardly any.
///
/// Without fresh words an entry that meets each of its 17 targets once a second chooses
/// as good as blindly: with 6 slots a target and four fifths of them in use, calls wait at
/// one while slots idle at the next.
fn soonest_known<'a>(
    rows: &[&'a Row],
    typical: Typical,
    even: Duration,
    now: Time,
    rng: &mut dyn Rng,
) -> Option<&'a Row> {
    let known = rows.iter().copied().filter(|it| it.seen.is_fresh(now));
    let known: Vec<_> = known.collect();
    if known.len() < SAMPLES {
        return soonest(rows, typical, now, rng);
    }
    let timed = known
        .into_iter()
        .map(|row| (time_to_answer(row, typical, now), row));
    let mut timed: Vec<_> = timed.collect();
    let best = timed.iter().map(|(time, _)| *time).min()?;
    timed.retain(|(time, _)| *time <= best + even);
    Some(timed[rng.random_range(0..timed.len())].1)
}

/// The one of a few random candidates that would answer soonest.
fn soonest<'a>(
    rows: &[&'a Row],
    typical: Typical,
    now: Time,
    rng: &mut dyn Rng,
) -> Option<&'a Row> {
    let first = (!rows.is_empty()).then(|| rng.random_range(0..rows.len()))?;
    let step = match rows.len() {
        1 => 0,
        len => rng.random_range(1..len),
    };
    let drawn = (0..SAMPLES).map(|it| rows[(first + it * step) % rows.len()]);
    drawn.min_by_key(|row| time_to_answer(row, typical, now))
}
