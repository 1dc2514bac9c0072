//! Selects the upstream of an attempt by load.
//!
//! The load of an upstream is estimated from this daemon's own calls in flight and from
//! the load that executors report with their answers. Health and load endpoints can be
//! late or wrong, so the state of an upstream in membership only decides which candidates
//! are preferred, and never excludes all of them. See `docs/design/calls.md`.

mod stats;

use std::time::Duration;

use rand::{Rng, RngExt};
use stoatstep_resource::{ServiceName, UpstreamName, ZoneName};

use crate::admission::Load;
use crate::candidates::{Candidate, Candidates, Eligible, Pick, TargetFilter};
use crate::ids::Time;
use stats::{Row, UpstreamStats};

/// Score from which calls may leave the availability zone: nearly every slot is
/// taken, so a wait in this zone is likely to cost more than the latency to another one.
const SPILL_SCORE: f64 = 0.8;

/// Amount by which another zone's score must be lower before calls go there. Without
/// it two equally loaded zones would swap their calls.
const ZONE_PENALTY: f64 = 0.2;

/// How an attempt ended, as far as it says something about the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Report {
    /// It answered, with the executor's load if the answer reported it.
    Answered(Option<Load>),
    /// It refused, with the executor's load if reported, and requested this delay.
    Refused(Option<Load>, Duration),
    /// There was no connection, no complete answer or no response at all.
    Failed,
    /// It refused because it is leaving.
    Leaving,
    /// The attempt ended because of its caller.
    Cancelled,
}

/// Selects upstreams for the attempts of one entry, with statistics of every upstream.
#[derive(Clone, Debug)]
pub struct Router {
    candidates: Candidates<UpstreamStats>,
}

impl Router {
    /// Creates the router of an entry in `zone`.
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

    /// Selects an upstream that is not in `tried`. Returns `None` if there is none.
    pub fn pick(
        &self,
        service: &ServiceName,
        tried: &[UpstreamName],
        now: Time,
        rng: &mut dyn Rng,
    ) -> Option<Pick> {
        let eligible = self
            .candidates
            .eligible(service, tried, TargetFilter::All, now)?;
        let chosen = choose(&eligible, now, rng)?;
        Some(self.candidates.pick(chosen))
    }

    /// An attempt was sent to this upstream.
    pub fn started(&mut self, service: &ServiceName, upstream: &UpstreamName) {
        self.candidates.started(service, upstream);
    }

    /// An attempt at this upstream ended.
    pub fn finished(
        &mut self,
        service: &ServiceName,
        upstream: &UpstreamName,
        report: Report,
        now: Time,
    ) {
        let finished = self.candidates.finished(service, upstream, now);
        if let Some((row, may_eject)) = finished {
            stats::record_report(row, report, may_eject, now);
        }
    }

    /// Upstreams of a service that are currently ejected.
    #[must_use]
    pub fn ejected(&self, service: &ServiceName, now: Time) -> Vec<UpstreamName> {
        self.candidates.ejected(service, now)
    }
}

fn choose<'a>(
    eligible: &Eligible<'a, UpstreamStats>,
    now: Time,
    rng: &mut dyn Rng,
) -> Option<&'a Row> {
    let Some(local) = better_of_two(&eligible.local, now, rng) else {
        return better_of_two(&eligible.remote, now, rng);
    };
    let local_score = stats::score(local, now);
    if local_score < SPILL_SCORE {
        return Some(local);
    }
    let Some(remote) = better_of_two(&eligible.remote, now, rng) else {
        return Some(local);
    };
    let spills = stats::score(remote, now) + ZONE_PENALTY < local_score;
    Some(if spills { remote } else { local })
}

/// The less loaded of two random candidates. If all were compared, every entry would
/// choose the same upstream until its next answer.
fn better_of_two<'a>(rows: &[&'a Row], now: Time, rng: &mut dyn Rng) -> Option<&'a Row> {
    if rows.len() < 2 {
        return rows.first().copied();
    }
    let first = rng.random_range(0..rows.len());
    let step = rng.random_range(1..rows.len());
    let second = (first + step) % rows.len();
    let (first, second) = (rows[first], rows[second]);
    Some(if stats::score(second, now) < stats::score(first, now) {
        second
    } else {
        first
    })
}
