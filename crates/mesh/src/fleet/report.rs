//! Log lines and counters about members.

use stoatstep_membership::{Disbelief, MemberKey};
use stoatstep_telemetry::fields;

use crate::node::Node;

/// Logs a change in the believed state of a member.
pub(super) fn log_member(node: &Node, key: MemberKey) {
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

/// Logs and counts a row or state update that was not believed.
pub(super) fn log_disbelief(node: &Node, disbelief: &Disbelief) {
    node.journal.count("rows.not_believed");
    let Some(left_out) = node.journal.admits("not believed", node.clock.now()) else {
        return;
    };
    slog::warn!(node.log, "row not believed";
        fields::INSTANCE => %disbelief.instance, fields::FIELD => disbelief.field,
        fields::STATED => disbelief.stated, fields::KNOWN => disbelief.known,
        fields::LEFT_OUT => left_out);
}
