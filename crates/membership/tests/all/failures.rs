//! Failures of daemons, networks and zones, and the safeguards against them.

use std::time::Duration;

use stoatstep_membership::{
    Action, AnnouncedTarget, Config, Input, MemberState, Membership, Row, Time,
};

use crate::fleet::{Fleet, key, member};

const SETTLE: Duration = Duration::from_secs(15);

fn settled(zones: usize, per_zone: usize) -> Fleet {
    let mut fleet = Fleet::new(zones, per_zone);
    fleet.run(SETTLE);
    assert!(
        fleet.tables_agree(),
        "tables agree after the whole fleet started"
    );
    fleet.actions.clear();
    fleet
}

#[test]
fn everyone_meets_everyone_from_the_roster() {
    let fleet = settled(4, 8);
    for node in fleet.nodes.values() {
        assert_eq!(node.table().present().count(), 32);
    }
}

#[test]
fn messages_at_rest_are_tens_of_bytes() {
    let mut fleet = settled(4, 8);
    // This is shortly after a start of the whole fleet: rows that every daemon holds
    // must not be sent on for minutes.
    fleet.run(Duration::from_secs(10));
    fleet.bytes = 0;
    fleet.run(Duration::from_mins(1));
    let per_node_second = fleet.bytes / (32 * 60);
    assert!(per_node_second < 130, "{per_node_second} bytes a second");
}

#[test]
fn updates_known_everywhere_stop_being_sent() {
    // A whole fleet starts. Daemons must not send all rows for as many rounds as an
    // epidemic may need although every table is complete: that would take the traffic
    // budget of minutes.
    let mut fleet = Fleet::new(4, 24);
    while !fleet.tables_agree() {
        fleet.run(Duration::from_secs(1));
    }
    fleet.run(Duration::from_secs(8));
    fleet.bytes = 0;
    fleet.run(Duration::from_secs(5));
    let per_node_second = fleet.bytes / (96 * 5);
    assert!(per_node_second < 300, "{per_node_second} bytes a second");
}

#[test]
fn a_dead_daemon_is_known_everywhere_and_only_it() {
    // A daemon is killed: direct and indirect probes fail and it does not refute, so its
    // zone declares it dead, and the other zones accept that. Otherwise calls would go
    // to its target for ever.
    let mut fleet = settled(3, 6);
    let dead = key(1, 2);
    fleet.nodes.remove(&dead);
    fleet.run(Duration::from_secs(20));
    assert!(fleet.all_see(dead, MemberState::Dead));
    for node in fleet.nodes.values() {
        assert_eq!(node.table().present().count(), 17);
    }
}

#[test]
fn a_departure_is_known_everywhere_within_two_seconds() {
    // A leaving target refuses calls, and each retry costs time. The departure must not
    // take ten rounds of probes to spread: fresh updates are sent outside of the probe
    // schedule for their first ticks.
    let mut fleet = settled(4, 12);
    let leaving = key(2, 3);
    fleet.input(leaving, Input::Leave);
    fleet.run(Duration::from_secs(2));
    assert!(fleet.all_see(leaving, MemberState::Leaving));
}

#[test]
fn an_unreachable_zone_declares_no_member_dead() {
    // A zone is cut off. If failed probes to other zones led to deaths, callers in the
    // zone would get no answer, and both sides would have empty tables after the cut
    // heals. Only probes within a zone may lead to a death.
    let mut fleet = settled(3, 5);
    fleet.cut_zones.insert("z1".into());
    fleet.run(Duration::from_mins(3));
    for node in fleet.nodes.values() {
        assert_eq!(node.table().present().count(), 15, "nobody is dead");
        let state = |key| node.table().get(key).map(|it| it.member.state);
        let suspected = fleet
            .nodes
            .keys()
            .filter(|it| state(**it) != Some(MemberState::Alive));
        assert_eq!(suspected.count(), 0, "nobody is suspected");
    }
    assert!(!fleet.nodes[&key(0, 0)].is_reachable("z1"));
    assert!(fleet.nodes[&key(0, 0)].is_reachable("z2"));
    fleet.cut_zones.clear();
    fleet.run(Duration::from_mins(1));
    assert!(fleet.nodes[&key(0, 0)].is_reachable("z1"));
    assert!(fleet.tables_agree());
}

#[test]
fn a_daemon_that_lost_its_network_does_not_empty_its_table() {
    // One daemon loses its network for a while, so all of its probes fail. If it declared
    // its zone dead and spread that after it reconnected, healthy targets would vanish for
    // callers. It must conclude that it is isolated itself.
    let mut fleet = settled(2, 8);
    let isolated = key(0, 0);
    fleet.cut_nodes.insert(isolated);
    fleet.run(Duration::from_mins(1));
    let present = fleet.nodes[&isolated].table().present().count();
    assert!(fleet.nodes[&isolated].is_cut_off());
    assert_eq!(present, 16, "it declared nobody dead");
    assert!(fleet.state(key(0, 1), isolated) == Some(MemberState::Dead));
    fleet.cut_nodes.clear();
    fleet.run(Duration::from_mins(2));
    assert!(fleet.all_see(isolated, MemberState::Alive), "it refuted");
    assert!(fleet.tables_agree());
}

#[test]
fn a_process_that_resumes_from_a_freeze_declares_no_member_dead() {
    // A process is frozen while it holds a peer for suspect. The peer's timer expires
    // during the freeze. If it fired on resumption, the process would spread a death that
    // the peer refuted long ago, and callers would lose a healthy target.
    let mut fleet = settled(1, 6);
    let frozen = key(0, 0);
    let suspect = key(0, 1);
    fleet.cut_nodes.insert(suspect);
    while fleet.state(frozen, suspect) != Some(MemberState::Suspect) {
        fleet.run(Duration::from_millis(250));
    }
    fleet.frozen.insert(frozen);
    fleet.cut_nodes.clear();
    fleet.run(Duration::from_secs(4));
    let before = fleet.nodes[&frozen].own_entry().member.incarnation;
    fleet.actions.clear();
    fleet.run(Duration::from_secs(20));
    fleet.frozen.clear();
    fleet.run(Duration::from_secs(20));
    let resumed = |it: &(u64, Action)| it.0 == frozen && matches!(it.1, Action::Resumed { .. });
    assert!(fleet.actions.iter().any(resumed));
    assert!(fleet.nodes[&frozen].own_entry().member.incarnation > before);
    assert!(fleet.all_see(suspect, MemberState::Alive));
    assert!(fleet.all_see(frozen, MemberState::Alive));
}

#[test]
fn a_restarted_daemon_is_found_while_the_platform_is_out() {
    // A daemon restarts at its address while the platform is down, so it can't read the
    // roster and knows no peers, and its callers wait. Peers that hold it for dead still
    // probe its address, and their messages carry the highest version that its former
    // process reported.
    let mut fleet = settled(2, 5);
    let again = key(0, 0);
    let config_id = stoatstep_membership::ConfigId {
        version: 7,
        digest: 1,
    };
    fleet.input(again, Input::ConfigChanged(config_id));
    fleet.run(Duration::from_secs(10));
    fleet.nodes.remove(&again);
    fleet.run(Duration::from_secs(20));
    assert!(fleet.all_see(again, MemberState::Dead));
    fleet.actions.clear();
    // Its wall clock went back: it must still override the state of its former process.
    fleet.start(member(0, 0, 900), &[]);
    fleet.run(Duration::from_secs(30));
    assert!(fleet.all_see(again, MemberState::Alive));
    let floor = fleet
        .actions
        .iter()
        .filter(|it| it.0 == again)
        .map(|it| match &it.1 {
            Action::PeerConfig { floor, .. } => *floor,
            _ => 0,
        });
    assert_eq!(floor.max(), Some(7));
    assert!(fleet.tables_agree());
}

#[test]
fn an_announcement_of_the_long_dead_raises_nobody() {
    // The platform keeps the row of an instance that crashed days ago, and a daemon reads
    // it. If the row were taken for a live member, calls would go to an address at which
    // nothing listens, and the row would spread through the fleet.
    let mut fleet = settled(1, 4);
    let rows = vec![Row::from(&member(5, 5, 10))];
    fleet.input(key(0, 0), Input::AnnouncementsRead { rows });
    fleet.run(Duration::from_mins(3));
    for node in fleet.nodes.values() {
        assert_eq!(node.table().present().count(), 4);
        assert!(node.table().get(key(5, 5)).is_none(), "forgotten");
    }
}

#[test]
fn the_age_of_the_head_grows_though_everyone_repeats_it() {
    // The platform is down. Daemons tell each other how long ago its head was read. If the
    // ages were rounded down, daemons would keep confirming them to each other and none
    // would start to poll the platform itself.
    let mut fleet = settled(1, 6);
    fleet.run(Duration::from_millis(500));
    fleet.input(key(0, 0), Input::HeadRead);
    fleet.run(Duration::from_mins(1));
    for node in fleet.nodes.values() {
        let age = node.head_age(fleet.now).expect("age known");
        assert!(age >= Duration::from_mins(1), "{age:?}");
    }
}

#[test]
fn what_the_dead_leave_behind_is_cleaned_up_by_their_own_zone() {
    // An instance crashes and is not started again. If nothing deleted its announcement
    // row, every daemon that starts would contact its address.
    let mut fleet = settled(2, 4);
    fleet.nodes.remove(&key(1, 1));
    fleet.run(Duration::from_mins(11));
    let forgot = |it: &&(u64, Action)| match &it.1 {
        Action::Forgotten { instance, .. } => instance == "i-1-1",
        _ => false,
    };
    let zones = fleet.actions.iter().filter(forgot);
    let zones: Vec<_> = zones
        .map(|it| fleet.nodes[&it.0].own_entry().member.zone.clone())
        .collect();
    assert_eq!(zones, ["z1"; 3]);
}

/// A target drains, and its daemon, which acknowledged that, is replaced. The new process
/// does not know of the drain; if it accepted a late heartbeat, it would send calls to a
/// target that is about to end. Its peers must inform it.
#[test]
fn a_restarted_daemon_hears_that_its_target_drains() {
    let mut old = Membership::new(member(0, 1, 1_000), Config::default(), 1);
    let mut peer = Membership::new(member(0, 2, 1_000), Config::default(), 2);
    let announced = AnnouncedTarget {
        upstream: "i-7".into(),
        service: "floatdesk".into(),
        slots: 13,
        draining: true,
        software: "v1".into(),
    };
    old.handle(Time::ZERO, Input::TargetAnnounced(Some(announced)));
    introduce(&mut old, &mut peer);
    let mut new = Membership::new(member(0, 1, 2_000), Config::default(), 3);
    let drained = introduce(&mut new, &mut peer);
    assert!(
        drained.contains(&Action::TargetDrained("i-7".into())),
        "{drained:?}"
    );
}

/// Runs one exchange from the first daemon to the second, after both have read the other's
/// platform row. Returns the first daemon's actions.
fn introduce(one: &mut Membership, other: &mut Membership) -> Vec<Action> {
    let rows = vec![one.announcement().row];
    other.handle(Time::ZERO, Input::AnnouncementsRead { rows });
    let rows = vec![other.announcement().row];
    one.handle(Time::ZERO, Input::AnnouncementsRead { rows });
    let actions = one.handle(Time::ZERO, Input::Tick);
    let message = actions.into_iter().find_map(|action| match action {
        Action::Exchange { message, .. } => Some(message),
        _ => None,
    });
    let (reply, _) = other.answer(Time::ZERO, message.expect("it contacts the other"));
    let peer = reply.from;
    one.handle(Time::ZERO, Input::Replied { peer, reply })
}

/// Returns the bytes that the fleet sends between zones in the given time.
fn idle_bytes_between_zones(fleet: &mut Fleet, time: Duration) -> usize {
    let before = fleet.cross_zone_bytes;
    fleet.run(time);
    fleet.cross_zone_bytes - before
}

#[test]
fn one_change_costs_other_zones_a_few_copies() {
    // Replacing a third of the targets makes three changes for each. If every daemon sent
    // every change to every zone, one change would cost 42 KB between zones here and
    // 460 KB in a fleet of 300. The zone in which it happens must send the others only a
    // few copies, which they spread on their own.
    let mut fleet = settled(6, 16);
    fleet.run(Duration::from_secs(20));
    let idle = idle_bytes_between_zones(&mut fleet, Duration::from_secs(5));
    let before = fleet.cross_zone_bytes;
    let leaving = key(2, 3);
    fleet.input(leaving, Input::Leave);
    fleet.run(Duration::from_secs(5));
    assert!(fleet.all_see(leaving, MemberState::Leaving));
    let spent = (fleet.cross_zone_bytes - before).saturating_sub(idle);
    assert!(spent < 20_000, "{spent} bytes");
}

#[test]
fn a_start_of_all_costs_other_zones_a_few_tables() {
    // All instances lose power at once and restart with callers waiting. If each daemon
    // pulled the tables of other zones for itself, the links between zones would carry the
    // fleet's table hundreds of times. A few relays must pull them for their whole zone.
    let mut fleet = Fleet::new(6, 16);
    fleet.run(Duration::from_secs(10));
    assert!(fleet.tables_agree(), "all tables agree");
    let tables = fleet.cross_zone_bytes / 96;
    assert!(tables < 15_000, "{tables} bytes a member");
}

#[test]
fn zones_whose_links_come_back_agree_again_without_a_change() {
    // A zone is cut off, and one of its targets leaves meanwhile. The updates to other
    // zones are lost, and nothing changes after the cut heals: callers in other zones would
    // go on calling a target that refuses. The relays of each zone compare tables across
    // zones and must spread what they find.
    let mut fleet = settled(4, 8);
    fleet.cut_zones.insert("z2".into());
    let leaving = key(2, 3);
    fleet.input(leaving, Input::Leave);
    fleet.run(Duration::from_secs(6));
    assert!(!fleet.all_see(leaving, MemberState::Leaving));
    fleet.cut_zones.clear();
    fleet.run(Duration::from_secs(15));
    assert!(fleet.all_see(leaving, MemberState::Leaving));
}

#[test]
fn a_zone_whose_relays_are_gone_for_good_learns_of_the_others() {
    // A zone loses power, half of it stays down, and the rest restarts beside a fleet in
    // which nothing changes, so it learns of the other zones only by pulling tables. It
    // reads the platform rows of all instances. If those that stay down counted as the
    // zone's relays, nobody would pull tables at first, and callers would find few targets
    // in other zones.
    let all: Vec<Row> = (0..3)
        .flat_map(|zone| (0..12).map(move |n| Row::from(&member(zone, n, 1000))))
        .collect();
    let mut zone: Vec<_> = (0..12).collect();
    zone.sort_by_key(|n| key(0, *n));
    let mut fleet = Fleet::default();
    for (zone, n) in (1..3).flat_map(|zone| (0..12).map(move |n| (zone, n))) {
        fleet.start(member(zone, n, 2000), &all);
    }
    fleet.run(Duration::from_mins(1));
    let (dark, living) = zone.split_at(6);
    for n in living {
        fleet.start(member(0, *n, 2000), &all);
    }
    fleet.run(Duration::from_millis(4750));
    assert!(dark.iter().all(|n| !fleet.nodes.contains_key(&key(0, *n))));
    for n in living {
        let known = fleet.nodes[&key(0, *n)].table().present().count();
        assert_eq!(known, 30, "i-0-{n}");
    }
}
