//! Which calls of a zone leave it while the zone has too little room for them, and for where.
//!
//! It answers a demand that stays above what a zone's targets can run, or what their links can
//! send, for longer than a second, while other zones have room. An entry alone sees a fraction of
//! that demand: the entries of a zone would leave together, to the same zone, and return together.
//!
//! One member of each zone, the *maker*, adds up what its members [report](LoadReport) and
//! exchanges the sums with the makers of the other zones. From the sums of all zones it derives
//! the [shares](route_shares) of each route's calls that leave and the routes whose calls stay
//! since no other zone has room, and its members apply both.
//! Every maker derives the same transfers from the same sums, so that together the zones never
//! send more to a zone than it has left over.
//!
//! See `docs/design/hard-load.md`.

mod board;
mod demand;
mod transfer;

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use stoatstep_resource::{RouteName, ServiceName, ZoneName};

pub use board::RoomBoard;
pub use demand::DemandMeter;
use transfer::Transfers;

/// Share of its room that a zone fills with its own calls before some leave, and up to which it
/// takes calls of others. With more, calls wait for slots of single targets while the mean over
/// all of them says that there is room.
const FILLED_SHARE: f64 = 0.85;

/// Mean size of a route's answers from which their time on the link counts. Smaller answers are
/// sent between the chunks of large ones.
const LARGE_ANSWER_BYTES: f64 = 16_384.0;

/// Demand for one route, at one entry or in a whole zone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouteDemand {
    /// The route.
    pub route: RouteName,
    /// The service that runs its calls.
    pub service: ServiceName,
    /// Calls per second.
    pub calls_per_s: f64,
    /// Mean run time, in seconds.
    pub run_s: f64,
    /// Mean size of its answers.
    pub answer_bytes: f64,
}

impl RouteDemand {
    /// Slots that its calls take on average.
    fn slots(&self) -> f64 {
        self.calls_per_s * self.run_s
    }

    fn is_large(&self) -> bool {
        self.answer_bytes >= LARGE_ANSWER_BYTES
    }

    /// Bytes per second that its answers need on links, if they are large.
    fn link_bytes_per_s(&self) -> f64 {
        if self.is_large() {
            self.calls_per_s * self.answer_bytes
        } else {
            0.0
        }
    }

    /// Slot time that a call frees for each byte that is sent if it leaves.
    fn freed_by_byte(&self) -> f64 {
        self.run_s / self.answer_bytes.max(1.0)
    }
}

/// The target beside a daemon, as a part of its zone's room.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TargetRoom {
    /// The service of the target.
    pub service: ServiceName,
    /// Calls that it runs at a time.
    pub slots: u32,
    /// Usable rate of the instance's link; zero if it does not limit answers.
    pub link_bytes_per_s: u32,
}

/// What a member tells the maker of its zone.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Counts the reports of this process. An older one does not replace a newer one.
    pub sequence: u64,
    /// Its target, if that accepts calls.
    pub target: Option<TargetRoom>,
    /// Demand of the callers of this daemon.
    pub demand: Vec<RouteDemand>,
}

/// Room of one service in one zone, and what the zone's own callers need of it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ServiceRoom {
    /// Slots of all targets.
    pub slots: f64,
    /// Slots that the calls of the zone's entries take on average.
    pub slot_demand: f64,
    /// The part of `slot_demand` that is due to calls with large answers.
    pub large_slot_demand: f64,
    /// Bytes per second of all targets' links.
    pub link: f64,
    /// Bytes per second of the large answers to the zone's entries.
    pub link_demand: f64,
}

impl ServiceRoom {
    fn spare_slots(&self) -> f64 {
        FILLED_SHARE * sane(self.slots) - sane(self.slot_demand)
    }

    /// Whether not all of its room is needed by its own callers.
    fn has_room_for(&self, route: &RouteDemand) -> bool {
        let has_link = !route.is_large() || sane(self.link_demand) < sane(self.link);
        sane(self.slot_demand) < sane(self.slots) && has_link
    }

    fn spare_link(&self) -> f64 {
        FILLED_SHARE * sane(self.link) - sane(self.link_demand)
    }
}

/// A number that another daemon states: zero if it is negative or not a number.
fn sane(stated: f64) -> f64 {
    if stated.is_finite() {
        stated.max(0.0)
    } else {
        0.0
    }
}

/// Room of each service of one zone.
pub type ZoneRoom = BTreeMap<ServiceName, ServiceRoom>;

/// Shares of the calls of each route that go to other zones; the rest stays.
pub type RouteShares = BTreeMap<RouteName, Vec<(ZoneName, f64)>>;

/// What a zone's members are told about calls that may leave.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ZoneAdvice {
    /// The calls that leave while the zone has too little room.
    pub shares: RouteShares,
    /// Routes for whose calls no other zone has room. They stay, also if their own zone would
    /// answer too late: elsewhere they would be refused, or displace others.
    pub staying: BTreeSet<RouteName>,
}

/// Derives the advice for `own` from the rooms of all zones and the demand of `own` by route.
#[must_use]
pub fn advise(
    own: &ZoneName,
    rooms: &BTreeMap<ZoneName, ZoneRoom>,
    demand: &[RouteDemand],
) -> ZoneAdvice {
    let has_room = |route: &&RouteDemand| {
        let others = rooms.iter().filter(|(zone, _)| *zone != own);
        let mut others = others.filter_map(|(_, room)| room.get(&route.service));
        others.any(|it| it.has_room_for(route))
    };
    let staying = demand.iter().filter(|it| !has_room(it));
    ZoneAdvice {
        shares: route_shares(own, rooms, demand),
        staying: staying.map(|it| it.route.clone()).collect(),
    }
}

/// Computes the shares of the calls of `own` that leave it, from the rooms of all zones and the
/// demand of `own` by route. A zone whose room is not known takes nothing.
#[must_use]
pub fn route_shares(
    own: &ZoneName,
    rooms: &BTreeMap<ZoneName, ZoneRoom>,
    demand: &[RouteDemand],
) -> RouteShares {
    let mut by_service: BTreeMap<&ServiceName, Vec<&RouteDemand>> = BTreeMap::new();
    for route in demand {
        by_service.entry(&route.service).or_default().push(route);
    }
    let mut shares = RouteShares::new();
    for (service, routes) in by_service {
        let rooms: Vec<_> = rooms
            .iter()
            .map(|(zone, room)| (zone, room.get(service).copied().unwrap_or_default()))
            .collect();
        let Some(index) = rooms.iter().position(|(zone, _)| *zone == own) else {
            continue;
        };
        let transfers = Transfers::compute(&rooms.iter().map(|(_, it)| *it).collect::<Vec<_>>());
        let zones: Vec<&ZoneName> = rooms.iter().map(|(zone, _)| *zone).collect();
        for route in routes.iter().filter(|it| it.is_large()) {
            insert_share(&mut shares, route, &zones, &transfers.large_shares[index]);
        }
        share_slots(&mut shares, routes, &zones, &transfers.slots[index]);
    }
    shares
}

/// Lets calls with small answers leave until they free `slots`, those first that free most slot
/// time for each byte sent.
fn share_slots(
    shares: &mut RouteShares,
    mut routes: Vec<&RouteDemand>,
    zones: &[&ZoneName],
    slots: &[f64],
) {
    let total: f64 = slots.iter().sum();
    if total <= 0.0 {
        return;
    }
    routes.retain(|it| !it.is_large() && it.slots() > 0.0);
    routes.sort_by(|a, b| b.freed_by_byte().total_cmp(&a.freed_by_byte()));
    let mut left = total;
    for route in routes {
        let share = (left / route.slots()).min(1.0);
        left -= share * route.slots();
        let by_zone: Vec<f64> = slots.iter().map(|it| share * it / total).collect();
        insert_share(shares, route, zones, &by_zone);
    }
}

fn insert_share(
    shares: &mut RouteShares,
    route: &RouteDemand,
    zones: &[&ZoneName],
    by_zone: &[f64],
) {
    if by_zone.iter().sum::<f64>() <= 0.0 {
        return;
    }
    let zones = zones.iter().map(|it| (*it).clone());
    let by_zone = zones.zip(by_zone.iter().copied());
    shares.insert(
        route.route.clone(),
        by_zone.filter(|(_, share)| *share > 0.0).collect(),
    );
}

/// The zone for a call whose route has these shares, by `draw`, a random number from 0 to 1;
/// `None` if the call stays.
#[must_use]
pub fn zone_for(shares: &[(ZoneName, f64)], mut draw: f64) -> Option<&ZoneName> {
    for (zone, share) in shares {
        if draw < *share {
            return Some(zone);
        }
        draw -= share;
    }
    None
}
