//! Whether this daemon would hear of a version from those that follow the host for its zone.
//!
//! Word of a version comes unasked, and a daemon that hears nothing can't tell whether
//! there is nothing to hear. So it asks them from time to time, more often than a version
//! has to be in force, and [asks the host for itself](super::configuration) as soon as none
//! of them answers.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rand::RngExt;
use stoatstep_membership::MemberKey;

use super::gossip::{self, Addressed};
use super::{configuration, versions};
use crate::node::Node;
use crate::wire::{Ask, Reply};

/// Time between two questions, and for an answer, as parts of the time in which a version
/// has to be in force. Two answers that never come fit into it after the longest pause, and
/// a question to the host.
const ASKS_EVERY: f64 = 0.3;
const ANSWER_BOUND: f64 = 0.15;

/// Time until a daemon of a zone that starts as a whole has begun to follow the host,
/// beyond the time for which it meets its zone. In a first start nobody calls yet, and
/// the last daemons may start seconds after the first ones.
const STARTS_TO_FOLLOW: Duration = Duration::from_secs(1);
const STARTS_AT_FIRST: Duration = Duration::from_secs(3);

/// Pause until the next question.
pub(super) fn pause(node: &Node) -> Duration {
    let share = rand::rng().random_range(0.75..1.25);
    node.cfg.apply_within.mul_f64(ASKS_EVERY * share)
}

/// Members of the own zone, this daemon included, but for those that are silent to it.
pub(super) fn heard_zone(node: &Node) -> Vec<Addressed> {
    let now = node.clock.now();
    let contact = node.fleet.contact.borrow();
    let zone = gossip::own_zone(node).into_iter();
    zone.filter(|(key, _)| !contact.is_silent(*key, now))
        .collect()
}

/// Whether one of those that follow the host for the zone answers. While the zone starts,
/// nobody follows the host yet, and the daemon takes it that someone will.
pub(super) async fn reaches_follower(node: &Rc<Node>) -> bool {
    let starts = if node.cfg.is_first_start {
        STARTS_AT_FIRST
    } else {
        STARTS_TO_FOLLOW
    };
    if node.clock.now() < configuration::meets_zone_until(node) + starts {
        return true;
    }
    for (key, addr) in followers(node) {
        if answers_as_follower(node, key, addr).await {
            return true;
        }
    }
    false
}

fn followers(node: &Node) -> Vec<Addressed> {
    let followers = gossip::followers_of(heard_zone(node)).collect();
    node.fleet.contact.borrow_mut().in_turn(followers)
}

async fn answers_as_follower(node: &Rc<Node>, key: MemberKey, addr: SocketAddr) -> bool {
    let bound = node.cfg.apply_within.mul_f64(ANSWER_BOUND);
    let reply = node.links.ask_within(addr, Ask::Following, bound).await;
    let Ok(Reply::Following(follows, mark)) = reply else {
        let now = node.clock.now();
        node.fleet.contact.borrow_mut().missed(key, now);
        node.journal.count("host.followers_missed");
        return false;
    };
    node.fleet.contact.borrow_mut().answered(key);
    versions::peer_holds(node, key, addr, mark);
    follows
}

/// What this daemon answers to others of its zone. Where the host turns it away, followers
/// of other zones tell it of versions, so that makes no difference here.
pub(crate) fn answer(node: &Node) -> Reply {
    let mark = node.fleet.membership.borrow().mark();
    Reply::Following(configuration::waits_for_zone(node), mark)
}
