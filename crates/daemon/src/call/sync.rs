//! Brings the call tables up to the configuration and membership in force.

use std::collections::BTreeSet;
use std::rc::Rc;

use stoatstep_calls::{AdmissionConfig, Candidate, CandidateState};
use stoatstep_resource::{Kind, ServiceName, UpstreamName, Version};

use crate::in_force::InForce;
use crate::node::Node;

/// Notes the sets of upstreams and the slots of the version in force, which it
/// returns. Cheap where nothing changed, so that each decision that rests on a
/// set can call it first.
pub(super) fn config(node: &Rc<Node>) -> Version {
    let in_force = node.control.in_force();
    let version = in_force.state.version();
    let mut tables = node.calls.executor.borrow_mut();
    if tables.noted == Some(version) {
        return version;
    }
    if version == 0 {
        return 0;
    }
    let follows = tables
        .noted
        .is_some_and(|noted| sets_follow(node, noted, version));
    let wall = node.calls.clock.wall();
    for (service, names) in sets(&in_force) {
        tables
            .homes
            .apply_set(&service, names, version, follows, wall);
    }
    tables.noted = Some(version);
    if let Some(upstream) = in_force.upstream(&node.cfg.upstream) {
        let cfg = AdmissionConfig::for_slots(upstream.slots);
        tables.admission.set_config(cfg);
    }
    version
}

/// Whether at most one of the versions between changed a set, so that no set in
/// between was missed.
fn sets_follow(node: &Rc<Node>, noted: Version, version: Version) -> bool {
    if noted + 1 == version {
        return true;
    }
    let Ok(deltas) = node.control.deltas_after(noted) else {
        return false;
    };
    let changes_sets = deltas.iter().filter(|delta| {
        let put = delta.puts.iter().any(|it| it.kind() == Kind::Upstream);
        put || delta.deletes.iter().any(|it| it.kind == Kind::Upstream)
    });
    changes_sets.count() <= 1
}

fn sets(in_force: &InForce) -> Vec<(ServiceName, BTreeSet<UpstreamName>)> {
    let services = in_force.state.of_kind(Kind::Service);
    let names = services.map(|held| held.resource.key().name);
    let set = |name: &ServiceName| in_force.upstreams_of(name).iter().cloned().collect();
    names.map(|name| (name.clone(), set(&name))).collect()
}

/// Brings the router's candidates up to date.
pub(super) fn candidates(node: &Rc<Node>) {
    let in_force = node.control.in_force();
    let now = node.calls.clock.now();
    let mut tables = node.calls.entry.borrow_mut();
    let sets = sets(&in_force);
    for (service, names) in &sets {
        let known = names
            .iter()
            .filter_map(|name| candidate(node, &in_force, name));
        let list: Vec<Candidate> = known.collect();
        tables.router.set_candidates(service, &list, now);
    }
    let is_known = |name: &ServiceName| sets.iter().any(|(it, _)| it == name);
    tables.router.retain_services(is_known);
    tables.budgets.retain(|name, _| is_known(name));
    drop(tables);
    let members = node.control.members();
    let is_member = |addr| members.iter().any(|it| it.peer_addr == addr);
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
