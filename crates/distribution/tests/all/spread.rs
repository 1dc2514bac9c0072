//! Pushes of a change down the trees.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use stoatstep_distribution::{Spread, ZoneMembers};
use stoatstep_membership::MemberKey;

use crate::support::view;

struct Outcome {
    received: BTreeMap<MemberKey, u32>,
    pushes: BTreeMap<MemberKey, usize>,
}

/// Pushes one version through the fleet; the members in `dead` do not answer.
fn push(
    view: &ZoneMembers,
    origin: MemberKey,
    version: u64,
    dead: &BTreeSet<MemberKey>,
) -> Outcome {
    let mut spreads: BTreeMap<MemberKey, Spread> = BTreeMap::new();
    let mut received: BTreeMap<MemberKey, u32> = BTreeMap::new();
    let mut pushes: BTreeMap<MemberKey, usize> = BTreeMap::new();
    let first = spreads
        .entry(origin)
        .or_default()
        .originate(version, view, origin);
    let mut queue: VecDeque<_> = first.into_iter().map(|to| (origin, to, 0)).collect();
    while let Some((from, to, bypassed)) = queue.pop_front() {
        *pushes.entry(from).or_default() += 1;
        let spread = spreads.entry(to).or_default();
        if dead.contains(&to) {
            let next = spread.bypass(version, view, to, bypassed);
            queue.extend(next.into_iter().map(|it| (from, it, bypassed + 1)));
            continue;
        }
        *received.entry(to).or_default() += 1;
        let next = spread.forward(version, view, to, origin);
        queue.extend(next.into_iter().map(|it| (to, it, 0)));
    }
    Outcome { received, pushes }
}

#[test]
fn a_change_reaches_each_daemon_once() {
    // The byte budget allows each daemon at most three times a change's own size: once in, and once
    // out on average. A tree that overlaps itself exceeds it, and one with a gap leaves a daemon to
    // be repaired a second later.
    let view = view(8, 76);
    for version in 1..20 {
        let outcome = push(&view, 3005, version, &BTreeSet::new());
        let others = 8 * 76 - 1;
        assert_eq!(outcome.received.len(), others);
        assert!(outcome.received.values().all(|times| *times == 1));
        let most = outcome.pushes.values().max().copied();
        assert!(most <= Some(20), "{most:?} pushes by one daemon");
    }
}

#[test]
fn a_failed_inner_node_does_not_delay_a_change() {
    // A daemon fails, and others have not noticed yet. Below it is a third of its zone, which would
    // route by the old version for seconds. The daemon that pushed to it pushes to its children in
    // its place.
    let view = view(4, 76);
    let mut dead = BTreeSet::new();
    for version in 1..50 {
        let tree = Spread::default().tree(version, &view["z1"]);
        dead.clear();
        dead.insert(tree.roots()[0]);
        dead.insert(tree.children(tree.roots()[1])[0]);
        let outcome = push(&view, 5, version, &dead);
        assert_eq!(outcome.received.len(), 4 * 76 - 1 - dead.len());
    }
}

#[test]
fn an_unreachable_zone_costs_a_bounded_number_of_pushes() {
    // A whole zone is unreachable. To bypass each of its 76 daemons would cost the origin as many
    // timeouts; the regular exchanges repair the zone after the partition.
    let view = view(2, 76);
    let dead = view["z1"].iter().copied().collect();
    let outcome = push(&view, 5, 1, &dead);
    assert_eq!(outcome.received.len(), 75);
    assert!(outcome.pushes[&5] <= 2 + 8 + 32 + 6, "{:?}", outcome.pushes);
}

#[test]
fn a_daemon_that_pulled_a_version_still_passes_it_on() {
    // A daemon found the version in an exchange and pulled it before the push arrives. If it did
    // not pass the push on because it holds the version, all daemons below it would wait for
    // repair.
    let view = view(1, 30);
    let mut spread = Spread::default();
    let root = spread.tree(9, &view["z0"]).roots()[0];
    assert_eq!(spread.forward(9, &view, root, 99).len(), 4);
    assert!(
        spread.forward(9, &view, root, 99).is_empty(),
        "but only once"
    );
}

#[test]
fn tree_work_moves_from_member_to_member() {
    let view = view(1, 40);
    let mut work: BTreeMap<MemberKey, usize> = BTreeMap::new();
    for version in 1..=400 {
        for (from, pushes) in push(&view, 0, version, &BTreeSet::new()).pushes {
            *work.entry(from).or_default() += pushes;
        }
    }
    work.remove(&0);
    let most = work.values().max().copied().unwrap_or(0);
    assert!(most < 2 * 400, "{most} pushes by one member in 400 changes");
}
