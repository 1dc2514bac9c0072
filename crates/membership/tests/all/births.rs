//! Births are numbered by the time of day, which can be set back between two processes.

use std::time::Duration;

use rand::seq::{IndexedRandom, SliceRandom};
use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use stoatstep_membership::{
    Action, Config, Exchange, Input, Member, MemberState, Membership, Row, Time,
};

use crate::fleet::{Fleet, TICK, key, member};

const ZONES: usize = 4;
const PER_ZONE: usize = 3;

/// Birth of the processes that started while the clocks were ahead.
const AHEAD: u64 = 5000;

/// Birth of the processes that started after the clocks were set right.
const SET_RIGHT: u64 = 1000;

fn all() -> impl Iterator<Item = (usize, usize)> {
    (0..ZONES).flat_map(|zone| (0..PER_ZONE).map(move |n| (zone, n)))
}

/// Rows of all instances but one, as their former processes wrote them.
fn rows_of_others(zone: usize, n: usize) -> Vec<Row> {
    let others = all().filter(|it| *it != (zone, n));
    others
        .map(|(zone, n)| Row::from(&member(zone, n, AHEAD)))
        .collect()
}

/// Kills all instances but the first and starts them with an earlier time of day.
fn restart_with_earlier_clocks() -> Fleet {
    let mut fleet = Fleet::default();
    for (zone, n) in all() {
        fleet.start(member(zone, n, AHEAD), &rows_of_others(zone, n));
    }
    fleet.run(Duration::from_secs(10));
    fleet.actions.clear();
    let killed: Vec<_> = all().skip(1).collect();
    for (zone, n) in &killed {
        fleet.nodes.remove(&key(*zone, *n));
    }
    for (zone, n) in &killed {
        fleet.start(member(*zone, *n, SET_RIGHT), &rows_of_others(*zone, *n));
    }
    fleet
}

#[test]
fn daemons_that_start_after_clocks_were_set_right_serve() {
    // Guards against daemons that take their predecessors for their successors and drain.
    let mut fleet = restart_with_earlier_clocks();
    fleet.run(Duration::from_secs(15));
    let is_superseded = |it: &&(u64, Action)| matches!(it.1, Action::Superseded { .. });
    let superseded = fleet.actions.iter().filter(is_superseded).count();
    assert_eq!(superseded, 0, "of {} daemons", fleet.nodes.len());
    for (zone, n) in all() {
        assert!(
            fleet.all_see(key(zone, n), MemberState::Alive),
            "{zone}-{n}"
        );
    }
    assert!(fleet.tables_agree());
}

/// The same instance at an address of its own, as after a move.
fn moved(zone: usize, n: usize, birth: u64) -> Member {
    let mut moved = member(zone, n, birth);
    moved.peer.set_ip([127, 0, 0, 2].into());
    moved
}

fn is_superseded(actions: &[Action]) -> bool {
    let mut actions = actions.iter();
    actions.any(|it| matches!(it, Action::Superseded { .. }))
}

/// Has an old process resume after a freeze in which one with this birth was started elsewhere.
/// Returns the old process with the message that it sends to the other address.
fn resumed_beside(fleet: &mut Fleet, birth: u64) -> (Membership, Action) {
    let id = key(0, 0);
    let mut old = fleet.nodes.remove(&id).expect("runs");
    let rows: Vec<_> = (0..4).map(|n| Row::from(&member(0, n, 1000))).collect();
    fleet.start(moved(0, 0, birth), &rows);
    fleet.run(Duration::from_secs(20));
    let actions = old.handle(fleet.now, Input::Tick);
    let probe = actions.into_iter().find_map(|it| match it {
        Action::Exchange { peer, message, .. } => Some((peer, message)),
        _ => None,
    });
    let (peer, message) = probe.expect("it probes after the freeze");
    let peer_node = fleet.nodes.get_mut(&peer).expect("runs");
    let (reply, _) = peer_node.answer(fleet.now, message);
    let actions = old.handle(fleet.now, Input::Replied { peer, reply });
    assert!(
        !is_superseded(&actions),
        "before the other process answered"
    );
    let to_other = |it: &Action| matches!(it, Action::Exchange { peer, .. } if *peer == id);
    let asked = actions.into_iter().find(to_other).expect("it asks");
    (old, asked)
}

#[test]
fn a_frozen_process_learns_of_its_successor() {
    // Guards against two processes of an instance that both answer callers after a freeze.
    let mut fleet = Fleet::new(1, 4);
    fleet.run(Duration::from_secs(10));
    let (mut old, asked) = resumed_beside(&mut fleet, 2000);
    let Action::Exchange { addr, message, .. } = asked else {
        unreachable!("an exchange was found");
    };
    assert_eq!(addr, moved(0, 0, 2000).peer);
    let successor = fleet.nodes.get_mut(&key(0, 0)).expect("runs");
    let (reply, actions) = successor.answer(fleet.now, message);
    assert!(actions.is_empty(), "{actions:?}");
    let peer = key(0, 0);
    let actions = old.handle(fleet.now, Input::Replied { peer, reply });
    assert!(actions.contains(&Action::Superseded { birth: 2000 }));
}

#[test]
fn a_successor_that_has_ended_stops_nobody() {
    // Guards against a process that stops for another one that does not run any more.
    let mut fleet = Fleet::new(1, 4);
    fleet.run(Duration::from_secs(10));
    let (mut old, _) = resumed_beside(&mut fleet, 2000);
    let peer = key(0, 0);
    for _ in 0..3 {
        let actions = old.handle(fleet.now, Input::Unreached { peer });
        assert!(!is_superseded(&actions));
    }
    assert!(old.own_entry().member.birth > 2000);
}

#[test]
fn a_successor_that_leaves_stops_nobody() {
    // Guards against an instance whose two processes both drain.
    let mut fleet = Fleet::new(1, 4);
    fleet.run(Duration::from_secs(10));
    let (mut old, asked) = resumed_beside(&mut fleet, 2000);
    let Action::Exchange { message, .. } = asked else {
        unreachable!("an exchange was found");
    };
    let peer = key(0, 0);
    fleet.input(peer, Input::Leave);
    let successor = fleet.nodes.get_mut(&peer).expect("runs");
    let (reply, _) = successor.answer(fleet.now, message);
    let actions = old.handle(fleet.now, Input::Replied { peer, reply });
    assert!(!is_superseded(&actions));
    assert!(old.own_entry().member.birth > 2000);
}

#[test]
fn an_update_without_an_address_is_refuted_with_the_own_one() {
    // Guards against peers that go on using the address of a former process.
    let mut node = Membership::new(moved(0, 0, 1000), Config::default(), 1);
    let peer = key(0, 1);
    let rows = vec![Row::from(&member(0, 1, 1000))];
    node.handle(Time::ZERO, Input::TablePulled { rows });
    let mut other = Membership::new(member(0, 1, 1000), Config::default(), 1);
    let mut dead = member(0, 0, 5000);
    for state in [MemberState::Alive, MemberState::Dead] {
        dead.state = state;
        let rows = vec![Row::from(&dead)];
        other.handle(Time::ZERO, Input::TablePulled { rows });
    }
    let message = node.probe_message(Time::ZERO, peer);
    let (reply, _) = other.answer(Time::ZERO, message);
    node.handle(Time::ZERO, Input::Replied { peer, reply });
    assert!(node.own_entry().member.birth > 5000);
}

#[test]
fn a_row_that_is_not_believed_is_reported_with_both_values() {
    // Guards against overridden or broken rows of which operators see nothing.
    let mut node = Membership::new(member(0, 0, 1000), Config::default(), 1);
    let mut broken = Row::from(&member(0, 1, 2000));
    broken.incarnation = 1500;
    let former = Row::from(&member(0, 0, 5000));
    let rows = vec![former.clone(), broken, former];
    let actions = node.handle(Time::ZERO, Input::TablePulled { rows });
    let reported: Vec<_> = actions
        .iter()
        .filter_map(|it| match it {
            Action::NotBelieved(it) => Some((it.instance.as_str(), it.field, it.stated, it.known)),
            _ => None,
        })
        .collect();
    let expected = [
        ("i-0-0", "incarnation", 5000, 1000),
        ("i-0-1", "incarnation", 1500, 2000),
    ];
    assert_eq!(
        reported, expected,
        "the repeated row is of a former process"
    );
}

#[test]
fn restarts_under_any_clock_end_in_one_table() {
    // Guards against clock steps that leave a daemon drained, unknown or at a former address.
    for seed in 0..200 {
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
        let mut fleet = Fleet::new(2, 3);
        fleet.run(Duration::from_secs(5));
        for _ in 0..6 {
            restart_some(&mut fleet, &mut rng);
            fleet.run(TICK * rng.random_range(0..40));
        }
        fleet.run(Duration::from_secs(40));
        let actions: Vec<_> = fleet.actions.iter().map(|it| it.1.clone()).collect();
        assert!(!is_superseded(&actions), "seed {seed}");
        assert!(fleet.tables_agree(), "seed {seed}");
        for (id, node) in &fleet.nodes {
            let own = &node.own_entry().member;
            assert!(fleet.all_see(*id, MemberState::Alive), "seed {seed}");
            let tables = fleet.nodes.values().map(Membership::table);
            let mut held = tables.filter_map(|it| it.get(*id));
            assert!(held.all(|it| it.member.peer == own.peer), "seed {seed}");
        }
    }
}

/// Restarts some instances with any time of day and at either address. They know some of the
/// running processes, and some read a row that a former process left.
fn restart_some(fleet: &mut Fleet, rng: &mut Xoshiro256PlusPlus) {
    let ids = (0..2).flat_map(|zone| (0..3).map(move |n| (zone, n)));
    let chosen: Vec<_> = ids.filter(|_| rng.random_bool(0.5)).collect();
    for (zone, n) in &chosen {
        fleet.nodes.remove(&key(*zone, *n));
    }
    for (zone, n) in chosen {
        let start = [member, moved].choose(rng).expect("two");
        let rows = fleet.nodes.values().map(|it| it.announcement().row);
        let mut rows: Vec<_> = rows.collect();
        rows.shuffle(rng);
        rows.truncate(rng.random_range(1..4));
        let left = moved(zone, n, rng.random_range(1..3000));
        rows.extend(rng.random_bool(0.3).then(|| Row::from(&left)));
        fleet.start(start(zone, n, rng.random_range(1..3000)), &rows);
    }
}

/// Two processes of one instance at two addresses, with the messages between them.
struct Twins {
    nodes: [Membership; 2],
    has_yielded: [bool; 2],
    /// Replies on their way to a process; `None` for a lost one.
    replies: [Vec<Option<Exchange>>; 2],
}

impl Twins {
    fn new(births: [u64; 2]) -> Self {
        let node = |me| Membership::new(me, Config::default(), 1);
        Self {
            nodes: [node(member(0, 0, births[0])), node(moved(0, 0, births[1]))],
            has_yielded: [false; 2],
            replies: [Vec::new(), Vec::new()],
        }
    }

    fn input(&mut self, at: usize, input: Input, is_lost: bool) {
        for action in self.nodes[at].handle(Time::ZERO, input) {
            match action {
                Action::Exchange { message, .. } => {
                    let other = &mut self.nodes[1 - at];
                    let reply = other.answer(Time::ZERO, message).0;
                    self.replies[at].push((!is_lost).then_some(reply));
                }
                Action::Superseded { .. } => {
                    self.has_yielded[at] = true;
                    self.nodes[at].handle(Time::ZERO, Input::Leave);
                }
                _ => {}
            }
        }
    }

    fn deliver(&mut self, at: usize, is_lost: bool) {
        let peer = key(0, 0);
        match self.replies[at].pop() {
            Some(Some(reply)) => self.input(at, Input::Replied { peer, reply }, is_lost),
            Some(None) => self.input(at, Input::Unreached { peer }, is_lost),
            None => {}
        }
    }

    fn row(&self, of: usize) -> Row {
        self.nodes[of].announcement().row
    }

    fn dead_row(&self, of: usize) -> Row {
        let mut dead = self.nodes[of].own_entry().member.clone();
        dead.state = MemberState::Dead;
        Row::from(&dead)
    }
}

#[test]
fn of_two_processes_of_an_instance_one_goes_on() {
    // Guards against two processes of an instance that both yield, or that both go on.
    for seed in 0..2000 {
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
        let births = [rng.random_range(1..9), rng.random_range(1..9)];
        let mut twins = Twins::new(births);
        let mut rows = vec![twins.row(0), twins.row(1)];
        for _ in 0..40 {
            let at = rng.random_range(0..2);
            let is_lost = rng.random_bool(0.3);
            if rng.random_bool(0.5) {
                twins.deliver(at, is_lost);
            } else {
                // Rows may be late and come again in any order.
                let rows = vec![rows.choose(&mut rng).expect("two rows").clone()];
                twins.input(at, Input::TablePulled { rows }, is_lost);
            }
            rows.extend([twins.row(0), twins.row(1)]);
            // A process that could not be reached is dead to others.
            rows.extend([0, 1].map(|of| twins.dead_row(of)));
            assert_ne!(twins.has_yielded, [true, true], "seed {seed}");
        }
        for _ in 0..6 {
            for at in [0, 1] {
                let rows = vec![twins.row(1 - at)];
                twins.input(at, Input::TablePulled { rows }, false);
                twins.deliver(at, false);
            }
        }
        assert_ne!(twins.has_yielded, [true, true], "seed {seed}");
        assert_ne!(twins.has_yielded, [false, false], "seed {seed}");
    }
}
