//! Rooms of zones: reports what this daemon's callers need and what its target can run, and learns
//! which calls leave the zone. The decisions are made by [`RoomBoard`].
//!
//! One member of each zone, chosen by a hash over the members, is the maker. While two daemons
//! disagree about it, both add up the reports that reach them, and each member applies the shares
//! of the one that it asked. Everything expires within seconds, and what is not known counts as a
//! zone without room.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use stoatstep_calls::{
    DemandMeter, LoadReport, RoomBoard, RouteShares, TargetRoom, Time, Uplink, ZoneAdvice,
    ZoneRoom, zone_for,
};
use stoatstep_distribution::{rendezvous_choice, seed_of};
use stoatstep_membership::{Entry, MemberKey};
use stoatstep_resource::{RouteName, ServiceName, ZoneName};
use stoatstep_telemetry::fields;

use crate::node::Node;
use crate::wire::{Ask, Reply};

/// Interval of the reports to the maker, and of the exchange between makers.
const INTERVAL: Duration = Duration::from_secs(1);

/// Timeout of a message: several round trips between zones.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

/// Age at which the advice expires. Its maker is gone then, and calls are placed one by one.
const MAX_AGE: Duration = Duration::from_secs(3);

/// What this daemon knows about the rooms of zones.
#[derive(Default)]
pub(crate) struct Zones {
    demand: RefCell<DemandMeter>,
    board: RefCell<RoomBoard<MemberKey>>,
    advice: RefCell<ZoneAdvice>,
    advised_at: Cell<Time>,
    sequence: Cell<u64>,
    next_report: Cell<Time>,
}

/// Whether the configuration calls for it: if there are several zones, and calls that are served
/// after their objective, so that a zone that is short of room stays short.
fn is_called_for(node: &Node) -> bool {
    let in_force = node.fleet.in_force();
    node.cfg.zones > 1 && in_force.is_some_and(|it| it.any_serves_late)
}

/// Counts a call of this daemon's callers.
pub(crate) fn record_call(node: &Node, route: &RouteName, service: &ServiceName) {
    let now = node.clock.now();
    node.zones.demand.borrow_mut().record(route, service, now);
}

/// Where a call may go besides its own zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Leave {
    /// To any zone, if it is answered too late in its own.
    Freely,
    /// To this zone, which has room for it.
    To(ZoneName),
    /// Nowhere: no other zone has room for it.
    No,
}

/// Whether a call of this route leaves its zone; `draw` is a random number from 0 to 1.
pub(crate) fn leave(node: &Node, route: &RouteName, draw: f64) -> Leave {
    let age = node.clock.now().saturating_sub(node.zones.advised_at.get());
    if age >= MAX_AGE {
        return Leave::Freely;
    }
    let advice = node.zones.advice.borrow();
    let shares = advice.shares.get(route);
    if let Some(zone) = shares.and_then(|it| zone_for(it, draw)) {
        return Leave::To(zone.clone());
    }
    if advice.staying.contains(route) {
        Leave::No
    } else {
        Leave::Freely
    }
}

/// Reports and exchanges, once in each interval.
pub(crate) fn tick(node: &Rc<Node>) {
    let now = node.clock.now();
    if now < node.zones.next_report.get() || !is_called_for(node) {
        return;
    }
    node.zones.next_report.set(now + INTERVAL);
    let report = own_report(node);
    let me = node.fleet.membership().me();
    match maker_of(node, &node.cfg.zone) {
        Some((maker, _)) if maker == me => {
            let advice = handle_report(node, me, report);
            apply_advice(node, advice);
            exchange(node);
        }
        Some((_, addr)) => {
            ntex::rt::spawn(send_report(Rc::clone(node), addr, Ask::Load(me, report)));
        }
        None => {}
    }
}

fn own_report(node: &Node) -> LoadReport {
    let now = node.clock.now();
    let sequence = node.zones.sequence.get() + 1;
    node.zones.sequence.set(sequence);
    let mut demand = node.zones.demand.borrow_mut();
    let demand = demand.read(|route| node.entry.answer_stats(route), now);
    LoadReport {
        sequence,
        target: own_target(node),
        demand,
    }
}

fn own_target(node: &Node) -> Option<TargetRoom> {
    let now = node.clock.now();
    let service = node.executor.service(now)?;
    node.executor.accepts_calls(now).then(|| TargetRoom {
        service,
        slots: node.executor.occupancy(now).slots,
        link_bytes_per_s: node.uplink.read(Uplink::bytes_per_s),
    })
}

async fn send_report(node: Rc<Node>, addr: SocketAddr, ask: Ask) {
    let reply = node.links.ask_within(addr, ask, ANSWER_TIMEOUT).await;
    if let Ok(Reply::Advice(advice)) = reply {
        apply_advice(&node, advice);
    }
}

fn apply_advice(node: &Node, advice: ZoneAdvice) {
    let now = node.clock.now();
    let before = node.zones.advice.replace(advice).shares;
    node.zones.advised_at.set(now);
    let shares = &node.zones.advice.borrow().shares;
    let total = |shares: &RouteShares, route: &RouteName| -> f64 {
        let of_route = shares.get(route).into_iter().flatten();
        of_route.map(|(_, share)| share).sum()
    };
    let routes: BTreeSet<&RouteName> = before.keys().chain(shares.keys()).collect();
    for route in routes {
        let (was, is) = (total(&before, route), total(shares, route));
        if (was > 0.0) == (is > 0.0) {
            continue;
        }
        if let Some(left_out) = node.journal.admits("share", now) {
            slog::info!(node.log, "share of calls that leave the zone";
                fields::ROUTE => %route, fields::SHARE => is, fields::LEFT_OUT => left_out);
        }
    }
}

/// Records the report of a member of this zone, and returns what the member is told.
pub(crate) fn handle_report(node: &Node, member: MemberKey, report: LoadReport) -> ZoneAdvice {
    let now = node.clock.now();
    let mut board = node.zones.board.borrow_mut();
    board.report(member, report, now);
    board.expire(now);
    board.advice(&node.cfg.zone)
}

/// Sends the room of this zone to the makers of the others, whose answers state theirs.
fn exchange(node: &Rc<Node>) {
    let room = node.zones.board.borrow().own_room();
    update_gauges(node, &room);
    for (zone, addr) in makers_of_other_zones(node) {
        let ask = Ask::ZoneRoom(node.cfg.zone.clone(), room.clone());
        let node = Rc::clone(node);
        ntex::rt::spawn(async move {
            let reply = node.links.ask_within(addr, ask, ANSWER_TIMEOUT).await;
            if let Ok(Reply::ZoneRoom(room)) = reply {
                record_zone(&node, zone, room);
            }
        });
    }
}

/// Records the room of another zone, and returns the one of this zone.
pub(crate) fn handle_zone_room(node: &Node, zone: ZoneName, room: ZoneRoom) -> ZoneRoom {
    record_zone(node, zone, room);
    node.zones.board.borrow().own_room()
}

fn record_zone(node: &Node, zone: ZoneName, room: ZoneRoom) {
    let slots = announced_slots(node, &zone);
    let slots_of = |service: &ServiceName| slots.get(service).copied().unwrap_or_default();
    let mut board = node.zones.board.borrow_mut();
    board.record_zone(zone, room, slots_of, node.clock.now());
}

/// Slots of the targets that the members of a zone have announced.
fn announced_slots(node: &Node, zone: &ZoneName) -> BTreeMap<ServiceName, f64> {
    let membership = node.fleet.membership();
    let mut slots = BTreeMap::new();
    for (_, entry) in membership.table().in_zone(zone) {
        if let Some(announced) = &entry.member.announced {
            *slots.entry(announced.service.clone()).or_default() += f64::from(announced.slots);
        }
    }
    slots
}

/// The maker of a zone and its address.
fn maker_of(node: &Node, zone: &ZoneName) -> Option<(MemberKey, SocketAddr)> {
    let membership = node.fleet.membership();
    let table = membership.table();
    let members = table.in_zone(zone).filter(|(_, it)| can_be_maker(it));
    let maker = rendezvous_choice(seed_of(zone), members.map(|(key, _)| key))?;
    Some((maker, table.get(maker)?.member.peer))
}

fn can_be_maker(entry: &Entry) -> bool {
    entry.member.takes_calls()
}

fn makers_of_other_zones(node: &Node) -> Vec<(ZoneName, SocketAddr)> {
    let zones: BTreeSet<ZoneName> = {
        let membership = node.fleet.membership();
        let members = membership.table().present();
        members.map(|(_, it)| it.member.zone.clone()).collect()
    };
    let others = zones.into_iter().filter(|it| *it != node.cfg.zone);
    let makers = others.filter_map(|zone| {
        let (_, addr) = maker_of(node, &zone)?;
        Some((zone, addr))
    });
    makers.collect()
}

/// Shows the room of the zone at its maker.
fn update_gauges(node: &Node, room: &ZoneRoom) {
    for (service, room) in room {
        let values = [
            ("slots", room.slots),
            ("slot-demand", room.slot_demand),
            ("link", room.link),
            ("link-demand", room.link_demand),
        ];
        for (what, value) in values {
            node.journal.gauge_zone_room(service, what, value);
        }
    }
}
