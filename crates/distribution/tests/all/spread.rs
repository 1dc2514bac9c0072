//! Pushes down the trees.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use stoatstep_distribution::{Spread, View};
use stoatstep_membership::MemberKey;

use crate::support::view;

struct Outcome {
    received: BTreeMap<MemberKey, u32>,
    pushes: BTreeMap<MemberKey, usize>,
}

/// Sends one version through the fleet; `dead` members answer nothing.
fn push(view: &View, origin: MemberKey, version: u64, dead: &BTreeSet<MemberKey>) -> Outcome {
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
    // The byte budget allows a change at most three times its own size at each
    // daemon: once in, once out on average. A tree that overlaps itself breaks
    // it, and one with a gap leaves a daemon to be repaired a second later.
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
fn a_dead_inner_node_keeps_nobody_from_a_change() {
    // A daemon dies and others have not noticed yet. Below it stand a third of
    // its zone, whose callers would be routed by the old version for seconds.
    // Whoever pushed to it pushes to its children in its place.
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
fn a_cut_zone_costs_a_bounded_number_of_pushes() {
    // A whole zone can't be reached. Reaching past each of its 76 daemons would
    // cost the origin as many timeouts; marks repair the zone after the cut.
    let view = view(2, 76);
    let dead = view["z1"].iter().copied().collect();
    let outcome = push(&view, 5, 1, &dead);
    assert_eq!(outcome.received.len(), 75);
    assert!(outcome.pushes[&5] <= 2 + 8 + 32 + 6, "{:?}", outcome.pushes);
}

#[test]
fn who_pulled_a_version_first_still_passes_it_on() {
    // A daemon found the version in an exchange and pulled it; then the push
    // arrives. If it kept quiet because it holds the version, everyone below it
    // would wait for repair.
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
