//! Exchanges membership with other daemons over `/peer/gossip`.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use stoatstep_membership::{
    Action, ConfigId, Disbelief, Exchange, GossipReply, GossipRequest, Input, MemberKey, ZoneDigest,
};

use super::announce;
use super::client::{Message, PeerError, send_request};
use super::peer::GOSSIP;
use super::traffic::Class;
use super::warning::warn;
use crate::node::Node;

/// Timeout of a probe. A round trip within a region takes a few milliseconds.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout of an indirect probe: the peer that is asked to probe does so with
/// [`PROBE_TIMEOUT`].
const INDIRECT_PROBE_TIMEOUT: Duration = Duration::from_millis(1200);

/// Timeout of a request for rows of the member table.
const TABLE_TIMEOUT: Duration = Duration::from_secs(2);

/// Passes an input to the membership state machine and performs the actions that it
/// returns.
pub(super) fn handle_input(node: &Rc<Node>, input: Input) {
    let now = node.control.now();
    let actions = node.control.membership.borrow_mut().handle(now, input);
    perform(node, actions);
}

/// Handles a gossip message of another daemon and returns the reply.
pub(super) async fn answer(node: &Rc<Node>, message: GossipRequest) -> GossipReply {
    match message {
        GossipRequest::Exchange(exchange) => {
            let now = node.control.now();
            let answer = node.control.membership.borrow_mut().answer(now, exchange);
            let (reply, actions) = answer;
            perform(node, actions);
            GossipReply::Exchange(reply)
        }
        GossipRequest::Probe(target) => GossipReply::Probe(probe(node, target).await),
        GossipRequest::Table(zones) => {
            let membership = node.control.membership.borrow();
            GossipReply::Table(membership.rows_for(&zones))
        }
    }
}

fn perform(node: &Rc<Node>, actions: Vec<Action>) {
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
                ntex::rt::spawn(request_indirect_probe(Rc::clone(node), addr, target));
            }
            Action::PullTable { addr, zones } => {
                ntex::rt::spawn(pull_table(Rc::clone(node), addr, zones));
            }
            Action::PeerConfig {
                peer,
                config_id,
                floor,
                answered,
                ..
            } => {
                record_peer_config(node, peer, config_id);
                record_peer_version(node, peer, config_id, floor, answered);
            }
            Action::Changed(_) => is_changed = true,
            Action::Forgotten {
                instance,
                incarnation,
            } => announce::delete_row_of_crashed(node, instance, incarnation),
            Action::ZoneReachable { zone, reachable } => {
                slog::warn!(node.log, "way to a zone changed";
                    "zone" => %zone, "reachable" => reachable);
            }
            Action::Resumed { gap } => {
                slog::warn!(node.log, "woke from a freeze"; "gap_ms" => gap.as_millis());
                node.metrics.count("control.freezes", 1);
                node.control.resumed();
            }
            Action::NotBelieved(disbelief) => log_disbelief(node, &disbelief),
            Action::Superseded { birth } => superseded(node, birth),
            // Targets are configured here and announce nothing.
            Action::TargetDrained(_) => {}
        }
    }
    if is_changed {
        node.control.refresh_directory();
    }
}

/// Logs and counts a row or state update that was not believed.
fn log_disbelief(node: &Node, disbelief: &Disbelief) {
    node.metrics.count("control.rows_not_believed", 1);
    let detail = format!(
        "{} of {}: {} stated, {} known",
        disbelief.field, disbelief.instance, disbelief.stated, disbelief.known
    );
    warn(node, "row not believed", &detail);
}

/// Stops this process because another one runs under the same instance id. If both
/// answered calls, each would have only a part of the state that callers rely on.
fn superseded(node: &Rc<Node>, birth: u64) {
    if !node.draining.get() {
        slog::error!(node.log, "a newer process runs under this id"; "birth" => birth);
    }
    crate::call::drain::start(node);
}

fn record_peer_config(node: &Rc<Node>, peer: MemberKey, theirs: ConfigId) {
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

/// Records the version and the floor that a peer reported, which decide whether this
/// daemon may serve with the version it holds.
fn record_peer_version(node: &Node, peer: MemberKey, theirs: ConfigId, floor: u64, answered: bool) {
    let mut serving = node.control.serving.borrow_mut();
    if answered {
        serving.peer_answered(peer, theirs.version, floor);
    } else {
        serving.raise_floor(floor);
    }
}

async fn exchange(node: Rc<Node>, peer: MemberKey, addr: SocketAddr, message: Exchange) {
    let answer = send_exchange(&node, addr, message).await;
    handle_input(
        &node,
        match answer {
            Some(reply) => Input::Replied { peer, reply },
            None => Input::Unreached { peer },
        },
    );
}

async fn send_exchange(node: &Node, addr: SocketAddr, message: Exchange) -> Option<Exchange> {
    let request = GossipRequest::Exchange(message);
    let message = Message::new(GOSSIP, Class::Membership, &request);
    let sent = node.control.now();
    let answer = send_request(node, addr, &message, PROBE_TIMEOUT).await;
    let took = node.control.now().saturating_sub(sent);
    match answer {
        // A reply that waited in the socket while this process was suspended is
        // outdated: it would confirm a version that the fleet has since replaced.
        Ok(GossipReply::Exchange(reply)) if took < PROBE_TIMEOUT * 2 => Some(reply),
        _ => None,
    }
}

async fn request_indirect_probe(node: Rc<Node>, addr: SocketAddr, target: MemberKey) {
    let request = GossipRequest::Probe(target);
    let message = Message::new(GOSSIP, Class::Membership, &request);
    let answer = send_request(&node, addr, &message, INDIRECT_PROBE_TIMEOUT).await;
    let reached = matches!(answer, Ok(GossipReply::Probe(true)));
    handle_input(&node, Input::IndirectProbeResult { target, reached });
}

/// Probes a member on behalf of a peer that can't reach it.
async fn probe(node: &Rc<Node>, target: MemberKey) -> bool {
    let Some(addr) = node.control.peer_addr(target) else {
        return false;
    };
    let now = node.control.now();
    let message = node.control.membership.borrow().probe_message(now, target);
    let answer = send_exchange(node, addr, message).await;
    answer.is_some_and(|reply| reply.from == target)
}

async fn pull_table(node: Rc<Node>, addr: SocketAddr, zones: Vec<ZoneDigest>) {
    let request = GossipRequest::Table(zones);
    let message = Message::new(GOSSIP, Class::Membership, &request);
    let answer: Result<GossipReply, PeerError> =
        send_request(&node, addr, &message, TABLE_TIMEOUT).await;
    if let Ok(GossipReply::Table(rows)) = answer {
        handle_input(&node, Input::TablePulled { rows });
    }
}
