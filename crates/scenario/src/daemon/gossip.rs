//! Membership's messages.

use std::net::SocketAddr;
use std::rc::Rc;

use stoatstep_membership::{Action, ConfigId, Exchange, Input, MemberKey, Time, ZoneDigest};

use super::{Node, index_of};
use crate::world::net::{Way, ask};

const PROBE_BOUND: Time = Time::from_millis(500);
const HELPER_BOUND: Time = Time::from_millis(1200);
const TABLE_BOUND: Time = Time::from_secs(2);

/// Feeds the machine and does what it asks for.
pub(super) fn input(node: &Rc<Node>, input: Input) {
    let now = node.now();
    let actions = node.control.borrow_mut().membership.handle(now, input);
    run(node, actions);
}

fn run(node: &Rc<Node>, actions: Vec<Action>) {
    for action in actions {
        let node = Rc::clone(node);
        match action {
            Action::Exchange {
                peer,
                addr,
                message,
            } => Rc::clone(&node).spawn(exchange(node, peer, addr, message)),
            Action::IndirectProbe { addr, target } => {
                Rc::clone(&node).spawn(ask_helper(node, addr, target));
            }
            Action::PullTable { addr, zones } => {
                Rc::clone(&node).spawn(pull_table(node, addr, zones));
            }
            Action::PeerConfig {
                peer,
                config_id,
                floor,
                ..
            } => peer_holds(&node, peer, config_id, floor),
            Action::Superseded { .. } => node.drain(),
            // The rest is for logs, and for tables that are not kept here.
            _ => {}
        }
    }
}

fn peer_holds(node: &Node, peer: MemberKey, theirs: ConfigId, floor: u64) {
    let now = node.now();
    let mut control = node.control.borrow_mut();
    let mine = control.replica.config_id();
    control.repair.peer_holds(now, peer, theirs, mine);
    if control.replica.record_fork(now, theirs).is_some() {
        control.repair.ask_platform(now);
    }
    control.serving.peer_answered(peer, theirs.version, floor);
}

async fn exchange(node: Rc<Node>, peer: MemberKey, addr: SocketAddr, message: Exchange) {
    let reply = say(&node, addr, message).await;
    let heard = match reply {
        Some(reply) => Input::Replied { peer, reply },
        None => Input::Unreached { peer },
    };
    input(&node, heard);
}

async fn say(node: &Rc<Node>, addr: SocketAddr, message: Exchange) -> Option<Exchange> {
    let answer = async move |peer: Rc<Node>| {
        let now = peer.now();
        let (reply, actions) = peer.control.borrow_mut().membership.answer(now, message);
        run(&peer, actions);
        reply
    };
    let reply = ask(node, index_of(addr), Way::Control, PROBE_BOUND, answer).await;
    reply.ok()
}

async fn ask_helper(node: Rc<Node>, addr: SocketAddr, target: MemberKey) {
    let probe = async move |helper: Rc<Node>| reaches(&helper, target).await;
    let answer = ask(&node, index_of(addr), Way::Control, HELPER_BOUND, probe).await;
    let reached = answer == Ok(true);
    input(&node, Input::IndirectProbeResult { target, reached });
}

async fn reaches(node: &Rc<Node>, target: MemberKey) -> bool {
    let Some((addr, message)) = probe(node, target) else {
        return false;
    };
    let reply = say(node, addr, message).await;
    reply.is_some_and(|reply| reply.from == target)
}

fn probe(node: &Node, target: MemberKey) -> Option<(SocketAddr, Exchange)> {
    let membership = &node.control.borrow().membership;
    let addr = membership.table().get(target)?.member.peer;
    Some((addr, membership.probe_message(node.now(), target)))
}

async fn pull_table(node: Rc<Node>, addr: SocketAddr, zones: Vec<ZoneDigest>) {
    let rows = async move |peer: Rc<Node>| peer.control.borrow().membership.rows_for(&zones);
    let answer = ask(&node, index_of(addr), Way::Control, TABLE_BOUND, rows).await;
    if let Ok(rows) = answer {
        input(&node, Input::TablePulled { rows });
    }
}
