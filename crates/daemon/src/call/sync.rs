//! Updates the call tables from the configuration in force and the membership.

use std::collections::BTreeSet;
use std::rc::Rc;

use stoatstep_calls::{AdmissionConfig, Candidate, CandidateState};
use stoatstep_resource::{Kind, ServiceName, UpstreamName, Version};

use crate::in_force::InForce;
use crate::node::Node;

/// Applies the sets of upstreams and the slots of the configuration version in force, and returns
/// that version. It is cheap if nothing changed, so it is called before each decision that
/// depends on a set.
pub(super) fn apply_config(node: &Rc<Node>) -> Version {
    let in_force = node.control.in_force();
    let version = in_force.state.version();
    let mut tables = node.calls.executor.borrow_mut();
    if tables.applied_version == Some(version) {
        return version;
    }
    if version == 0 {
        return 0;
    }
    let contiguous = tables
        .applied_version
        .is_some_and(|applied| is_contiguous(node, applied, version));
    let wall = node.calls.clock.wall();
    for (service, names) in upstream_sets(&in_force) {
        tables
            .homes
            .apply_set(&service, names, version, contiguous, wall);
    }
    tables.applied_version = Some(version);
    if let Some(upstream) = in_force.upstream(&node.cfg.upstream) {
        let cfg = AdmissionConfig::for_slots(upstream.slots);
        tables.admission.set_config(cfg);
    }
    version
}

/// Whether at most one of the versions after `applied` changed a set, so that no set in between
/// was missed.
fn is_contiguous(node: &Rc<Node>, applied: Version, version: Version) -> bool {
    if applied + 1 == version {
        return true;
    }
    let Ok(deltas) = node.control.deltas_after(applied) else {
        return false;
    };
    let upstream_changes = deltas.iter().filter(|delta| {
        let put = delta.puts.iter().any(|it| it.kind() == Kind::Upstream);
        put || delta.deletes.iter().any(|it| it.kind == Kind::Upstream)
    });
    upstream_changes.count() <= 1
}

fn upstream_sets(in_force: &InForce) -> Vec<(ServiceName, BTreeSet<UpstreamName>)> {
    let services = in_force.state.of_kind(Kind::Service);
    let names = services.map(|held| held.resource.key().name);
    let set = |name: &ServiceName| in_force.upstreams_of(name).iter().cloned().collect();
    names.map(|name| (name.clone(), set(&name))).collect()
}

/// Updates the router's candidates and removes what belongs to services and members that no
/// longer exist.
pub(super) fn update_candidates(node: &Rc<Node>) {
    let in_force = node.control.in_force();
    let now = node.calls.clock.now();
    let mut tables = node.calls.entry.borrow_mut();
    let sets = upstream_sets(&in_force);
    for (service, names) in &sets {
        let listed = names
            .iter()
            .filter_map(|name| candidate(node, &in_force, name));
        let list: Vec<Candidate> = listed.collect();
        tables.router.set_candidates(service, &list, now);
    }
    let is_known = |name: &ServiceName| sets.iter().any(|(it, _)| it == name);
    tables.router.retain_services(is_known);
    tables.budgets.retain(|name, _| is_known(name));
    let members = node.control.members();
    let is_member = |addr| members.iter().any(|it| it.peer_addr == addr);
    tables.limits.retain(|addr| is_member(*addr));
    drop(tables);
    node.calls.peers.retain(is_member);
}

fn candidate(node: &Rc<Node>, in_force: &InForce, name: &UpstreamName) -> Option<Candidate> {
    let member = node.control.members_serving(name).pop()?;
    let upstream = in_force.upstream(name)?;
    let own = member.peer_addr == node.cfg.peer_addr;
    let leaving = member.leaving || own && node.draining.get();
    Some(Candidate {
        upstream: name.clone(),
        zone: member.zone,
        incarnation: member.birth,
        state: if leaving {
            CandidateState::Leaving
        } else {
            CandidateState::Ready
        },
        slots: upstream.slots,
        software: smol_str::SmolStr::default(),
    })
}
