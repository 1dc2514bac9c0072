//! Load and failure tests of the shares of calls that leave a zone.

use std::collections::BTreeMap;
use std::time::Duration;

use proptest::prelude::*;
use stoatstep_calls::{
    DemandMeter, LoadReport, RoomBoard, RouteDemand, RouteShares, ServiceRoom, TargetRoom,
    ZoneRoom, advise, route_shares, zone_for,
};
use stoatstep_resource::{RouteName, ServiceName, ZoneName};

/// Share of a zone's room that its own calls and those of others may fill.
const FILLED: f64 = 0.85;

/// Usable rate of a link of 12 Mbit/s.
const LINK: f64 = 1_350_000.0;

const DOWNLOAD_BYTES: f64 = 90_000.0;

fn service() -> ServiceName {
    "stems".into()
}

fn demand(route: &str, calls_per_s: f64, run_s: f64, answer_bytes: f64) -> RouteDemand {
    RouteDemand {
        route: route.into(),
        service: service(),
        calls_per_s,
        run_s,
        answer_bytes,
    }
}

/// The room of a zone with these targets, whose callers need this.
fn room(targets: f64, demand: &[RouteDemand]) -> ServiceRoom {
    let mut room = ServiceRoom {
        slots: 9.0 * targets,
        link: LINK * targets,
        ..ServiceRoom::default()
    };
    for route in demand {
        let slots = route.calls_per_s * route.run_s;
        room.slot_demand += slots;
        if route.answer_bytes > 16_384.0 {
            room.large_slot_demand += slots;
            room.link_demand += route.calls_per_s * route.answer_bytes;
        }
    }
    room
}

fn rooms(zones: &[(&str, ServiceRoom)]) -> BTreeMap<ZoneName, ZoneRoom> {
    let room = |room: &ServiceRoom| ZoneRoom::from([(service(), *room)]);
    let zones = zones.iter();
    zones
        .map(|(zone, it)| (ZoneName::new(zone), room(it)))
        .collect()
}

fn share(shares: &RouteShares, route: &str) -> f64 {
    let of_route = shares.get(&RouteName::new(route)).into_iter().flatten();
    of_route.map(|(_, share)| share).sum()
}

#[test]
fn nothing_leaves_while_the_own_zone_has_room() {
    let calls = [demand("download", 10.0, 0.1, DOWNLOAD_BYTES)];
    let zones = rooms(&[("a", room(1.0, &calls)), ("b", room(3.0, &[]))]);
    assert_eq!(
        route_shares(&"a".into(), &zones, &calls),
        RouteShares::new()
    );
}

/// Load: downloads of 90 KB over links of 12 Mbit/s, a third of them in a zone with one target of
/// six. The zones together have room for them, and one zone has half of what it needs.
#[test]
fn a_zone_with_a_third_of_its_room_sends_the_rest_to_where_there_is_room() {
    let calls = [demand("download", 22.0, 0.1, DOWNLOAD_BYTES)];
    let zones = rooms(&[
        ("a", room(2.0, &calls)),
        ("b", room(3.0, &calls)),
        ("c", room(1.0, &calls)),
    ]);
    let shares = route_shares(&"c".into(), &zones, &calls);
    let stays = (1.0 - share(&shares, "download")) * 22.0 * DOWNLOAD_BYTES;
    assert!((stays - FILLED * LINK).abs() < 1.0, "{shares:?}");
    for zone in ["a", "b"] {
        let shares = route_shares(&zone.into(), &zones, &calls);
        assert_eq!(shares, RouteShares::new(), "{zone}");
    }
}

/// Load: a zone whose slots are short. A lookup frees forty times the slot time of a page for each
/// byte that is sent between zones.
#[test]
fn what_frees_most_slot_time_for_each_byte_leaves_first() {
    let calls = [
        demand("lookup", 20.0, 0.2, 500.0),
        demand("page", 20.0, 0.2, 15_000.0),
    ];
    let zones = rooms(&[("a", room(0.7, &calls)), ("b", room(2.0, &[]))]);
    let shares = route_shares(&"a".into(), &zones, &calls);
    assert!(share(&shares, "lookup") > 0.5, "{shares:?}");
    assert!(!shares.contains_key(&RouteName::new("page")), "{shares:?}");
}

/// Load: all zones are short at the same time. Calls that leave would only displace others.
#[test]
fn nothing_leaves_while_all_zones_are_short() {
    let calls = [demand("download", 60.0, 0.1, DOWNLOAD_BYTES)];
    let zones = rooms(&[("a", room(2.0, &calls)), ("b", room(1.0, &calls))]);
    assert_eq!(
        route_shares(&"a".into(), &zones, &calls),
        RouteShares::new()
    );
}

/// Load: all zones are short at the same time, or one of them is not. Calls that would be refused
/// elsewhere stay.
#[test]
fn calls_stay_while_no_other_zone_has_room() {
    let calls = [demand("read", 200.0, 0.1, 500.0)];
    let mut zones = rooms(&[("a", room(1.0, &calls)), ("b", room(2.0, &calls))]);
    let staying = |zones: &BTreeMap<_, _>| advise(&"a".into(), zones, &calls).staying;
    assert!(staying(&zones).contains(&RouteName::new("read")));
    zones.extend(rooms(&[("c", room(3.0, &calls))]));
    assert!(staying(&zones).is_empty());
}

#[test]
fn calls_are_divided_by_the_shares() {
    let shares = [(ZoneName::new("b"), 0.25), (ZoneName::new("c"), 0.25)];
    let zones = [0.1, 0.3, 0.6].map(|draw| zone_for(&shares, draw).map(ZoneName::as_str));
    assert_eq!(zones, [Some("b"), Some("c"), None]);
}

fn report(sequence: u64, slots: u32, calls_per_s: f64) -> LoadReport {
    LoadReport {
        sequence,
        target: Some(TargetRoom {
            service: service(),
            slots,
            link_bytes_per_s: 0,
        }),
        demand: vec![demand("read", calls_per_s, 0.1, 500.0)],
    }
}

fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Guards against counting a member twice whose reports come twice or out of order.
#[test]
fn reports_that_come_twice_or_late_change_nothing() {
    let mut board = RoomBoard::default();
    board.report("m1", report(2, 9, 50.0), at(1));
    board.report("m1", report(2, 9, 50.0), at(1));
    board.report("m1", report(1, 4, 10.0), at(1));
    let room = board.own_room()[&service()];
    assert_eq!((room.slots, room.slot_demand), (9.0, 5.0));
}

/// Guards against calls that follow a zone whose maker died, froze or is cut off.
#[test]
fn a_zone_that_tells_nothing_any_more_has_no_room() {
    let mut board = RoomBoard::default();
    board.record_zone(
        "b".into(),
        rooms(&[("b", room(3.0, &[]))])[&ZoneName::new("b")].clone(),
        |_| 27.0,
        at(1),
    );
    board.report("m1", report(1, 1, 50.0), at(1));
    assert!(share(&board.advice(&"a".into()).shares, "read") > 0.5);
    board.report("m1", report(2, 1, 50.0), at(5));
    board.expire(at(5));
    let advice = board.advice(&"a".into());
    assert_eq!(advice.shares, RouteShares::new());
    assert!(advice.staying.contains(&RouteName::new("read")));
}

/// Guards against a zone that claims ten times the room that it has.
#[test]
fn room_beyond_the_announced_slots_is_not_believed() {
    let claimed = rooms(&[("b", room(10.0, &[]))])[&ZoneName::new("b")].clone();
    let mut board = RoomBoard::default();
    board.record_zone("b".into(), claimed, |_| 9.0, at(1));
    board.report("m1", report(1, 9, 1_000.0), at(1));
    let sent = share(&board.advice(&"a".into()).shares, "read") * 100.0;
    assert!(sent <= FILLED * 9.0 + 1e-6, "{sent} slots");
}

#[test]
fn demand_fades_with_its_calls() {
    let mut meter = DemandMeter::default();
    for call in 0..300 {
        meter.record(&"read".into(), &service(), Duration::from_millis(10 * call));
    }
    let mut stats = stoatstep_calls::AnswerStats::default();
    stats.record(500, Duration::from_millis(100));
    let now = meter.read(|_| Some(stats), at(3));
    assert!((80.0..120.0).contains(&now[0].calls_per_s), "{now:?}");
    assert_eq!(meter.read(|_| Some(stats), at(30)), []);
}

fn any_zone() -> impl Strategy<Value = (f64, f64, f64)> {
    (0.0..6.0_f64, 0.0..200.0_f64, 0.0..600.0_f64)
}

proptest! {
    /// Together, the zones send no zone more than it has left over, and no share exceeds one.
    #[test]
    fn no_zone_gets_more_than_it_has_left_over(zones in proptest::collection::vec(any_zone(), 2..6)) {
        let calls: Vec<Vec<RouteDemand>> = zones
            .iter()
            .map(|(_, downloads, reads)| {
                vec![
                    demand("download", *downloads, 0.1, DOWNLOAD_BYTES),
                    demand("read", *reads, 0.05, 500.0),
                ]
            })
            .collect();
        let names: Vec<ZoneName> = (0..zones.len()).map(|it| format!("z{it}").into()).collect();
        let rooms: BTreeMap<ZoneName, ZoneRoom> = names
            .iter()
            .zip(zones.iter().zip(&calls))
            .map(|(name, ((targets, _, _), calls))| {
                (name.clone(), ZoneRoom::from([(service(), room(*targets, calls))]))
            })
            .collect();
        let mut received: BTreeMap<&ZoneName, (f64, f64)> = BTreeMap::new();
        let shares: Vec<RouteShares> = names
            .iter()
            .zip(&calls)
            .map(|(name, calls)| route_shares(name, &rooms, calls))
            .collect();
        for (shares, calls) in shares.iter().zip(&calls) {
            for route in calls {
                prop_assert!(share(shares, &route.route) <= 1.0 + 1e-9);
                for (zone, share) in shares.get(&route.route).into_iter().flatten() {
                    let sum = received.entry(zone).or_default();
                    sum.0 += share * route.calls_per_s * route.run_s;
                    if route.answer_bytes > 16_384.0 {
                        sum.1 += share * route.calls_per_s * route.answer_bytes;
                    }
                }
            }
        }
        for (zone, (slots, link)) in received {
            let room = rooms[zone][&service()];
            let sent_away: f64 = {
                let index = names.iter().position(|it| it == zone).expect("a zone");
                calls[index].iter().map(|it| share(&shares[index], &it.route) * it.calls_per_s * it.run_s).sum()
            };
            prop_assert!(slots <= (FILLED * room.slots - room.slot_demand).max(0.0) + sent_away + 1e-6);
            prop_assert!(link <= (FILLED * room.link - room.link_demand).max(0.0) + 1e-6);
        }
    }
}
