//! Which upstream takes an attempt.
//!
//! The choice rests on what this daemon saw itself: its own calls in flight,
//! and the load that executors put on their answers. Health and load endpoints
//! lag or mislead, so what membership says about an upstream only decides
//! which candidates are preferred, never that there are none. See
//! `docs/design/calls.md`.

mod ejection;
mod upstream;

use std::collections::BTreeMap;
use std::time::Duration;

use rand::{Rng, RngExt};
use stoatstep_resource::{ServiceName, UpstreamName, ZoneName};

use crate::admission::Load;
use crate::ids::{Incarnation, Time};
use upstream::Row;

pub(crate) use ejection::may_eject;

/// Score from which calls may leave the availability zone: nearly every slot is
/// taken, so a wait here is likely to cost more than the way to another zone.
const SPILL_SCORE: f64 = 0.8;

/// What another zone's score must be below ours before calls go there. Without
/// it two equally loaded zones would swap their calls.
const ZONE_PENALTY: f64 = 0.2;

/// What membership knows about an upstream's instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CandidateState {
    /// It announced itself and takes work.
    Ready,
    /// It does not take work yet, or peers suspect it.
    Doubtful,
    /// It is leaving: it must get no new work.
    Leaving,
}

/// One upstream of a service, as configuration and membership have it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Candidate {
    /// The upstream.
    pub upstream: UpstreamName,
    /// Availability zone of its instance.
    pub zone: ZoneName,
    /// Life of its daemon; a new one starts slowly.
    pub incarnation: Incarnation,
    /// What membership says.
    pub state: CandidateState,
    /// Slots that the configuration gives it.
    pub slots: u32,
}

/// The chosen upstream.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Pick {
    /// The upstream.
    pub upstream: UpstreamName,
    /// Whether it lies in another availability zone.
    pub spilled: bool,
}

/// How an attempt ended, as far as it tells about the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Report {
    /// It answered; the executor's load at that time, if the answer had it.
    Answered(Option<Load>),
    /// It refused, and asks for a pause.
    Refused(Option<Load>, Duration),
    /// No connection, no whole answer, or silence.
    Failed,
    /// It refused because it is leaving.
    Leaving,
    /// Ended for reasons of the caller's.
    Cancelled,
}

/// Tables of the upstreams of every service, as one entry sees them.
#[derive(Clone, Debug)]
pub struct Router {
    zone: ZoneName,
    services: BTreeMap<ServiceName, BTreeMap<UpstreamName, Row>>,
}

impl Router {
    /// A router for an entry in `zone`.
    #[must_use]
    pub fn new(zone: ZoneName) -> Self {
        let services = BTreeMap::new();
        Self { zone, services }
    }

    /// Replaces the candidates of a service. What was seen of those that stay is
    /// kept.
    pub fn set_candidates(&mut self, service: &ServiceName, list: &[Candidate], now: Time) {
        let rows = self.services.entry(service.clone()).or_default();
        rows.retain(|name, _| list.iter().any(|it| it.upstream == *name));
        for candidate in list {
            rows.entry(candidate.upstream.clone())
                .or_insert_with(|| Row::new(candidate, now))
                .update(candidate, now);
        }
    }

    /// Forgets services that are not in `keep`.
    pub fn retain_services(&mut self, keep: impl Fn(&ServiceName) -> bool) {
        self.services.retain(|name, _| keep(name));
    }

    /// Chooses an upstream, none of `tried`; `None` where no one is left.
    pub fn pick(
        &self,
        service: &ServiceName,
        tried: &[UpstreamName],
        now: Time,
        rng: &mut dyn Rng,
    ) -> Option<Pick> {
        let rows = self.services.get(service)?;
        let open = |row: &&Row| !row.is_leaving(now) && !tried.contains(&row.name);
        let open: Vec<&Row> = rows.values().filter(open).collect();
        let sound = |row: &&&Row| row.is_sound(now);
        let sound: Vec<&Row> = open.iter().filter(sound).copied().collect();
        // Health that lies about everyone must not stop the service: with no
        // sound candidate left, the doubtful ones are tried.
        let from = if sound.is_empty() { &open } else { &sound };
        let chosen = self.choose(from, now, rng)?;
        Some(Pick {
            upstream: chosen.name.clone(),
            spilled: chosen.zone != self.zone,
        })
    }

    fn choose<'a>(&self, from: &[&'a Row], now: Time, rng: &mut dyn Rng) -> Option<&'a Row> {
        let own = |row: &&Row| row.zone == self.zone;
        let (near, far): (Vec<&Row>, Vec<&Row>) = from.iter().copied().partition(own);
        let Some(near) = better_of_two(&near, now, rng) else {
            return better_of_two(&far, now, rng);
        };
        let near_score = near.score(now);
        if near_score < SPILL_SCORE {
            return Some(near);
        }
        let Some(far) = better_of_two(&far, now, rng) else {
            return Some(near);
        };
        let spill = far.score(now) + ZONE_PENALTY < near_score;
        Some(if spill { far } else { near })
    }

    /// An attempt was sent.
    pub fn started(&mut self, service: &ServiceName, upstream: &UpstreamName) {
        if let Some(row) = self.row(service, upstream) {
            row.in_flight += 1;
        }
    }

    /// An attempt ended.
    pub fn finished(
        &mut self,
        service: &ServiceName,
        upstream: &UpstreamName,
        report: Report,
        now: Time,
    ) {
        let Some(rows) = self.services.get_mut(service) else {
            return;
        };
        let may_eject = may_eject(rows.values().map(|row| row.is_ejected(now)));
        let Some(row) = rows.get_mut(upstream) else {
            return;
        };
        row.in_flight = row.in_flight.saturating_sub(1);
        row.report(report, may_eject, now);
    }

    /// Upstreams of a service that are ejected now.
    #[must_use]
    pub fn ejected(&self, service: &ServiceName, now: Time) -> Vec<UpstreamName> {
        let rows = self
            .services
            .get(service)
            .into_iter()
            .flat_map(|it| it.values());
        let ejected = rows.filter(|row| row.is_ejected(now));
        ejected.map(|row| row.name.clone()).collect()
    }

    fn row(&mut self, service: &ServiceName, upstream: &UpstreamName) -> Option<&mut Row> {
        self.services.get_mut(service)?.get_mut(upstream)
    }
}

/// Two random candidates, the less loaded of them. The least loaded of all would
/// draw every entry to the same upstream until its next answer.
fn better_of_two<'a>(rows: &[&'a Row], now: Time, rng: &mut dyn Rng) -> Option<&'a Row> {
    if rows.len() < 2 {
        return rows.first().copied();
    }
    let first = rng.random_range(0..rows.len());
    let step = rng.random_range(1..rows.len());
    let second = (first + step) % rows.len();
    let (first, second) = (rows[first], rows[second]);
    Some(if second.score(now) < first.score(now) {
        second
    } else {
        first
    })
}
