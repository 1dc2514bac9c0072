//! The members of a service, by side of a roll-out.

use std::net::SocketAddr;

use stoatstep_membership::{MemberKey, MemberState};
use stoatstep_resource::UpstreamName;

use crate::node::Node;

/// A target and its daemon.
#[derive(Clone, Debug)]
pub(super) struct Peer {
    pub(super) key: MemberKey,
    pub(super) addr: SocketAddr,
    pub(super) upstream: UpstreamName,
}

/// The members of a service that are alive and take calls, and the number of known members of the
/// old side in any state.
#[derive(Clone, Debug, Default)]
pub(super) struct View {
    pub(super) new: Vec<Peer>,
    pub(super) old: Vec<Peer>,
    pub(super) old_known: usize,
}

impl View {
    /// The members of a service, divided by whether they run `target`, the new version.
    pub(super) fn of(node: &Node, service: &str, target: &str) -> Self {
        let mut view = Self::default();
        node.fleet.for_each_member(|key, entry| {
            let member = &entry.member;
            let announced = member.announced.as_ref();
            let Some(announced) = announced.filter(|it| it.service == service) else {
                return;
            };
            let is_new = announced.software == target;
            view.old_known += usize::from(!is_new);
            if member.state != MemberState::Alive || announced.draining {
                return;
            }
            let side = if is_new { &mut view.new } else { &mut view.old };
            side.push(Peer {
                key,
                addr: member.peer,
                upstream: announced.upstream.clone(),
            });
        });
        view
    }

    /// The daemons that advance the roll-out: those of the new side, or of the old side if the new
    /// one has none.
    pub(super) fn deciders(&self) -> &[Peer] {
        if self.new.is_empty() {
            &self.old
        } else {
            &self.new
        }
    }
}
