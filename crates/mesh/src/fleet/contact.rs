//! Whether this daemon would hear of a version from those that follow the host for its zone.
//!
//! Word of a version comes unasked, and a daemon that hears nothing can't tell whether
//! there is nothing to hear. So it asks them from time to time, more often than a version
//! has to be in force, and [asks the host for itself](super::configuration) as soon as none
//! of them answers. One that the host does not answer says so to all at once: others of its
//! zone take its place, and those that follow the host ask it anew.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rand::RngExt;
use stoatstep_membership::MemberKey;

use super::gossip::{self, Addressed};
use super::{role, versions};
use crate::node::Node;
use crate::wire::{Ask, Following, Reply};

/// Time between two questions, and for an answer, as parts of the time in which a version
/// has to be in force. Two answers that never come fit into it after the longest pause, and
/// a question to the host.
const ASKS_EVERY: f64 = 0.3;
const ANSWER_BOUND: f64 = 0.15;

/// Answers that never come after which the others are not asked: there is no time for more,
/// and the zone may be out of reach.
const MOST_SILENT: u32 = 2;

/// Time until a daemon of a zone that starts as a whole has begun to follow the host,
/// beyond the time for which it meets its zone. In a first start nobody calls yet, and
/// the last daemons may start seconds after the first ones.
const STARTS_TO_FOLLOW: Duration = Duration::from_secs(1);
const STARTS_AT_FIRST: Duration = Duration::from_secs(3);

/// Waits until the next question is due, or sooner if somebody has lost the host.
pub(super) async fn pause(node: &Node) {
    let share = rand::rng().random_range(0.75..1.25);
    let pause = node.cfg.apply_within.mul_f64(ASKS_EVERY * share);
    tokio::select! {
        () = tokio::time::sleep(pause) => {}
        () = node.fleet.host_doubted.notified() => {}
    }
}

/// Members of the own zone from among whom those are chosen that follow the host for it.
pub(super) fn eligible(node: &Node) -> Vec<MemberKey> {
    let zone: Vec<_> = gossip::own_zone(node).iter().map(|(key, _)| *key).collect();
    let contact = node.fleet.contact.borrow();
    contact.eligible(&zone, node.clock.now())
}

/// Whether this daemon leaves the host to others: one of those that follow it for the zone
/// answers. While the zone starts, nobody follows the host yet, and the daemon takes it that
/// someone will.
///
/// One that has lost the host is passed over, and whoever takes its place is asked. Where
/// all that answer have lost it, it is away from the zone, and one daemon more would not
/// find it.
pub(super) async fn leaves_host_to_others(node: &Rc<Node>) -> bool {
    let starts = if node.cfg.is_first_start {
        STARTS_AT_FIRST
    } else {
        STARTS_TO_FOLLOW
    };
    if node.clock.now() < role::meets_zone_until(node) + starts {
        return true;
    }
    let mut asked = Vec::new();
    let mut silent = 0;
    let mut all_lost_host = true;
    while silent < MOST_SILENT
        && let Some((key, addr)) = next_follower(node, &asked)
    {
        asked.push(key);
        match ask(node, key, addr).await {
            Some(Following::Follows) => return true,
            Some(Following::LostHost) => {}
            Some(Following::No) => all_lost_host = false,
            None => {
                silent += 1;
                all_lost_host = false;
            }
        }
    }
    all_lost_host && !asked.is_empty()
}

/// Those that follow the host for the own zone, as far as this daemon knows.
pub(super) fn followers(node: &Node) -> impl Iterator<Item = Addressed> {
    let eligible = eligible(node);
    let mut zone = gossip::own_zone(node);
    zone.retain(|(key, _)| eligible.contains(key));
    gossip::followers_of(zone)
}

fn next_follower(node: &Node, asked: &[MemberKey]) -> Option<Addressed> {
    let me = node.fleet.membership.borrow().me();
    let others = followers(node).filter(|(key, _)| *key != me && !asked.contains(key));
    let followers = others.collect();
    let in_turn = node.fleet.contact.borrow_mut().round_robin(followers);
    in_turn.into_iter().next()
}

async fn ask(node: &Rc<Node>, key: MemberKey, addr: SocketAddr) -> Option<Following> {
    let bound = node.cfg.apply_within.mul_f64(ANSWER_BOUND);
    let reply = node.links.ask_within(addr, Ask::Following, bound).await;
    let now = node.clock.now();
    let mut contact = node.fleet.contact.borrow_mut();
    let Ok(Reply::Following(following, mark)) = reply else {
        contact.mark_silent(key, now);
        node.journal.count("host.followers_missed");
        return None;
    };
    match following {
        Following::Follows => contact.mark_healthy(key),
        Following::LostHost => contact.lost_platform(key, now),
        Following::No => {}
    }
    drop(contact);
    versions::peer_holds(node, key, addr, mark);
    Some(following)
}

/// What this daemon answers to others of its zone.
pub(crate) fn answer(node: &Node) -> Reply {
    let mark = node.fleet.membership.borrow().mark();
    let following = if node.fleet.reaches_host.get() == Some(false) {
        Following::LostHost
    } else if role::waits_for_zone(node) {
        Following::Follows
    } else {
        Following::No
    };
    Reply::Following(following, mark)
}

/// The host answers this daemon.
pub(super) fn host_answered(node: &Node) {
    let me = node.fleet.membership.borrow().me();
    node.fleet.contact.borrow_mut().mark_healthy(me);
}

/// The host does not answer this daemon. Those that it would tell of versions hear so at
/// once, since they have less time than it takes until they ask.
pub(super) fn lost_host(node: &Rc<Node>) {
    let me = node.fleet.membership.borrow().me();
    let now = node.clock.now();
    let mut contact = node.fleet.contact.borrow_mut();
    let is_news = !contact.has_lost_platform(me, now);
    contact.lost_platform(me, now);
    drop(contact);
    if is_news && role::waits_for_zone(node) {
        gossip::tell_fleet(node, &Ask::LostHost(me));
    }
}

/// The host does not answer this member. It may not answer this daemon either, which would
/// notice only at the end of its wait.
pub(crate) fn peer_lost_host(node: &Node, peer: MemberKey) {
    if node.fleet.is_in_own_zone(peer) {
        let now = node.clock.now();
        node.fleet.contact.borrow_mut().lost_platform(peer, now);
    }
    node.fleet.host_doubted.notify_waiters();
}
