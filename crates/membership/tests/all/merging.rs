//! Tables converge regardless of the order in which updates arrive.

use stoatstep_membership::{Action, Config, Input, MemberState, Membership, Row};

use crate::fleet::{key, member};

fn rows() -> Vec<Row> {
    let states = [
        (5, MemberState::Alive),
        (5, MemberState::Suspect),
        (6, MemberState::Alive),
        (6, MemberState::Leaving),
        (5, MemberState::Dead),
    ];
    let row = |(incarnation, state)| {
        let mut it = member(0, 1, 5);
        it.incarnation = incarnation;
        it.state = state;
        Row::from(&it)
    };
    states.map(row).to_vec()
}

#[test]
fn any_order_of_words_ends_in_the_same_table() {
    // Two daemons receive a suspicion, its refutation and a departure in different
    // orders. If order mattered, one would send calls to a target that the other
    // knows to be leaving, and their digests would differ for ever. Every rotation
    // of the rows, applied twice, must lead to the same table.
    let mut digests = Vec::new();
    for shift in 0..5 {
        let mut rows = rows();
        rows.rotate_left(shift);
        let mut node = Membership::new(member(0, 0, 5), Config::default(), 1);
        let alive = vec![Row::from(&member(0, 1, 5))];
        node.handle(
            std::time::Duration::ZERO,
            Input::TablePulled { rows: alive },
        );
        for _ in 0..2 {
            let rows = rows.clone();
            node.handle(std::time::Duration::ZERO, Input::TablePulled { rows });
        }
        let state = node.table().get(key(0, 1)).map(|it| it.member.state);
        assert_eq!(state, Some(MemberState::Leaving));
        digests.push(node.table().digest());
    }
    digests.dedup();
    assert_eq!(digests.len(), 1);
}

/// A daemon shuts down gracefully and restarts. A peer reads the new process's row from
/// the platform before any message of that process. This must be reported as a change at
/// once, since the routing of calls depends on it: the new process's own messages bring
/// nothing newer, so no later change would be reported.
#[test]
fn a_member_that_a_platform_row_brings_back_is_a_change() {
    let mut node = Membership::new(member(0, 0, 5), Config::default(), 1);
    let mut left = member(0, 1, 5);
    left.state = MemberState::Leaving;
    for row in [member(0, 1, 5), left] {
        let rows = vec![Row::from(&row)];
        node.handle(std::time::Duration::ZERO, Input::TablePulled { rows });
    }
    let rows = vec![Row::from(&member(0, 1, 9))];
    let actions = node.handle(std::time::Duration::ZERO, Input::AnnouncementsRead { rows });
    let state = node.table().get(key(0, 1)).map(|it| it.member.state);
    assert_eq!(state, Some(MemberState::Alive));
    assert!(actions.contains(&Action::Changed(key(0, 1))), "{actions:?}");
}

#[test]
fn a_restarted_process_replaces_its_addresses() {
    let mut node = Membership::new(member(0, 0, 5), Config::default(), 1);
    let mut moved = member(0, 1, 9);
    moved.peer = ([127, 0, 0, 9], 9).into();
    for process in [member(0, 1, 5), moved.clone(), member(0, 1, 5)] {
        let rows = vec![Row::from(&process)];
        node.handle(std::time::Duration::ZERO, Input::TablePulled { rows });
    }
    let held = &node.table().get(key(0, 1)).expect("held").member;
    assert_eq!(held.peer, moved.peer);
}

#[test]
fn a_process_that_just_started_is_not_superseded_by_its_own_old_row() {
    // An instance restarts after its wall clock was set back, and reads its own old row
    // from the platform. If it took that for a newer process, it would stop, and so
    // would every process started after it.
    let mut node = Membership::new(member(0, 0, 900), Config::default(), 1);
    let rows = vec![Row::from(&member(0, 0, 1000))];
    let actions = node.handle(std::time::Duration::ZERO, Input::AnnouncementsRead { rows });
    let stops = |it: &Action| matches!(it, Action::Superseded { .. });
    assert!(!actions.iter().any(stops));
    assert!(node.own_entry().member.birth > 1000);
}

#[test]
fn a_dead_update_about_an_unknown_member_is_ignored() {
    // Tables forget dead members at different times. If a death of an unknown member
    // were merged, each table would take it back from those that have not forgotten it
    // yet, and it would circulate for ever.
    let mut node = Membership::new(member(0, 0, 5), Config::default(), 1);
    let mut dead = member(0, 1, 5);
    dead.state = MemberState::Dead;
    let rows = vec![Row::from(&dead)];
    node.handle(std::time::Duration::ZERO, Input::TablePulled { rows });
    assert!(node.table().get(key(0, 1)).is_none());
}
