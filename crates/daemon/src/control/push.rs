//! Versions on their way down the tree.

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

/// Time for a push to be taken.
const BOUND: Duration = Duration::from_secs(1);

/// A push to one member, and how many silent ones it already went past.
#[derive(Clone, Copy, Debug)]
struct Branch {
    target: MemberKey,
    bypassed: u32,
}

/// Takes a version that the platform accepted from this daemon, and sends it to
/// the whole fleet.
pub(super) fn accepted(node: &Rc<Node>, delta: &Arc<Delta>) {
    offer(node, delta);
    let view = node.control.view();
    originate(node, delta, &view);
}

/// Sends versions that this daemon was the first of its zone to find at the
/// platform to the rest of the zone. It is needed where the daemon that had
/// them accepted died before it told anyone.
pub(super) fn found(node: &Rc<Node>, deltas: &[Arc<Delta>]) {
    let mut view = node.control.view();
    view.retain(|zone, _| *zone == node.cfg.zone);
    for delta in deltas {
        originate(node, delta, &view);
    }
}

fn originate(node: &Rc<Node>, delta: &Arc<Delta>, view: &ZoneMembers) {
    let me = node.control.me();
    let mut spread = node.control.spread.borrow_mut();
    let targets = spread.originate(delta.version, view, me);
    drop(spread);
    start(node, delta, me, targets);
}

/// Takes a version that another daemon pushed, and passes it on.
pub(super) async fn answer(node: &Rc<Node>, message: PushRequest) -> bool {
    let origin = message.origin;
    let delta = Arc::new(Delta::from(message.delta));
    let mut due = offer(node, &delta);
    let is_held = delta.version <= node.control.replica.borrow().version();
    if due.is_empty() && is_held {
        due.push(delta);
    }
    let view = node.control.view();
    let me = node.control.me();
    for delta in due {
        let mut spread = node.control.spread.borrow_mut();
        let targets = spread.forward(delta.version, &view, me, origin);
        drop(spread);
        start(node, &delta, origin, targets);
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
            close_gap(node, version);
            Vec::new()
        }
        OfferOutcome::AlreadyHeld | OfferOutcome::Replaced(_) => Vec::new(),
    }
}

/// A version overtook one before it. Most often that one arrives in the next
/// moment; if it was lost, some peer of the zone has it.
fn close_gap(node: &Rc<Node>, version: u64) {
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

fn start(node: &Rc<Node>, delta: &Arc<Delta>, origin: MemberKey, targets: Vec<MemberKey>) {
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

/// Pushes to one member, or to those below it where it does not answer.
async fn push(node: Rc<Node>, message: Message, version: u64, branch: Branch) {
    let mut due = vec![branch];
    while let Some(branch) = due.pop() {
        let Some(addr) = node.control.peer_addr(branch.target) else {
            continue;
        };
        if send(&node, addr, &message, BOUND).await.is_ok() {
            continue;
        }
        node.metrics.count("control.push_failures", 1);
        if !is_reachable(&node, branch.target) {
            continue;
        }
        let view = node.control.view();
        let spread = node.control.spread.borrow();
        let below = spread.bypass(version, &view, branch.target, branch.bypassed);
        due.extend(below.into_iter().map(|target| Branch {
            target,
            bypassed: branch.bypassed + 1,
        }));
    }
}

/// Whether the target's zone can be reached. While it can't, going past the one
/// that did not answer would cost a wait for each of those below it.
fn is_reachable(node: &Node, target: MemberKey) -> bool {
    let membership = node.control.membership.borrow();
    let entry = membership.table().get(target);
    entry.is_some_and(|it| membership.is_reachable(&it.member.zone))
}
