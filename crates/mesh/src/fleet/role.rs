//! How a daemon learns of versions: whether it follows the host for its zone, is told by those
//! that do, or asks the host for itself.

use std::rc::Rc;
use std::time::Duration;

use stoatstep_calls::Time;
use stoatstep_distribution::PollRole;
use stoatstep_telemetry::fields;

use super::{contact, gossip};
use crate::node::Node;

/// Time without word of the host's newest version from which a daemon asks for
/// itself. Two failed waits of the daemons that ask for the zone; word of them
/// takes some exchanges to come round.
const SILENCE: Duration = Duration::from_secs(8);

/// Age of the process from which it waits for changes on behalf of its zone although it
/// may not have met its zone. Until it has, it takes itself for one of the two that do,
/// and in a start of all every daemon would open a wait that lasts for seconds, for
/// nothing. What is written meanwhile is seen when the wait begins, since
/// it goes on from the first read.
const MEETS_ZONE_WITHIN: Duration = Duration::from_secs(2);

/// The same in a first start, where daemons meet only after they have looked at the list.
const MEETS_ZONE_AT_FIRST: Duration = Duration::from_secs(4);

/// Notes the role, with one line where this daemon begins to learn of versions in another way.
pub(super) fn take(node: &Node, role: PollRole) {
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

/// Age of the process from which it has met its zone, whoever is missing.
pub(super) fn meets_zone_until(node: &Node) -> Time {
    if node.cfg.is_first_start {
        MEETS_ZONE_AT_FIRST
    } else {
        MEETS_ZONE_WITHIN
    }
}

/// Whether this daemon most likely knows but a part of its zone.
pub(crate) fn is_meeting_zone(node: &Node) -> bool {
    let membership = node.fleet.membership.borrow();
    let has_strangers = node.cfg.is_first_start || membership.is_meeting_zone();
    has_strangers && node.clock.now() < meets_zone_until(node)
}

/// Whether this daemon waits for changes of the host on behalf of its zone: one that has
/// just started does not yet.
pub(super) fn waits_for_zone(node: &Node) -> bool {
    node.fleet.role.get() == Some(PollRole::Poller) && !is_meeting_zone(node)
}

/// Whether it is on this daemon to follow the host on behalf of its zone.
pub(crate) fn follows_host(node: &Node) -> bool {
    chosen(node) == PollRole::Poller
}

/// Whether other daemons are out of reach, and it is on this one to ask the host for what
/// they found: it follows the host for a zone that is apart from another one, or in
/// place of one that is silent, or is alone.
pub(super) fn catches_up_by_host(node: &Node) -> bool {
    if node.fleet.reaches_host.get() != Some(true) {
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

fn chosen(node: &Node) -> PollRole {
    let zone = contact::eligible(node);
    let membership = node.fleet.membership.borrow();
    let head_age = membership.head_age(node.clock.now());
    let role = PollRole::of(membership.me(), &zone, head_age, SILENCE);
    // It has lost the host, and others of the zone have not.
    let is_passed_over = !zone.contains(&membership.me());
    match role {
        PollRole::Poller if is_passed_over => PollRole::Idle,
        role => role,
    }
}

/// Whether others tell this daemon what its zone has to know: it is one of those that follow
/// the host for it, whether that answers them or not.
pub(crate) fn hears_for_zone(node: &Node) -> bool {
    let zone = gossip::own_zone(node).into_iter();
    let zone: Vec<_> = zone.map(|(key, _)| key).collect();
    let me = node.fleet.membership.borrow().me();
    PollRole::polls(me, &zone) || follows_host(node)
}

/// The role that this daemon acts in: one that others should tell asks for itself where
/// none of them answers, or where it has nothing yet.
pub(super) async fn present(node: &Rc<Node>) -> PollRole {
    let role = chosen(node);
    // In a first start the configuration may not be written yet, and those that follow
    // the host tell of it. Later, callers wait for whoever has none.
    let can_wait = node.fleet.in_force().is_some() || node.cfg.is_first_start;
    if role != PollRole::Idle || (can_wait && contact::leaves_host_to_others(node).await) {
        return role;
    }
    PollRole::OnOwnBehalf
}
