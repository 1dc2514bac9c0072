//! Membership over `/peer/gossip`.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use stoatstep_membership::{
    Action, ConfigId, Exchange, GossipReply, GossipRequest, Input, MemberKey, ZoneDigest,
};

use super::announce;
use super::client::{Message, PeerError, ask};
use super::peer::GOSSIP;
use super::traffic::Class;
use crate::node::Node;

/// Time for a probe. A round trip in a region takes a few milliseconds.
const PROBE_BOUND: Duration = Duration::from_millis(500);

/// Time for a helper, which probes with the bound above.
const HELPER_BOUND: Duration = Duration::from_millis(1200);

/// Time for a table.
const TABLE_BOUND: Duration = Duration::from_secs(2);

/// Feeds the machine and does what it asks for.
pub(super) fn input(node: &Rc<Node>, input: Input) {
    let now = node.control.now();
    let actions = node.control.membership.borrow_mut().handle(now, input);
    run(node, actions);
}

/// Answers one message of another daemon.
pub(super) async fn answer(node: &Rc<Node>, message: GossipRequest) -> GossipReply {
    match message {
        GossipRequest::Exchange(exchange) => {
            let now = node.control.now();
            let answer = node.control.membership.borrow_mut().answer(now, exchange);
            let (reply, actions) = answer;
            run(node, actions);
            GossipReply::Exchange(reply)
        }
        GossipRequest::Probe(target) => GossipReply::Probe(reaches(node, target).await),
        GossipRequest::Table(zones) => {
            let membership = node.control.membership.borrow();
            GossipReply::Table(membership.rows_for(&zones))
        }
    }
}

fn run(node: &Rc<Node>, actions: Vec<Action>) {
    let mut is_changed = false;
    for action in actions {
        match action {
            Action::Exchange {
                peer,
                addr,
                message,
            } => {
                ntex::rt::spawn(exchange(Rc::clone(node), peer, addr, message));
            }
            Action::IndirectProbe { addr, target } => {
                ntex::rt::spawn(ask_helper(Rc::clone(node), addr, target));
            }
            Action::PullTable { addr, zones } => {
                ntex::rt::spawn(pull_table(Rc::clone(node), addr, zones));
            }
            Action::PeerConfig {
                peer,
                mark,
                floor,
                answered,
                ..
            } => {
                peer_holds(node, peer, mark);
                heard(node, peer, mark, floor, answered);
            }
            Action::Changed(_) => is_changed = true,
            Action::Forgotten {
                instance,
                incarnation,
            } => announce::clean_up(node, instance, incarnation),
            Action::ZoneReachable { zone, reachable } => {
                slog::warn!(node.log, "way to a zone changed";
                    "zone" => %zone, "reachable" => reachable);
            }
            Action::Resumed { gap } => {
                slog::warn!(node.log, "woke from a freeze"; "gap_ms" => gap.as_millis());
                node.metrics.count("control.freezes", 1);
                node.control.woke();
            }
            Action::Superseded { birth } => superseded(node, birth),
            // Targets are configured here and announce nothing.
            Action::TargetDrained(_) => {}
        }
    }
    if is_changed {
        node.control.refresh_directory();
    }
}

/// A newer process bears this instance's id. Two that answer under one name
/// would each hold half of what callers rely on, so the older one stops.
fn superseded(node: &Rc<Node>, birth: u64) {
    if !node.draining.get() {
        slog::error!(node.log, "a newer process runs under this id"; "birth" => birth);
    }
    crate::call::drain::start(node);
}

fn peer_holds(node: &Rc<Node>, peer: MemberKey, theirs: ConfigId) {
    let control = &node.control;
    let now = control.now();
    let mine = control.replica.borrow().config_id();
    let mut repair = control.repair.borrow_mut();
    repair.peer_holds(now, peer, theirs, mine);
    let fork = control.replica.borrow_mut().record_fork(now, theirs);
    if let Some(row) = fork {
        slog::error!(node.log, "a peer holds another state under this version";
            "version" => row.version, "reason" => %row.reason);
        repair.ask_platform(now);
    }
}

/// Takes in what a peer's word means for the version to serve by.
fn heard(node: &Node, peer: MemberKey, theirs: ConfigId, floor: u64, answered: bool) {
    let mut serving = node.control.serving.borrow_mut();
    if answered {
        serving.peer_answered(peer, theirs.version, floor);
    } else {
        serving.raise_floor(floor);
    }
}

async fn exchange(node: Rc<Node>, peer: MemberKey, addr: SocketAddr, message: Exchange) {
    let answer = say(&node, addr, message).await;
    input(
        &node,
        match answer {
            Some(reply) => Input::Replied { peer, reply },
            None => Input::Unreached { peer },
        },
    );
}

async fn say(node: &Node, addr: SocketAddr, message: Exchange) -> Option<Exchange> {
    let request = GossipRequest::Exchange(message);
    let message = Message::new(GOSSIP, Class::Membership, &request);
    let sent = node.control.now();
    let answer = ask(node, addr, &message, PROBE_BOUND).await;
    let took = node.control.now().saturating_sub(sent);
    match answer {
        // An answer that lay in the socket through a freeze is as old as that:
        // taken for news, it would confirm a version that the fleet has left.
        Ok(GossipReply::Exchange(reply)) if took < PROBE_BOUND * 2 => Some(reply),
        _ => None,
    }
}

async fn ask_helper(node: Rc<Node>, addr: SocketAddr, target: MemberKey) {
    let request = GossipRequest::Probe(target);
    let message = Message::new(GOSSIP, Class::Membership, &request);
    let answer = ask(&node, addr, &message, HELPER_BOUND).await;
    let reached = matches!(answer, Ok(GossipReply::Probe(true)));
    input(&node, Input::IndirectProbeResult { target, reached });
}

/// Probes a member for a peer that can't reach it.
async fn reaches(node: &Rc<Node>, target: MemberKey) -> bool {
    let Some(addr) = node.control.peer_addr(target) else {
        return false;
    };
    let now = node.control.now();
    let message = node.control.membership.borrow().probe_message(now, target);
    let answer = say(node, addr, message).await;
    answer.is_some_and(|reply| reply.from == target)
}

async fn pull_table(node: Rc<Node>, addr: SocketAddr, zones: Vec<ZoneDigest>) {
    let request = GossipRequest::Table(zones);
    let message = Message::new(GOSSIP, Class::Membership, &request);
    let answer: Result<GossipReply, PeerError> = ask(&node, addr, &message, TABLE_BOUND).await;
    if let Ok(GossipReply::Table(rows)) = answer {
        input(&node, Input::TablePulled { rows });
    }
}
