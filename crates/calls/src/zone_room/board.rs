//! What the maker of a zone knows: the reports of its members and the rooms of the other zones.

use std::collections::BTreeMap;
use std::time::Duration;

use stoatstep_resource::{RouteName, ServiceName, ZoneName};

use super::{LoadReport, RouteDemand, ServiceRoom, ZoneAdvice, ZoneRoom, advise};
use crate::ids::Time;

/// Age at which a report and a zone's room expire: a member or zone that has told nothing for so
/// long may be gone, and counts as one without room.
const MAX_AGE: Duration = Duration::from_secs(3);

/// State of a maker. `K` identifies a member's process.
#[derive(Clone, Debug)]
pub struct RoomBoard<K> {
    reports: BTreeMap<K, (LoadReport, Time)>,
    others: BTreeMap<ZoneName, (ZoneRoom, Time)>,
}

impl<K> Default for RoomBoard<K> {
    fn default() -> Self {
        Self {
            reports: BTreeMap::new(),
            others: BTreeMap::new(),
        }
    }
}

impl<K: Ord> RoomBoard<K> {
    /// Records a member's report, unless a newer one is known.
    pub fn report(&mut self, member: K, report: LoadReport, now: Time) {
        let known = self.reports.get(&member);
        if known.is_none_or(|(known, _)| known.sequence < report.sequence) {
            self.reports.insert(member, (report, now));
        }
    }

    /// Records the room of another zone, as its maker states it. What a zone claims beyond
    /// `slots_of`, the slots that its targets announced, is not believed.
    pub fn record_zone(
        &mut self,
        zone: ZoneName,
        mut room: ZoneRoom,
        slots_of: impl Fn(&ServiceName) -> f64,
        now: Time,
    ) {
        for (service, room) in &mut room {
            room.slots = room.slots.min(slots_of(service));
        }
        self.others.insert(zone, (room, now));
    }

    /// Forgets what has expired.
    pub fn expire(&mut self, now: Time) {
        let is_recent = |at: Time| now.saturating_sub(at) < MAX_AGE;
        self.reports.retain(|_, (_, at)| is_recent(*at));
        self.others.retain(|_, (_, at)| is_recent(*at));
    }

    /// The room of the own zone.
    #[must_use]
    pub fn own_room(&self) -> ZoneRoom {
        let mut room = ZoneRoom::new();
        for (report, _) in self.reports.values() {
            if let Some(target) = &report.target {
                let room = room.entry(target.service.clone()).or_default();
                room.slots += f64::from(target.slots);
                room.link += f64::from(target.link_bytes_per_s);
            }
            for demand in &report.demand {
                let room = room.entry(demand.service.clone()).or_default();
                add_demand(room, demand);
            }
        }
        room
    }

    /// What the members of the own zone are told.
    #[must_use]
    pub fn advice(&self, own: &ZoneName) -> ZoneAdvice {
        let others = self.others.iter();
        let mut rooms: BTreeMap<ZoneName, ZoneRoom> = others
            .map(|(zone, (room, _))| (zone.clone(), room.clone()))
            .collect();
        rooms.insert(own.clone(), self.own_room());
        advise(own, &rooms, &self.own_demand())
    }

    /// Demand of the own zone by route: calls add up, and what a call needs is averaged.
    fn own_demand(&self) -> Vec<RouteDemand> {
        let mut routes: BTreeMap<&RouteName, RouteDemand> = BTreeMap::new();
        for demand in self.reports.values().flat_map(|(it, _)| &it.demand) {
            let sum = routes.entry(&demand.route).or_insert_with(|| RouteDemand {
                calls_per_s: 0.0,
                ..demand.clone()
            });
            let calls = sum.calls_per_s + demand.calls_per_s;
            if calls > 0.0 {
                let weight = demand.calls_per_s / calls;
                sum.run_s += (demand.run_s - sum.run_s) * weight;
                sum.answer_bytes += (demand.answer_bytes - sum.answer_bytes) * weight;
            }
            sum.calls_per_s = calls;
        }
        routes.into_values().collect()
    }
}

fn add_demand(room: &mut ServiceRoom, demand: &RouteDemand) {
    room.slot_demand += demand.slots();
    room.link_demand += demand.link_bytes_per_s();
    if demand.is_large() {
        room.large_slot_demand += demand.slots();
    }
}
