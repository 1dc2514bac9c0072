//! Runs the membership protocol over links, and sends one-way messages to peers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use stoatstep_distribution::PollRole;
use stoatstep_membership::{
    Action, ConfigId, Exchange, GossipReply, GossipRequest, Incarnation, Input, MemberKey,
    ZoneDigest,
};
use stoatstep_rollout::Progress;
use stoatstep_telemetry::fields;

use super::{report, role, schedule_refresh, versions};
use crate::node::Node;
use crate::rollout::{self, Source};
use crate::wire::{Ask, Piggyback, Reply};
use crate::{drain, executor, quarantine};

/// Timeout of a probe. A round trip in a region takes a few milliseconds.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout of an indirect probe, in which the helper itself waits for up to [`PROBE_TIMEOUT`].
const INDIRECT_PROBE_TIMEOUT: Duration = Duration::from_millis(1200);

/// Timeout of a pull of the membership table.
const TABLE_TIMEOUT: Duration = Duration::from_secs(2);

/// A daemon with the address at which it listens for peers.
pub(crate) type PeerAddress = (MemberKey, SocketAddr);

/// Passes an input to the membership state machine and carries out the resulting actions.
pub(crate) fn input(node: &Rc<Node>, input: Input) {
    let now = node.clock.now();
    let actions = node.fleet.membership.borrow_mut().handle(now, input);
    perform(node, actions);
}

/// Advances the membership state machine's time.
pub(crate) fn tick(node: &Rc<Node>) {
    input(node, Input::Tick);
}

/// Announces that this daemon stops.
pub(crate) fn leave(node: &Rc<Node>) {
    input(node, Input::Leave);
}

/// Updates this member with the last announcement of the target beside the daemon. Nothing is sent
/// if it has not changed.
pub(crate) fn target_changed(node: &Rc<Node>) {
    let announced = node.executor.announced(node.clock.now());
    input(node, Input::TargetAnnounced(announced));
}

/// Announces the held configuration to the peers of the own zone at once. Regular exchanges would
/// take seconds to reach all of them.
pub(crate) fn notify_zone(node: &Rc<Node>) {
    notify(node, own_zone(node), &held_configuration(node));
}

/// The daemons of the own zone, this one included.
pub(crate) fn own_zone(node: &Node) -> Vec<PeerAddress> {
    let membership = node.fleet.membership.borrow();
    let zone = membership.table().in_zone(&node.cfg.zone);
    zone.map(|(key, it)| (key, it.member.peer)).collect()
}

/// Announces the held configuration to the followers in other zones. The store may reject all
/// followers of a zone; callers there would then be served by an old version until regular
/// exchanges bring the new one, which is too late. Announcing it to every daemon there would cost a
/// message to each daemon of the fleet for every version.
pub(crate) fn notify_other_zones(node: &Rc<Node>) {
    notify(
        node,
        followers_in_other_zones(node),
        &held_configuration(node),
    );
}

/// The followers in the other zones.
pub(crate) fn followers_in_other_zones(node: &Node) -> Vec<PeerAddress> {
    let membership = node.fleet.membership.borrow();
    let mut zones: BTreeMap<&str, Vec<PeerAddress>> = BTreeMap::new();
    for (key, entry) in membership.table().present() {
        let zone = zones.entry(&entry.member.zone).or_default();
        zone.push((key, entry.member.peer));
    }
    zones.remove(node.cfg.zone.as_str());
    zones.into_values().flat_map(followers_of).collect()
}

/// The members of one zone that follow the store for it.
pub(crate) fn followers_of(zone: Vec<PeerAddress>) -> impl Iterator<Item = PeerAddress> {
    let keys: Vec<_> = zone.iter().map(|(key, _)| *key).collect();
    let follows = move |(key, _): &PeerAddress| PollRole::polls(*key, &keys);
    zone.into_iter().filter(follows)
}

/// The message that announces the configuration which this daemon holds.
fn held_configuration(node: &Node) -> Ask {
    let membership = node.fleet.membership.borrow();
    Ask::Holds(membership.me(), membership.config_id())
}

/// Sends a message without waiting for the answer.
pub(crate) fn notify(node: &Rc<Node>, peers: Vec<PeerAddress>, message: &Ask) {
    let me = node.fleet.membership.borrow().me();
    for (_, addr) in peers.into_iter().filter(|(key, _)| *key != me) {
        let (node, message) = (Rc::clone(node), message.clone());
        ntex::rt::spawn(async move {
            // A peer that misses the message receives its content in the regular exchanges.
            let _ = node.links.ask_within(addr, message, PROBE_TIMEOUT).await;
        });
    }
}

/// Sends a message to the daemons of the own zone and to the followers of each other zone, which
/// [forward it](relay).
pub(crate) fn notify_fleet(node: &Rc<Node>, message: &Ask) {
    notify(node, own_zone(node), message);
    notify(node, followers_in_other_zones(node), message);
}

/// Forwards a message from another zone to the own zone, if this daemon is one of those that
/// receive messages for it.
pub(crate) fn relay(node: &Rc<Node>, message: &Ask) {
    if role::receives_for_zone(node) {
        notify(node, own_zone(node), message);
    }
}

/// State that is sent along with an exchange.
pub(crate) fn piggyback(node: &Node) -> Piggyback {
    let now = node.clock.now();
    Piggyback {
        rollouts: node.rollouts.updates(now),
        findings: node.quarantine.updates(now),
    }
}

/// Applies the state that came along with an exchange.
pub(crate) fn apply_piggyback(node: &Rc<Node>, piggyback: Piggyback) {
    apply_rollouts(node, piggyback.rollouts);
    quarantine::apply_findings(node, &piggyback.findings, quarantine::Delivery::Exchange);
}

/// Applies the roll-out progress that a peer reports.
pub(crate) fn apply_rollouts(node: &Rc<Node>, rollouts: Vec<Progress>) {
    for progress in rollouts {
        rollout::apply_progress(node, &progress, Source::Peer);
    }
}

/// Handles a peer's unsolicited announcement of the configuration that it holds.
pub(crate) fn peer_announced(node: &Rc<Node>, peer: MemberKey, config_id: ConfigId) {
    let addr = {
        let membership = node.fleet.membership.borrow();
        membership.table().get(peer).map(|it| it.member.peer)
    };
    // A peer that is not yet known is asked in the exchange that makes it known.
    if let Some(addr) = addr {
        versions::pull_if_newer(node, peer, addr, config_id);
    }
}

/// Answers a membership message of another daemon.
pub(crate) async fn answer(node: &Rc<Node>, message: GossipRequest) -> GossipReply {
    match message {
        GossipRequest::Exchange(exchange) => {
            let now = node.clock.now();
            let answered = node.fleet.membership.borrow_mut().answer(now, exchange);
            let (reply, actions) = answered;
            perform(node, actions);
            GossipReply::Exchange(reply)
        }
        GossipRequest::Probe(target) => GossipReply::Probe(probe(node, target).await),
        GossipRequest::Table(zones) => {
            let membership = node.fleet.membership.borrow();
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
                ntex::rt::spawn(probe_indirectly(Rc::clone(node), addr, target));
            }
            Action::PullTable { addr, zones } => {
                ntex::rt::spawn(pull_table(Rc::clone(node), addr, zones));
            }
            Action::PeerConfig {
                peer,
                addr,
                config_id,
                ..
            } => versions::pull_if_newer(node, peer, addr, config_id),
            Action::Changed(key) => {
                is_changed = true;
                report::log_member(node, key);
            }
            Action::Forgotten {
                instance,
                incarnation,
            } => {
                let mut removed = node.fleet.removed_members.borrow_mut();
                removed.push((instance, incarnation));
            }
            Action::ZoneReachable { zone, reachable } => {
                slog::warn!(node.log, "way to a zone changed";
                    fields::ZONE => %zone, fields::REACHABLE => reachable);
            }
            Action::Resumed { gap } => resume(node, gap),
            Action::TargetDrained(upstream) => executor::mark_leaving(node, &upstream),
            Action::NotBelieved(disbelief) => report::log_disbelief(node, &disbelief),
            Action::Superseded { birth } => superseded(node, birth),
        }
    }
    if is_changed {
        schedule_refresh(node);
    }
}

/// Begins the end of this process, as another one runs under its id.
fn superseded(node: &Rc<Node>, birth: Incarnation) {
    if !node.is_leaving() {
        slog::error!(node.log, "a newer process runs under this id"; fields::BIRTH => birth);
    }
    drain::begin(node);
    node.fleet.superseded.notify_one();
}

/// Handles the end of a suspension of the instance: connections and pending requests are stale.
fn resume(node: &Rc<Node>, gap: Duration) {
    slog::warn!(node.log, "woke from a suspension"; fields::GAP_MS => gap.as_millis());
    executor::resumed(node);
    node.links.close_all();
    node.fleet.resumed.notify_waiters();
}

async fn exchange(node: Rc<Node>, peer: MemberKey, addr: SocketAddr, message: Exchange) {
    let reply = send_exchange(&node, addr, message).await;
    let received = match reply {
        Some(reply) => Input::Replied { peer, reply },
        None => Input::Unreached { peer },
    };
    input(&node, received);
}

async fn send_exchange(node: &Rc<Node>, addr: SocketAddr, message: Exchange) -> Option<Exchange> {
    match ask(node, addr, GossipRequest::Exchange(message), PROBE_TIMEOUT).await? {
        GossipReply::Exchange(reply) => Some(reply),
        GossipReply::Probe(_) | GossipReply::Table(_) => None,
    }
}

async fn ask(
    node: &Rc<Node>,
    addr: SocketAddr,
    message: GossipRequest,
    bound: Duration,
) -> Option<GossipReply> {
    let ask = Ask::Gossip(message, piggyback(node));
    match node.links.ask_within(addr, ask, bound).await {
        Ok(Reply::Gossip(reply, piggyback)) => {
            apply_piggyback(node, piggyback);
            Some(reply)
        }
        Ok(_) | Err(_) => None,
    }
}

async fn probe_indirectly(node: Rc<Node>, addr: SocketAddr, target: MemberKey) {
    let answer = ask(
        &node,
        addr,
        GossipRequest::Probe(target),
        INDIRECT_PROBE_TIMEOUT,
    )
    .await;
    let reached = matches!(answer, Some(GossipReply::Probe(true)));
    input(&node, Input::IndirectProbeResult { target, reached });
}

/// Probes a member on behalf of a peer that cannot reach it.
async fn probe(node: &Rc<Node>, target: MemberKey) -> bool {
    let (addr, message) = {
        let membership = node.fleet.membership.borrow();
        let Some(entry) = membership.table().get(target) else {
            return false;
        };
        let message = membership.probe_message(node.clock.now(), target);
        (entry.member.peer, message)
    };
    let answer = send_exchange(node, addr, message).await;
    answer.is_some_and(|reply| reply.from == target)
}

async fn pull_table(node: Rc<Node>, addr: SocketAddr, zones: Vec<ZoneDigest>) {
    let answer = ask(&node, addr, GossipRequest::Table(zones), TABLE_TIMEOUT).await;
    if let Some(GossipReply::Table(rows)) = answer {
        input(&node, Input::TablePulled { rows });
    }
}
