//! The upstreams of every service, as one entry sees them: what membership says
//! of each, and what this entry saw itself.
//!
//! Whoever chooses among them keeps records of its own in [`Row::seen`].

mod ejection;

use std::collections::BTreeMap;

use std::time::Duration;

use smol_str::SmolStr;
use stoatstep_resource::{ServiceName, UpstreamName, ZoneName};

use crate::ids::{Incarnation, Time};
pub(crate) use ejection::{Ejection, Lengths};

/// Time for which an upstream's own word that it is leaving counts, unless
/// membership says so too. Its daemon may have been replaced meanwhile.
const LEAVING_LIFE: Duration = Duration::from_secs(5);

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
    /// Slots that it has.
    pub slots: u32,
    /// Version of its software; empty where nobody tells.
    pub software: SmolStr,
}

/// Which targets of a service a call may go to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Among<'a> {
    /// Any.
    All,
    /// Those of this version.
    Software(&'a str),
    /// Those of every version but this one.
    OtherSoftware(&'a str),
    /// These.
    Named(&'a [UpstreamName]),
}

impl Among<'_> {
    fn has<S>(self, row: &Row<S>) -> bool {
        match self {
            Self::All => true,
            Self::Software(software) => row.software == software,
            Self::OtherSoftware(software) => row.software != software,
            Self::Named(names) => names.contains(&row.name),
        }
    }
}

/// The chosen upstream.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Pick {
    /// The upstream.
    pub upstream: UpstreamName,
    /// Whether it lies in another availability zone.
    pub spilled: bool,
}

/// One upstream. `S` is what whoever chooses has seen of it.
#[derive(Clone, Debug)]
pub(crate) struct Row<S> {
    pub(crate) name: UpstreamName,
    pub(crate) zone: ZoneName,
    pub(crate) slots: u32,
    pub(crate) software: SmolStr,
    /// Attempts of this entry that have not ended.
    pub(crate) in_flight: u32,
    /// When this life of its daemon was first heard of.
    pub(crate) since: Time,
    pub(crate) ejection: Ejection,
    pub(crate) seen: S,
    incarnation: Incarnation,
    state: CandidateState,
    leaving_until: Time,
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
            seen: S::default(),
            incarnation: candidate.incarnation,
            state: candidate.state,
            leaving_until: Time::ZERO,
        }
    }

    fn update(&mut self, candidate: &Candidate, now: Time) {
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
        self.software = candidate.software.clone();
    }

    /// It said itself that it is leaving.
    pub(crate) fn leaves(&mut self, now: Time) {
        self.leaving_until = now + LEAVING_LIFE;
    }

    fn is_leaving(&self, now: Time) -> bool {
        self.state == CandidateState::Leaving || now < self.leaving_until
    }

    fn is_sound(&self, now: Time) -> bool {
        self.state == CandidateState::Ready && !self.ejection.is_ejected(now)
    }
}

/// The upstreams of every service, for an entry in one availability zone.
#[derive(Clone, Debug)]
pub(crate) struct Candidates<S> {
    zone: ZoneName,
    services: BTreeMap<ServiceName, BTreeMap<UpstreamName, Row<S>>>,
}

/// Those among which an attempt's upstream is chosen.
pub(crate) struct Open<'a, S> {
    /// Of the entry's own zone.
    pub(crate) near: Vec<&'a Row<S>>,
    /// Of the others.
    pub(crate) far: Vec<&'a Row<S>>,
}

impl<S: Default> Candidates<S> {
    pub(crate) fn new(zone: ZoneName) -> Self {
        let services = BTreeMap::new();
        Self { zone, services }
    }

    /// Replaces the candidates of a service. What was seen of those that stay is
    /// kept.
    pub(crate) fn set(&mut self, service: &ServiceName, list: &[Candidate], now: Time) {
        let rows = self.services.entry(service.clone()).or_default();
        rows.retain(|name, _| list.iter().any(|it| it.upstream == *name));
        for candidate in list {
            rows.entry(candidate.upstream.clone())
                .or_insert_with(|| Row::new(candidate, now))
                .update(candidate, now);
        }
    }

    /// Forgets services that are not in `keep`.
    pub(crate) fn retain_services(&mut self, keep: impl Fn(&ServiceName) -> bool) {
        self.services.retain(|name, _| keep(name));
    }

    /// Those of `among` that are not in `tried` and do not leave. What is believed of all of
    /// them may be wrong, and must not stop the service: with no sound one left,
    /// the doubtful ones are open as well.
    pub(crate) fn open(
        &self,
        service: &ServiceName,
        tried: &[UpstreamName],
        among: Among<'_>,
        now: Time,
    ) -> Option<Open<'_, S>> {
        let rows = self.services.get(service)?.values();
        let is_open =
            |row: &&Row<S>| !row.is_leaving(now) && !tried.contains(&row.name) && among.has(row);
        let open: Vec<_> = rows.filter(is_open).collect();
        let sound = open.iter().copied().filter(|row| row.is_sound(now));
        let sound: Vec<_> = sound.collect();
        let from = if sound.is_empty() { open } else { sound };
        let (near, far) = from.into_iter().partition(|row| row.zone == self.zone);
        Some(Open { near, far })
    }

    /// What is told of the chosen one.
    pub(crate) fn pick(&self, chosen: &Row<S>) -> Pick {
        Pick {
            upstream: chosen.name.clone(),
            spilled: chosen.zone != self.zone,
        }
    }

    /// The row of one upstream.
    pub(crate) fn row(
        &mut self,
        service: &ServiceName,
        upstream: &UpstreamName,
    ) -> Option<&mut Row<S>> {
        self.services.get_mut(service)?.get_mut(upstream)
    }

    /// An attempt was sent to this one.
    pub(crate) fn started(
        &mut self,
        service: &ServiceName,
        upstream: &UpstreamName,
    ) -> Option<&mut Row<S>> {
        let row = self.row(service, upstream)?;
        row.in_flight += 1;
        Some(row)
    }

    /// An attempt at this one ended. Also tells whether one more of the service may
    /// be ejected.
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

    /// Upstreams of a service that are ejected now.
    pub(crate) fn ejected(&self, service: &ServiceName, now: Time) -> Vec<UpstreamName> {
        let rows = self.services.get(service).into_iter();
        let rows = rows.flat_map(|it| it.values());
        let ejected = rows.filter(|row| row.ejection.is_ejected(now));
        ejected.map(|row| row.name.clone()).collect()
    }
}
