//! Role of a daemon in learning of new versions. It follows the store for its zone, that is, polls
//! it and notifies the others; or it is notified by the followers; or it polls on its own behalf.

use std::rc::Rc;
use std::time::Duration;

use stoatstep_calls::Time;
use stoatstep_distribution::PollRole;
use stoatstep_telemetry::fields;

use super::{contact, gossip};
use crate::node::Node;

/// Age of the last confirmed newest version from which a daemon polls on its own behalf. It covers
/// two failed waits of the zone's followers, and some exchanges until all daemons know of them.
const MAX_HEAD_AGE: Duration = Duration::from_secs(8);

/// Age of the process from which it waits for changes on behalf of its zone even if it may not have
/// met its zone. Until it has, it takes itself for one of the two followers, and in a start of the
/// whole fleet every daemon would open a needless wait of several seconds. Changes written
/// meanwhile are not missed, since the wait continues from the first read.
const ZONE_DISCOVERY: Duration = Duration::from_secs(2);

/// Value of `ZONE_DISCOVERY` for a first start, in which daemons meet only after they have read the
/// roster.
const FIRST_START_ZONE_DISCOVERY: Duration = Duration::from_secs(4);

/// Records the role, and logs it if it has changed.
pub(super) fn set(node: &Node, role: PollRole) {
    if node.fleet.role.replace(Some(role)) == Some(role) {
        return;
    }
    let now = node.clock.now();
    let Some(left_out) = node.journal.admits("role", now) else {
        return;
    };
    let age = node.fleet.membership.borrow().head_age(now);
    slog::info!(node.log, "way to versions changed"; fields::STATE => ?role,
        fields::AGE_MS => age.map(|it| it.as_millis()), fields::LEFT_OUT => left_out);
}

/// Age of the process from which it counts as having met its zone, even if members are missing.
pub(super) fn zone_discovery_end(node: &Node) -> Time {
    if node.cfg.is_first_start {
        FIRST_START_ZONE_DISCOVERY
    } else {
        ZONE_DISCOVERY
    }
}

/// Whether this daemon probably knows only a part of its zone.
pub(crate) fn is_discovering_zone(node: &Node) -> bool {
    let membership = node.fleet.membership.borrow();
    let may_miss_members = node.cfg.is_first_start || membership.has_unconfirmed_in_zone();
    may_miss_members && node.clock.now() < zone_discovery_end(node)
}

/// Whether this daemon has met anyone, or has read that there is nobody to meet. Until then the
/// members that it knows say nothing about how many there are.
pub(crate) fn has_met_fleet(node: &Node) -> bool {
    node.fleet.roster_read_at.get().is_some() || node.fleet.size() > 1
}

/// Whether this daemon waits for changes of the store on behalf of its zone; false for one that has
/// just started.
pub(super) fn polls_for_zone(node: &Node) -> bool {
    node.fleet.role.get() == Some(PollRole::Poller) && !is_discovering_zone(node)
}

/// Whether this daemon is chosen to follow the store for its zone.
pub(crate) fn follows_store(node: &Node) -> bool {
    assigned(node) == PollRole::Poller
}

/// Whether this daemon has to read from the store what daemons out of its reach found. That is so
/// for a follower of a zone that is partitioned from another one, for one that replaces a silent
/// follower, and for a daemon that is alone.
pub(super) fn reads_findings_from_store(node: &Node) -> bool {
    if node.fleet.reaches_store.get() != Some(true) {
        return false;
    }
    match node.fleet.role.get() {
        Some(PollRole::OnOwnBehalf) => node.fleet.in_force().is_some(),
        Some(PollRole::Poller) => {
            let misses_follower = node.fleet.contact.borrow().any_silent(node.clock.now());
            misses_follower || !node.fleet.membership.borrow().reaches_every_zone()
        }
        Some(PollRole::Idle) | None => false,
    }
}

fn assigned(node: &Node) -> PollRole {
    let zone = contact::eligible(node);
    let membership = node.fleet.membership.borrow();
    let head_age = membership.head_age(node.clock.now());
    let role = PollRole::of(membership.me(), &zone, head_age, MAX_HEAD_AGE);
    // It has lost the store, and other daemons of the zone have not.
    let is_replaced = !zone.contains(&membership.me());
    match role {
        PollRole::Poller if is_replaced => PollRole::Idle,
        role => role,
    }
}

/// Whether other daemons send this one the messages for its zone: it is among the zone's followers,
/// even if the store does not answer it.
pub(crate) fn receives_for_zone(node: &Node) -> bool {
    let zone = gossip::own_zone(node).into_iter();
    let zone: Vec<_> = zone.map(|(key, _)| key).collect();
    let me = node.fleet.membership.borrow().me();
    PollRole::polls(me, &zone) || follows_store(node)
}

/// The role in which this daemon acts. A daemon that relies on followers polls on its own behalf if
/// none of them answers, or if it has no configuration yet.
pub(super) async fn current(node: &Rc<Node>) -> PollRole {
    let role = assigned(node);
    // In a first start the configuration may not have been written yet, and the followers announce
    // it. Later, callers wait for a daemon that has none.
    let can_wait = node.fleet.in_force().is_some() || node.cfg.is_first_start;
    if role != PollRole::Idle || (can_wait && contact::can_rely_on_followers(node).await) {
        return role;
    }
    PollRole::OnOwnBehalf
}
