//! Membership over links.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use stoatstep_distribution::PollRole;
use stoatstep_membership::{
    Action, ConfigId, Exchange, GossipReply, GossipRequest, Input, MemberKey, ZoneDigest,
};
use stoatstep_rollout::Progress;
use stoatstep_telemetry::fields;

use super::{refresh_soon, role, versions};
use crate::node::Node;
use crate::rollout::{self, Source};
use crate::wire::{Ask, News, Reply};
use crate::{drain, executor, quarantine};

/// Time for a probe. A round trip in a region takes a few milliseconds.
const PROBE_BOUND: Duration = Duration::from_millis(500);

/// Time for a helper, which probes with the bound above.
const HELPER_BOUND: Duration = Duration::from_millis(1200);

/// Time for a table.
const TABLE_BOUND: Duration = Duration::from_secs(2);

/// A daemon, and where it listens.
pub(crate) type Addressed = (MemberKey, SocketAddr);

/// Feeds the machine and does what it asks for.
pub(crate) fn input(node: &Rc<Node>, input: Input) {
    let now = node.clock.now();
    let actions = node.fleet.membership.borrow_mut().handle(now, input);
    act(node, actions);
}

/// Moves the machine's time on.
pub(crate) fn tick(node: &Rc<Node>) {
    input(node, Input::Tick);
}

/// Tells the fleet that this daemon stops.
pub(crate) fn leave(node: &Rc<Node>) {
    input(node, Input::Leave);
}

/// Tells the fleet what the target beside this daemon last announced. Nothing
/// goes out where that has not changed.
pub(crate) fn target_changed(node: &Rc<Node>) {
    let announced = node.executor.announced(node.clock.now());
    input(node, Input::TargetAnnounced(announced));
}

/// Tells the peers of the own zone at once what this daemon holds. The regular exchanges
/// would take seconds to reach all of them.
pub(crate) fn tell_zone(node: &Rc<Node>) {
    tell(node, own_zone(node), &holds(node));
}

/// The daemons of the own zone.
pub(crate) fn own_zone(node: &Node) -> Vec<Addressed> {
    let membership = node.fleet.membership.borrow();
    let zone = membership.table().in_zone(&node.cfg.zone);
    zone.map(|(key, it)| (key, it.member.peer)).collect()
}

/// Tells the daemons of other zones that follow the host for them. The host may turn away
/// all that follow it for a zone: callers there would meet an old version until the regular
/// exchanges bring the new one, which is too late. Telling everyone there would cost a
/// message to each daemon of the fleet for every version.
pub(crate) fn tell_other_zones(node: &Rc<Node>) {
    tell(node, followers_elsewhere(node), &holds(node));
}

/// The daemons of other zones that follow the host for them.
pub(crate) fn followers_elsewhere(node: &Node) -> Vec<Addressed> {
    let membership = node.fleet.membership.borrow();
    let mut zones: BTreeMap<&str, Vec<Addressed>> = BTreeMap::new();
    for (key, entry) in membership.table().present() {
        let zone = zones.entry(&entry.member.zone).or_default();
        zone.push((key, entry.member.peer));
    }
    zones.remove(node.cfg.zone.as_str());
    zones.into_values().flat_map(followers_of).collect()
}

/// Those of one zone's daemons that follow the host for it.
pub(crate) fn followers_of(zone: Vec<Addressed>) -> impl Iterator<Item = Addressed> {
    let keys: Vec<_> = zone.iter().map(|(key, _)| *key).collect();
    let follows = move |(key, _): &Addressed| PollRole::polls(*key, &keys);
    zone.into_iter().filter(follows)
}

/// What this daemon holds, for others.
fn holds(node: &Node) -> Ask {
    let membership = node.fleet.membership.borrow();
    Ask::Holds(membership.me(), membership.config_id())
}

/// Sends these daemons a word that needs no answer.
pub(crate) fn tell(node: &Rc<Node>, peers: Vec<Addressed>, word: &Ask) {
    let me = node.fleet.membership.borrow().me();
    for (_, addr) in peers.into_iter().filter(|(key, _)| *key != me) {
        let (node, word) = (Rc::clone(node), word.clone());
        ntex::rt::spawn(async move {
            // Whoever misses it hears of it in the regular exchanges.
            let _ = node.links.ask_within(addr, word, PROBE_BOUND).await;
        });
    }
}

/// Tells every daemon in reach: those of the own zone, and for each other zone those that
/// follow the host for it, which [pass it on](relay).
pub(crate) fn tell_fleet(node: &Rc<Node>, word: &Ask) {
    tell(node, own_zone(node), word);
    tell(node, followers_elsewhere(node), word);
}

/// Passes on to the own zone what came from another one, where this daemon is one of those
/// that are told for it.
pub(crate) fn relay(node: &Rc<Node>, word: &Ask) {
    if role::hears_for_zone(node) {
        tell(node, own_zone(node), word);
    }
}

/// What goes along with an exchange.
pub(crate) fn news(node: &Node) -> News {
    let now = node.clock.now();
    News {
        rollouts: node.rollouts.news(now),
        findings: node.requests.news(now),
    }
}

/// Takes in what came along with an exchange.
pub(crate) fn hear_news(node: &Rc<Node>, news: News) {
    hear_rollouts(node, news.rollouts);
    quarantine::hear(node, &news.findings, quarantine::Way::Exchange);
}

/// Takes in what a peer says of roll-outs.
pub(crate) fn hear_rollouts(node: &Rc<Node>, rollouts: Vec<Progress>) {
    for progress in rollouts {
        rollout::hear(node, &progress, Source::Peer);
    }
}

/// A peer said what it holds, unasked.
pub(crate) fn told(node: &Rc<Node>, peer: MemberKey, mark: ConfigId) {
    let addr = {
        let membership = node.fleet.membership.borrow();
        membership.table().get(peer).map(|it| it.member.peer)
    };
    // One that is not known yet is asked in the exchange that makes it known.
    if let Some(addr) = addr {
        versions::peer_holds(node, peer, addr, mark);
    }
}

/// Answers one message of another daemon.
pub(crate) async fn answer(node: &Rc<Node>, message: GossipRequest) -> GossipReply {
    match message {
        GossipRequest::Exchange(exchange) => {
            let now = node.clock.now();
            let answered = node.fleet.membership.borrow_mut().answer(now, exchange);
            let (reply, actions) = answered;
            act(node, actions);
            GossipReply::Exchange(reply)
        }
        GossipRequest::Probe(target) => GossipReply::Probe(reaches(node, target).await),
        GossipRequest::Table(zones) => {
            let membership = node.fleet.membership.borrow();
            GossipReply::Table(membership.rows_for(&zones))
        }
    }
}

fn act(node: &Rc<Node>, actions: Vec<Action>) {
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
                peer, addr, mark, ..
            } => versions::peer_holds(node, peer, addr, mark),
            Action::Changed(key) => {
                is_changed = true;
                note_member(node, key);
            }
            Action::Forgotten { instance, .. } => {
                node.fleet.forgotten.borrow_mut().push(instance);
            }
            Action::ZoneReachable { zone, reachable } => {
                slog::warn!(node.log, "way to a zone changed";
                    fields::ZONE => %zone, fields::REACHABLE => reachable);
            }
            Action::Resumed { gap } => woke(node, gap),
            Action::TargetDrained(upstream) => executor::leave(node, &upstream),
            Action::Superseded { birth } => {
                slog::error!(node.log, "a newer process runs under this id"; fields::BIRTH => birth);
                drain::begin(node);
            }
        }
    }
    if is_changed {
        refresh_soon(node);
    }
}

/// One line for each change of what is believed about a member.
fn note_member(node: &Node, key: MemberKey) {
    let Some(left_out) = node.journal.admits("member", node.clock.now()) else {
        return;
    };
    let membership = node.fleet.membership.borrow();
    let Some(entry) = membership.table().get(key) else {
        return;
    };
    let member = &entry.member;
    let announced = member.announced.as_ref();
    slog::info!(node.log, "member";
        fields::INSTANCE => %member.instance, fields::ZONE => %member.zone,
        fields::INCARNATION => member.incarnation, fields::STATE => ?member.state,
        fields::UPSTREAM => announced.map_or("", |it| it.upstream.as_str()),
        fields::SERVICE => announced.map_or("", |it| it.service.as_str()),
        fields::DRAINING => announced.is_some_and(|it| it.draining), fields::LEFT_OUT => left_out);
}

/// The instance was suspended. Everything that waits here is old.
fn woke(node: &Rc<Node>, gap: Duration) {
    slog::warn!(node.log, "woke from a suspension"; fields::GAP_MS => gap.as_millis());
    executor::woke(node);
    node.links.close_all();
    node.fleet.woke.notify_waiters();
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
    match ask(node, addr, GossipRequest::Exchange(message), PROBE_BOUND).await? {
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
    let ask = Ask::Gossip(message, news(node));
    match node.links.ask_within(addr, ask, bound).await {
        Ok(Reply::Gossip(reply, news)) => {
            hear_news(node, news);
            Some(reply)
        }
        Ok(_) | Err(_) => None,
    }
}

async fn ask_helper(node: Rc<Node>, addr: SocketAddr, target: MemberKey) {
    let answer = ask(&node, addr, GossipRequest::Probe(target), HELPER_BOUND).await;
    let reached = matches!(answer, Some(GossipReply::Probe(true)));
    input(&node, Input::IndirectProbeResult { target, reached });
}

/// Probes a member for a peer that can't reach it.
async fn reaches(node: &Rc<Node>, target: MemberKey) -> bool {
    let (addr, message) = {
        let membership = node.fleet.membership.borrow();
        let Some(entry) = membership.table().get(target) else {
            return false;
        };
        let message = membership.probe_message(node.clock.now(), target);
        (entry.member.peer, message)
    };
    let answer = say(node, addr, message).await;
    answer.is_some_and(|reply| reply.from == target)
}

async fn pull_table(node: Rc<Node>, addr: SocketAddr, zones: Vec<ZoneDigest>) {
    let answer = ask(&node, addr, GossipRequest::Table(zones), TABLE_BOUND).await;
    if let Some(GossipReply::Table(rows)) = answer {
        input(&node, Input::TablePulled { rows });
    }
}
