//! Pushes new versions to the fleet along a tree for each zone.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use rand::seq::IteratorRandom;
use stoatstep_distribution::{ConfigId, OfferOutcome, PushRequest, ZoneMembers};
use stoatstep_membership::MemberKey;
use stoatstep_resource::Delta;
use stoatstep_resource::wire::DeltaWire;

use super::client::{Message, send};
use super::peer::PUSH;
use super::traffic::Class;
use crate::node::Node;

/// Timeout of a push.
const PUSH_TIMEOUT: Duration = Duration::from_secs(1);

/// A member to push to, and the number of silent members above it in the tree that
/// were bypassed.
#[derive(Clone, Copy, Debug)]
struct Branch {
    target: MemberKey,
    bypassed: u32,
}

/// Applies a version that the platform accepted from this daemon, and pushes it to
/// the whole fleet.
pub(super) fn push_accepted(node: &Rc<Node>, delta: &Arc<Delta>) {
    offer(node, delta);
    let zone_members = node.control.zone_members();
    originate(node, delta, &zone_members);
}

/// Pushes versions that this daemon was the first of its zone to read from the platform
/// to the rest of the zone. This is needed if the daemon that wrote them failed before it
/// pushed them.
pub(super) fn push_found(node: &Rc<Node>, deltas: &[Arc<Delta>]) {
    let mut zone_members = node.control.zone_members();
    zone_members.retain(|zone, _| *zone == node.cfg.zone);
    for delta in deltas {
        originate(node, delta, &zone_members);
    }
}

fn originate(node: &Rc<Node>, delta: &Arc<Delta>, zone_members: &ZoneMembers) {
    let me = node.control.me();
    let mut spread = node.control.spread.borrow_mut();
    let targets = spread.originate(delta.version, zone_members, me);
    drop(spread);
    spawn_pushes(node, delta, me, targets);
}

/// Applies a version that another daemon pushed, and forwards it.
pub(super) async fn answer(node: &Rc<Node>, message: PushRequest) -> bool {
    let origin = message.origin;
    let delta = Arc::new(Delta::from(message.delta));
    let mut due = offer(node, &delta);
    let is_held = delta.version <= node.control.replica.borrow().version();
    if due.is_empty() && is_held {
        due.push(delta);
    }
    let zone_members = node.control.zone_members();
    let me = node.control.me();
    for delta in due {
        let mut spread = node.control.spread.borrow_mut();
        let targets = spread.forward(delta.version, &zone_members, me, origin);
        drop(spread);
        spawn_pushes(node, &delta, origin, targets);
    }
    true
}

fn offer(node: &Rc<Node>, delta: &Arc<Delta>) -> Vec<Arc<Delta>> {
    let version = delta.version;
    let delta = Arc::clone(delta);
    let outcome = node
        .control
        .offer(|replica, now| replica.offer_delta(now, delta));
    match outcome {
        OfferOutcome::Applied(applied) => applied,
        OfferOutcome::Refused(row) => {
            slog::error!(node.log, "refused a version";
                "version" => row.version, "reason" => %row.reason);
            Vec::new()
        }
        OfferOutcome::Waiting { .. } => {
            schedule_pull(node, version);
            Vec::new()
        }
        OfferOutcome::AlreadyHeld | OfferOutcome::Replaced(_) => Vec::new(),
    }
}

/// Schedules a pull from a peer of the zone, since a version arrived before one that
/// precedes it. In most cases the missing one arrives a moment later; if it was lost,
/// some peer of the zone has it.
fn schedule_pull(node: &Rc<Node>, version: u64) {
    let control = &node.control;
    let me = control.me();
    let membership = control.membership.borrow();
    let zone = membership.table().in_zone(&node.cfg.zone);
    let peers = zone.filter(|(key, entry)| *key != me && !entry.unreached);
    let Some((peer, _)) = peers.choose(&mut rand::rng()) else {
        return;
    };
    let theirs = ConfigId { version, digest: 0 };
    let mine = control.replica.borrow().config_id();
    let mut repair = control.repair.borrow_mut();
    repair.peer_holds(control.now(), peer, theirs, mine);
}

fn spawn_pushes(node: &Rc<Node>, delta: &Arc<Delta>, origin: MemberKey, targets: Vec<MemberKey>) {
    if targets.is_empty() {
        return;
    }
    let request = PushRequest {
        origin,
        delta: DeltaWire::from(delta.as_ref()),
    };
    let message = Message::new(PUSH, Class::Configuration, &request);
    for target in targets {
        let branch = Branch {
            target,
            bypassed: 0,
        };
        let (node, message) = (Rc::clone(node), message.clone());
        ntex::rt::spawn(push(node, message, delta.version, branch));
    }
}

/// Pushes to one member, or to its children in the tree if it does not answer.
async fn push(node: Rc<Node>, message: Message, version: u64, branch: Branch) {
    let mut due = vec![branch];
    while let Some(branch) = due.pop() {
        let Some(addr) = node.control.peer_addr(branch.target) else {
            continue;
        };
        if send(&node, addr, &message, PUSH_TIMEOUT).await.is_ok() {
            continue;
        }
        node.metrics.count("control.push_failures", 1);
        if !is_reachable(&node, branch.target) {
            continue;
        }
        let zone_members = node.control.zone_members();
        let spread = node.control.spread.borrow();
        let children = spread.bypass(version, &zone_members, branch.target, branch.bypassed);
        due.extend(children.into_iter().map(|target| Branch {
            target,
            bypassed: branch.bypassed + 1,
        }));
    }
}

/// Whether the target's zone is reachable. While it isn't, bypassing the silent
/// member would cost a timeout for each member below it.
fn is_reachable(node: &Node, target: MemberKey) -> bool {
    let membership = node.control.membership.borrow();
    let entry = membership.table().get(target);
    entry.is_some_and(|it| membership.is_reachable(&it.member.zone))
}
