//! The upstreams of every service that one entry may send attempts to, with their state
//! according to membership and the entry's own observations.
//!
//! The router and the placement keep their statistics of an upstream in [`Row::stats`].

mod departed;
mod ejection;

use std::collections::BTreeMap;

use std::time::Duration;

use smol_str::SmolStr;
use stoatstep_resource::{ServiceName, UpstreamName, ZoneName};

use crate::ids::{Incarnation, Time};
use departed::Departed;
pub(crate) use ejection::{Ejection, EjectionDurations};

/// Time for which an upstream counts as leaving after it refused an attempt for that
/// reason, unless membership reports it too. Its daemon may be replaced in the meantime.
const LEAVING_TIME: Duration = Duration::from_secs(5);

/// State of an upstream's instance according to membership.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CandidateState {
    /// It announced itself and accepts calls.
    Ready,
    /// It does not accept calls yet, or peers suspect that it has failed.
    Unhealthy,
    /// It is leaving and must get no new calls.
    Leaving,
}

/// One upstream of a service, according to configuration and membership.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Candidate {
    /// The upstream.
    pub upstream: UpstreamName,
    /// Availability zone of its instance.
    pub zone: ZoneName,
    /// Incarnation of its daemon; a new one gets its full share of calls gradually.
    pub incarnation: Incarnation,
    /// State according to membership.
    pub state: CandidateState,
    /// Calls that it can run at a time.
    pub slots: u32,
    /// Version of its software; empty if unknown.
    pub software: SmolStr,
}

/// Which targets of a service a call may go to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetFilter<'a> {
    /// All targets.
    All,
    /// Targets that run this version.
    Software(&'a str),
    /// Targets that run any other version.
    OtherSoftware(&'a str),
    /// The listed targets.
    Named(&'a [UpstreamName]),
}

impl TargetFilter<'_> {
    fn matches<S>(self, row: &Row<S>) -> bool {
        match self {
            Self::All => true,
            Self::Software(software) => row.software == software,
            Self::OtherSoftware(software) => row.software != software,
            Self::Named(names) => names.contains(&row.name),
        }
    }
}

/// The upstream selected for an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Pick {
    /// The upstream.
    pub upstream: UpstreamName,
    /// Whether it is in another availability zone than the entry.
    pub spilled: bool,
}

/// State of one upstream. `S` holds the statistics of the router or the placement.
#[derive(Clone, Debug)]
pub(crate) struct Row<S> {
    pub(crate) name: UpstreamName,
    pub(crate) zone: ZoneName,
    pub(crate) slots: u32,
    pub(crate) software: SmolStr,
    /// Attempts of this entry that have not ended.
    pub(crate) in_flight: u32,
    /// When this incarnation of its daemon first became known.
    pub(crate) since: Time,
    pub(crate) ejection: Ejection,
    pub(crate) stats: S,
    incarnation: Incarnation,
    state: CandidateState,
    leaving_until: Time,
    /// Whether the target has stated that it leaves.
    has_departed: bool,
}

impl<S: Default> Row<S> {
    fn new(candidate: &Candidate, now: Time) -> Self {
        Self {
            name: candidate.upstream.clone(),
            zone: candidate.zone.clone(),
            slots: candidate.slots,
            software: candidate.software.clone(),
            in_flight: 0,
            since: now,
            ejection: Ejection::default(),
            stats: S::default(),
            incarnation: candidate.incarnation,
            state: candidate.state,
            leaving_until: Time::ZERO,
            has_departed: false,
        }
    }

    fn update(&mut self, candidate: &Candidate, now: Time) {
        if self.incarnation != candidate.incarnation {
            // Failures, load and retry delays belong to the previous process.
            *self = Self {
                in_flight: self.in_flight,
                has_departed: self.has_departed,
                ..Self::new(candidate, now)
            };
            return;
        }
        self.zone = candidate.zone.clone();
        self.state = candidate.state;
        self.slots = candidate.slots;
        self.software = candidate.software.clone();
    }

    /// It refused an attempt because it is leaving.
    pub(crate) fn mark_leaving(&mut self, now: Time) {
        self.leaving_until = now + LEAVING_TIME;
    }

    fn is_leaving(&self, now: Time) -> bool {
        self.has_departed || self.state == CandidateState::Leaving || now < self.leaving_until
    }

    fn is_healthy(&self, now: Time) -> bool {
        self.state == CandidateState::Ready && !self.ejection.is_ejected(now)
    }
}

/// The upstreams of every service, as seen by an entry in one availability zone.
#[derive(Clone, Debug)]
pub(crate) struct Candidates<S> {
    zone: ZoneName,
    services: BTreeMap<ServiceName, BTreeMap<UpstreamName, Row<S>>>,
    departed: Departed,
}

/// The upstreams that an attempt may be sent to.
pub(crate) struct Eligible<'a, S> {
    /// Upstreams in the entry's own zone.
    pub(crate) local: Vec<&'a Row<S>>,
    /// Upstreams in other zones.
    pub(crate) remote: Vec<&'a Row<S>>,
}

impl<S: Default> Candidates<S> {
    pub(crate) fn new(zone: ZoneName) -> Self {
        Self {
            zone,
            services: BTreeMap::new(),
            departed: Departed::default(),
        }
    }

    /// Replaces the candidates of a service. The statistics of those that remain are kept.
    pub(crate) fn set(&mut self, service: &ServiceName, list: &[Candidate], now: Time) {
        let rows = self.services.entry(service.clone()).or_default();
        rows.retain(|name, _| list.iter().any(|it| it.upstream == *name));
        for candidate in list {
            rows.entry(candidate.upstream.clone())
                .or_insert_with(|| Row {
                    has_departed: self.departed.contains(&candidate.upstream),
                    ..Row::new(candidate, now)
                })
                .update(candidate, now);
        }
    }

    /// The upstream has stated that it leaves, so it must get no calls again. Returns whether
    /// that was unknown.
    pub(crate) fn depart(&mut self, service: &ServiceName, upstream: &UpstreamName) -> bool {
        if let Some(row) = self.row(service, upstream) {
            row.has_departed = true;
        }
        self.departed.insert(upstream)
    }

    /// Removes the services for which `keep` returns false.
    pub(crate) fn retain_services(&mut self, keep: impl Fn(&ServiceName) -> bool) {
        self.services.retain(|name, _| keep(name));
    }

    /// Upstreams matched by `filter` that are not in `tried` and not leaving. Unhealthy ones
    /// are included only if there is no healthy one: health information about all of them
    /// may be wrong and must not stop the service.
    pub(crate) fn eligible(
        &self,
        service: &ServiceName,
        tried: &[UpstreamName],
        filter: TargetFilter<'_>,
        now: Time,
    ) -> Option<Eligible<'_, S>> {
        let rows = self.services.get(service)?.values();
        let is_eligible = |row: &&Row<S>| {
            !row.is_leaving(now) && !tried.contains(&row.name) && filter.matches(row)
        };
        let eligible: Vec<_> = rows.filter(is_eligible).collect();
        let healthy = eligible.iter().copied().filter(|row| row.is_healthy(now));
        let healthy: Vec<_> = healthy.collect();
        let from = if healthy.is_empty() {
            eligible
        } else {
            healthy
        };
        let (local, remote) = from.into_iter().partition(|row| row.zone == self.zone);
        Some(Eligible { local, remote })
    }

    /// Describes the upstream that was selected.
    pub(crate) fn pick(&self, chosen: &Row<S>) -> Pick {
        Pick {
            upstream: chosen.name.clone(),
            spilled: chosen.zone != self.zone,
        }
    }

    /// The state of one upstream.
    pub(crate) fn row(
        &mut self,
        service: &ServiceName,
        upstream: &UpstreamName,
    ) -> Option<&mut Row<S>> {
        self.services.get_mut(service)?.get_mut(upstream)
    }

    /// An attempt was sent to this upstream.
    pub(crate) fn started(
        &mut self,
        service: &ServiceName,
        upstream: &UpstreamName,
    ) -> Option<&mut Row<S>> {
        let row = self.row(service, upstream)?;
        row.in_flight += 1;
        Some(row)
    }

    /// An attempt at this upstream ended. Also returns whether one more upstream of the
    /// service may be ejected.
    pub(crate) fn finished(
        &mut self,
        service: &ServiceName,
        upstream: &UpstreamName,
        now: Time,
    ) -> Option<(&mut Row<S>, bool)> {
        let rows = self.services.get_mut(service)?;
        let are_ejected = rows.values().map(|row| row.ejection.is_ejected(now));
        let may_eject = ejection::may_eject(are_ejected);
        let row = rows.get_mut(upstream)?;
        row.in_flight = row.in_flight.saturating_sub(1);
        Some((row, may_eject))
    }

    /// Upstreams of a service that are currently ejected.
    pub(crate) fn ejected(&self, service: &ServiceName, now: Time) -> Vec<UpstreamName> {
        let rows = self.services.get(service).into_iter();
        let rows = rows.flat_map(|it| it.values());
        let ejected = rows.filter(|row| row.ejection.is_ejected(now));
        ejected.map(|row| row.name.clone()).collect()
    }
}
