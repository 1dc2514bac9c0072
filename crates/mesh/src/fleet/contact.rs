//! Checks that the daemons which follow the store for this zone are there to announce new versions.
//!
//! Versions are announced unasked, so a daemon that receives nothing cannot tell whether there is
//! nothing to announce. It therefore asks the followers at intervals shorter than the time within
//! which a version has to be in force, and [polls the store itself](super::configuration) as soon
//! as none of them answers. A follower that has lost the store notifies all daemons at once: others
//! of its zone take its place, and the other followers ask the store again.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rand::RngExt;
use stoatstep_membership::MemberKey;

use super::gossip::{self, PeerAddress};
use super::{role, versions};
use crate::node::Node;
use crate::wire::{Ask, Following, Reply};

/// Time between two checks, and the timeout of one, as fractions of the time within which a version
/// has to be in force. After the longest delay, two timeouts and a request to the store fit into
/// that time.
const CHECK_INTERVAL: f64 = 0.3;
const ANSWER_TIMEOUT: f64 = 0.15;

/// Timeouts after which no further follower is asked: there is no time for more, and the whole zone
/// may be unreachable.
const MAX_TIMEOUTS: u32 = 2;

/// Time until a daemon of a zone that starts as a whole has begun to follow the store, in addition
/// to the time in which it meets its zone. In a first start there are no callers yet, and the last
/// daemons may start seconds after the first ones.
const FOLLOW_DELAY: Duration = Duration::from_secs(1);
const FIRST_START_FOLLOW_DELAY: Duration = Duration::from_secs(3);

/// Waits until the next check is due, or until a member reports that it has lost the store.
pub(super) async fn pause(node: &Node) {
    let share = rand::rng().random_range(0.75..1.25);
    let pause = node.cfg.apply_within.mul_f64(CHECK_INTERVAL * share);
    tokio::select! {
        () = tokio::time::sleep(pause) => {}
        () = node.fleet.store_doubted.notified() => {}
    }
}

/// Members of the own zone from which its followers are chosen.
pub(super) fn eligible(node: &Node) -> Vec<MemberKey> {
    let zone: Vec<_> = gossip::own_zone(node).iter().map(|(key, _)| *key).collect();
    let contact = node.fleet.contact.borrow();
    contact.eligible(&zone, node.clock.now())
}

/// Whether this daemon may leave polling to others, because a follower of its zone answers. While
/// the zone starts, nobody follows the store yet, and the daemon assumes that someone will.
///
/// A follower that has lost the store is skipped, and its replacement is asked. If all that answer
/// have lost it, the store is unreachable from the zone, and another daemon would not reach it
/// either.
pub(super) async fn can_rely_on_followers(node: &Rc<Node>) -> bool {
    let follow_delay = if node.cfg.is_first_start {
        FIRST_START_FOLLOW_DELAY
    } else {
        FOLLOW_DELAY
    };
    if node.clock.now() < role::zone_discovery_end(node) + follow_delay {
        return true;
    }
    let mut asked = Vec::new();
    let mut timeouts = 0;
    let mut all_lost_store = true;
    while timeouts < MAX_TIMEOUTS
        && let Some((key, addr)) = next_follower(node, &asked)
    {
        asked.push(key);
        match ask(node, key, addr).await {
            Some(Following::Follows) => return true,
            Some(Following::LostStore) => {}
            Some(Following::No) => all_lost_store = false,
            None => {
                timeouts += 1;
                all_lost_store = false;
            }
        }
    }
    all_lost_store && !asked.is_empty()
}

/// The followers of the own zone, as far as this daemon knows.
pub(super) fn followers(node: &Node) -> impl Iterator<Item = PeerAddress> {
    let eligible = eligible(node);
    let mut zone = gossip::own_zone(node);
    zone.retain(|(key, _)| eligible.contains(key));
    gossip::followers_of(zone)
}

fn next_follower(node: &Node, asked: &[MemberKey]) -> Option<PeerAddress> {
    let me = node.fleet.membership.borrow().me();
    let others = followers(node).filter(|(key, _)| *key != me && !asked.contains(key));
    let followers = others.collect();
    let in_turn = node.fleet.contact.borrow_mut().round_robin(followers);
    in_turn.into_iter().next()
}

async fn ask(node: &Rc<Node>, key: MemberKey, addr: SocketAddr) -> Option<Following> {
    let bound = node.cfg.apply_within.mul_f64(ANSWER_TIMEOUT);
    let reply = node.links.ask_within(addr, Ask::Following, bound).await;
    let now = node.clock.now();
    let mut contact = node.fleet.contact.borrow_mut();
    let Ok(Reply::Following(following, config_id)) = reply else {
        contact.mark_silent(key, now);
        node.journal.count("host.followers_missed");
        return None;
    };
    match following {
        Following::Follows => contact.mark_healthy(key),
        Following::LostStore => contact.lost_platform(key, now),
        Following::No => {}
    }
    drop(contact);
    versions::pull_if_newer(node, key, addr, config_id);
    Some(following)
}

/// Answers [`Ask::Following`] of another daemon in the zone.
pub(crate) fn answer(node: &Node) -> Reply {
    let config_id = node.fleet.membership.borrow().config_id();
    let following = if node.fleet.reaches_store.get() == Some(false) {
        Following::LostStore
    } else if role::polls_for_zone(node) {
        Following::Follows
    } else {
        Following::No
    };
    Reply::Following(following, config_id)
}

/// Records that the store answers this daemon.
pub(super) fn store_answered(node: &Node) {
    let me = node.fleet.membership.borrow().me();
    node.fleet.contact.borrow_mut().mark_healthy(me);
}

/// Records that the store does not answer this daemon. The daemons that rely on it are notified at
/// once, since their time is shorter than the interval of their checks.
pub(super) fn lost_store(node: &Rc<Node>) {
    let me = node.fleet.membership.borrow().me();
    let now = node.clock.now();
    let mut contact = node.fleet.contact.borrow_mut();
    let is_new_loss = !contact.has_lost_platform(me, now);
    contact.lost_platform(me, now);
    drop(contact);
    if is_new_loss && role::polls_for_zone(node) {
        gossip::notify_fleet(node, &Ask::LostStore(me));
    }
}

/// Records that the store does not answer a member. It may not answer this daemon either, which
/// would notice only at the end of its wait.
pub(crate) fn peer_lost_store(node: &Node, peer: MemberKey) {
    if node.fleet.is_in_own_zone(peer) {
        let now = node.clock.now();
        node.fleet.contact.borrow_mut().lost_platform(peer, now);
    }
    node.fleet.store_doubted.notify_waiters();
}
