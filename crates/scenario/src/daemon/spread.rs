//! How versions reach an instance: written, pushed, pulled.

use std::rc::Rc;
use std::sync::Arc;

use stoatstep_distribution::{ConfigId, LogTail, OfferOutcome, Pull, PullSource, ZoneMembers};
use stoatstep_membership::{MemberKey, Membership, Time};
use stoatstep_resource::wire::Change;
use stoatstep_resource::{Delta, State, Version};
use stoatstep_versionlog::{AcceptedChange, Tail, WriteError};

use super::control::{learn, offer};
use super::{Node, index_of};
use crate::script::Safeguard;
use crate::world::Index;
use crate::world::net::{Way, ask};

const PUSH_BOUND: Time = Time::from_secs(1);
const PULL_BOUND: Time = Time::from_secs(3);
const MAX_DELTAS: usize = 64;

/// Has the platform accept a change, and sends it to the whole fleet.
pub(crate) async fn submit(node: &Rc<Node>, change: Change) -> Result<AcceptedChange, WriteError> {
    let state = Arc::clone(node.control.borrow().replica.state());
    let author = node.instance.clone();
    let accepted = node.version_log().write(change, author, state).await?;
    learn(node, &accepted.head);
    if accepted.deltas.is_empty() {
        let state = State::clone(&accepted.state);
        offer(node, |replica, now| replica.offer_state(now, state));
    }
    for delta in &accepted.deltas {
        let delta = Arc::new(delta.clone());
        take(node, &delta);
        if delta.version == accepted.version {
            let view = node.control.borrow().view();
            originate(node, &delta, &view);
        }
    }
    if node.version_log().snapshot_is_due(&accepted.head) {
        let node = Rc::clone(node);
        let state = Arc::clone(&accepted.state);
        Rc::clone(&node).spawn(async move {
            let _ = node.version_log().snapshot(state).await;
        });
    }
    Ok(accepted)
}

fn take(node: &Node, delta: &Arc<Delta>) -> Vec<Arc<Delta>> {
    let delta = Arc::clone(delta);
    let version = delta.version;
    match offer(node, |replica, now| replica.offer_delta(now, delta)) {
        OfferOutcome::Applied(applied) => applied,
        OfferOutcome::Waiting { .. } => {
            close_gap(node, version);
            Vec::new()
        }
        OfferOutcome::AlreadyHeld | OfferOutcome::Replaced(_) | OfferOutcome::Refused(_) => {
            Vec::new()
        }
    }
}

/// A version overtook one before it; some peer of the zone has that one.
fn close_gap(node: &Node, version: Version) {
    let now = node.now();
    let control = &mut *node.control.borrow_mut();
    let me = control.membership.me();
    let zone = control.membership.table().in_zone(&node.zone);
    let peers = zone.filter(|(key, entry)| *key != me && !entry.unreached);
    let peers: Vec<MemberKey> = peers.map(|(key, _)| key).collect();
    let Some(peer) = node.world.choose(&peers) else {
        return;
    };
    let theirs = ConfigId { version, digest: 0 };
    let mine = control.replica.config_id();
    control.repair.peer_holds(now, peer, theirs, mine);
}

fn originate(node: &Rc<Node>, delta: &Arc<Delta>, view: &ZoneMembers) {
    let mut control = node.control.borrow_mut();
    let me = control.membership.me();
    let targets = control.spread.originate(delta.version, view, me);
    drop(control);
    start(node, delta, me, targets);
}

fn start(node: &Rc<Node>, delta: &Arc<Delta>, origin: MemberKey, targets: Vec<MemberKey>) {
    for target in targets {
        let push = push(Rc::clone(node), Arc::clone(delta), origin, target);
        node.spawn(push);
    }
}

/// Pushes to one member, or to those below it where it does not answer.
async fn push(node: Rc<Node>, delta: Arc<Delta>, origin: MemberKey, target: MemberKey) {
    let mut due = vec![(target, 0)];
    while let Some((target, bypassed)) = due.pop() {
        let Some(index) = index_of_member(&node, target) else {
            continue;
        };
        let pushed = Arc::clone(&delta);
        let answer = async move |peer: Rc<Node>| pushed_to(&peer, &pushed, origin);
        let sent = ask(&node, index, Way::Push, PUSH_BOUND, answer).await;
        if sent.is_ok() {
            continue;
        }
        let control = node.control.borrow();
        if !is_reachable(&control.membership, target) {
            continue;
        }
        let view = control.view();
        let below = control
            .spread
            .bypass(delta.version, &view, target, bypassed);
        due.extend(below.into_iter().map(|target| (target, bypassed + 1)));
    }
}

fn is_reachable(membership: &Membership, target: MemberKey) -> bool {
    let entry = membership.table().get(target);
    entry.is_some_and(|it| membership.is_reachable(&it.member.zone))
}

/// A delta whose content changed on its way. Sealed again it passes the digest's
/// check, as if there were none.
fn damaged(node: &Node, delta: &Arc<Delta>) -> Arc<Delta> {
    if !node.world.net.damages_pushes(node.world.exec.now()) {
        return Arc::clone(delta);
    }
    let mut damaged = Delta::clone(delta);
    damaged.puts.pop();
    let control = node.control.borrow();
    let state = control.replica.state();
    let is_next = state.version() + 1 == damaged.version;
    if is_next && node.world.is_without(Safeguard::DigestCheck) {
        damaged = state.delta(damaged.puts, damaged.deletes);
    }
    Arc::new(damaged)
}

fn pushed_to(node: &Rc<Node>, delta: &Arc<Delta>, origin: MemberKey) {
    let delta = damaged(node, delta);
    let mut due = take(node, &delta);
    let held = node.control.borrow().replica.version();
    if due.is_empty() && delta.version <= held {
        due.push(delta);
    }
    for delta in due {
        let mut control = node.control.borrow_mut();
        let view = control.view();
        let me = control.membership.me();
        let targets = control.spread.forward(delta.version, &view, me, origin);
        drop(control);
        start(node, &delta, origin, targets);
    }
}

fn index_of_member(node: &Node, key: MemberKey) -> Option<Index> {
    let control = node.control.borrow();
    let entry = control.membership.table().get(key)?;
    Some(index_of(entry.member.peer))
}

/// Does the pull that is due and tells the machine how it went.
pub(super) async fn repair(node: Rc<Node>, pull: Pull) {
    let is_good = match pull.source {
        PullSource::Peer(peer) => from_peer(&node, peer, pull.whole).await,
        PullSource::Platform => from_platform(&node, pull.whole).await,
    };
    let now = node.now();
    let repair = &mut node.control.borrow_mut().repair;
    if is_good {
        repair.succeeded();
    } else {
        repair.failed(now);
    }
}

/// Pulls from one peer.
pub(super) async fn from_peer(node: &Rc<Node>, peer: MemberKey, whole: bool) -> bool {
    let Some(index) = index_of_member(node, peer) else {
        return false;
    };
    let held = node.control.borrow().replica.version();
    let answer = async move |peer: Rc<Node>| newer_than(&peer, held, whole);
    let tail = ask(node, index, Way::Control, PULL_BOUND, answer).await;
    tail.is_ok_and(|tail| take_tail(node, tail))
}

fn newer_than(node: &Node, held: Version, whole: bool) -> LogTail {
    let control = node.control.borrow();
    let mine = control.replica.config_id();
    if held >= mine.version {
        return LogTail::Nothing(mine);
    }
    let tail = control.replica.deltas_after(held);
    match tail.filter(|it| !whole && it.len() <= MAX_DELTAS) {
        Some(deltas) => LogTail::Deltas(deltas),
        None => LogTail::Snapshot(State::clone(control.replica.state())),
    }
}

fn take_tail(node: &Node, tail: LogTail) -> bool {
    let outcome = offer(node, |replica, now| match tail {
        LogTail::Nothing(_) => OfferOutcome::AlreadyHeld,
        LogTail::Deltas(deltas) => replica.offer_deltas(now, deltas),
        LogTail::Snapshot(state) => replica.offer_state(now, state),
    });
    !matches!(outcome, OfferOutcome::Refused(_))
}

/// Reads what is newer from the platform and passes it on in the zone.
pub(super) async fn from_platform(node: &Rc<Node>, whole: bool) -> bool {
    let held = node.control.borrow().replica.version();
    let log = node.version_log();
    if held > 0 && !whole {
        match log.tail(held).await {
            Ok(Tail::Deltas { head, deltas }) => {
                learn(node, &head);
                let deltas = deltas.into_iter().map(Arc::new).collect();
                let is_good = take_tail(node, LogTail::Deltas(deltas));
                pass_on(node, held);
                return is_good;
            }
            Ok(Tail::Trimmed { .. }) => {}
            Err(_) => return false,
        }
    }
    let Ok(recovered) = log.recover().await else {
        return false;
    };
    learn(node, &recovered.head);
    let is_good = take_tail(node, LogTail::Snapshot(State::clone(&recovered.state)));
    pass_on(node, held);
    is_good
}

fn pass_on(node: &Rc<Node>, after: Version) {
    if after == 0 {
        return;
    }
    let control = node.control.borrow();
    let Some(deltas) = control.replica.deltas_after(after) else {
        return;
    };
    let mut view = control.view();
    drop(control);
    view.retain(|zone, _| *zone == node.zone);
    for delta in deltas {
        originate(node, &delta, &view);
    }
}
