//! Brings a daemon that just started to its first configuration.

use std::rc::Rc;

use stoatstep_distribution::{ColdStartAction, ColdStartInput};
use stoatstep_membership::{Input, MemberKey, Row};

use super::warning::warn;
use super::{gossip, platform, poll, pull};
use crate::node::Node;

pub(super) fn tick(node: &Rc<Node>, zone: &[MemberKey]) {
    let control = &node.control;
    if control.cold_start.borrow().is_done() {
        return;
    }
    let me = control.me();
    let own_zone: Vec<_> = zone.iter().copied().filter(|key| *key != me).collect();
    let other_zones = members_of_other_zones(node);
    let standing = ColdStartInput {
        held: control.replica.borrow().version(),
        may_serve: control.may_serve(),
        own_zone: &own_zone,
        other_zones: &other_zones,
    };
    let step = control
        .cold_start
        .borrow_mut()
        .tick(control.now(), standing);
    match step {
        Some(ColdStartAction::ReadRoster { all_rows }) => {
            ntex::rt::spawn(read_roster(Rc::clone(node), all_rows));
        }
        Some(ColdStartAction::PullPeer(peer)) => {
            ntex::rt::spawn(pull_peer(Rc::clone(node), peer));
        }
        Some(ColdStartAction::PullPlatform) => {
            ntex::rt::spawn(pull_platform(Rc::clone(node)));
        }
        None => {}
    }
}

fn members_of_other_zones(node: &Rc<Node>) -> Vec<MemberKey> {
    let membership = node.control.membership.borrow();
    let others = membership.table().present();
    let others = others.filter(|(_, entry)| entry.member.zone != node.cfg.zone);
    others.map(|(key, _)| key).collect()
}

async fn read_roster(node: Rc<Node>, all_rows: bool) {
    let roster = platform::read_roster(&node, all_rows).await;
    match roster {
        Ok(roster) => {
            let head = roster.head.version;
            let others = apply_roster(&node, roster);
            let now = node.control.now();
            let mut cold_start = node.control.cold_start.borrow_mut();
            cold_start.roster_read(now, head, others);
        }
        Err(err) => {
            warn(&node, "roster not read", &err);
            node.control.serving.borrow_mut().platform_failed();
            let now = node.control.now();
            node.control.cold_start.borrow_mut().roster_failed(now);
        }
    }
}

/// Applies a roster that was read from the platform and returns how many other
/// instances it lists.
pub(super) fn apply_roster(node: &Rc<Node>, roster: platform::Roster) -> usize {
    raise_floor_to_own_row(node, &roster);
    let rows: Vec<_> = roster.announcements.into_iter().map(|it| it.row).collect();
    let is_other = |row: &&Row| row.instance != node.cfg.instance;
    let others = rows.iter().filter(is_other).count();
    gossip::handle_input(node, Input::AnnouncementsRead { rows });
    poll::record_head(node, &roster.head);
    others
}

/// Raises the floor, the lowest version to serve with, to the version in this
/// instance's own row, which its previous process wrote.
fn raise_floor_to_own_row(node: &Rc<Node>, roster: &platform::Roster) {
    let own = |it: &&stoatstep_membership::Announcement| it.row.instance == node.cfg.instance;
    if let Some(row) = roster.announcements.iter().find(own) {
        node.control.serving.borrow_mut().raise_floor(row.version);
    }
}

async fn pull_peer(node: Rc<Node>, peer: MemberKey) {
    pull::from_peer(&node, peer, false).await;
    record_pull(&node);
}

async fn pull_platform(node: Rc<Node>) {
    pull::from_platform(&node, false).await;
    record_pull(&node);
}

fn record_pull(node: &Rc<Node>) {
    let held = node.control.replica.borrow().version();
    let now = node.control.now();
    node.control.cold_start.borrow_mut().pulled(now, held);
}
