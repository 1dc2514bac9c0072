//! From nothing to the first configuration.

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
    let near: Vec<_> = zone.iter().copied().filter(|key| *key != me).collect();
    let far = members_elsewhere(node);
    let standing = ColdStartInput {
        held: control.replica.borrow().version(),
        may_serve: control.may_serve(),
        own_zone: &near,
        other_zones: &far,
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

fn members_elsewhere(node: &Rc<Node>) -> Vec<MemberKey> {
    let membership = node.control.membership.borrow();
    let others = membership.table().present();
    let others = others.filter(|(_, entry)| entry.member.zone != node.cfg.zone);
    others.map(|(key, _)| key).collect()
}

async fn read_roster(node: Rc<Node>, wide: bool) {
    let roster = platform::read_roster(&node, wide).await;
    match roster {
        Ok(roster) => {
            let head = roster.head.version;
            let others = take_in(&node, roster);
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

/// Takes in what the platform knows; returns how many others it named.
pub(super) fn take_in(node: &Rc<Node>, roster: platform::Roster) -> usize {
    learn_own_floor(node, &roster);
    let rows: Vec<_> = roster.announcements.into_iter().map(|it| it.row).collect();
    let is_other = |row: &&Row| row.instance != node.cfg.instance;
    let others = rows.iter().filter(is_other).count();
    gossip::input(node, Input::AnnouncementsRead { rows });
    poll::learn(node, &roster.head);
    others
}

/// The row that this instance's last life wrote says by which version it served.
fn learn_own_floor(node: &Rc<Node>, roster: &platform::Roster) {
    let own = |it: &&stoatstep_membership::Announcement| it.row.instance == node.cfg.instance;
    if let Some(row) = roster.announcements.iter().find(own) {
        node.control.serving.borrow_mut().raise_floor(row.version);
    }
}

async fn pull_peer(node: Rc<Node>, peer: MemberKey) {
    pull::from_peer(&node, peer, false).await;
    pulled(&node);
}

async fn pull_platform(node: Rc<Node>) {
    pull::from_platform(&node, false).await;
    pulled(&node);
}

fn pulled(node: &Rc<Node>) {
    let held = node.control.replica.borrow().version();
    let now = node.control.now();
    node.control.cold_start.borrow_mut().pulled(now, held);
}
