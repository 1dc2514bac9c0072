//! Status of the fleet, for operators.

use std::collections::BTreeMap;
use std::rc::Rc;

use stoatstep_distribution::Holdings;
use stoatstep_membership::{Entry, MemberKey, MemberState, Table};
use stoatstep_resource::InstanceId;
use stoatstep_resource::wire::{self, InForceStatus, MemberStatus, QuarantineStatus};

use super::collect;
use super::tables::Control;
use crate::node::Node;

/// Members, versions in force and refused versions of the whole fleet.
#[derive(Clone, Debug, Default)]
pub(crate) struct FleetStatus {
    pub(crate) members: Vec<MemberStatus>,
    pub(crate) holds: Vec<InForceStatus>,
    pub(crate) quarantine: Vec<QuarantineStatus>,
}

impl Control {
    /// Asks the fleet which version is in force on each instance, and returns its
    /// status.
    pub(crate) async fn fleet_status(&self, node: &Rc<Node>) -> FleetStatus {
        let holdings = collect::fleet(node).await;
        let membership = self.membership.borrow();
        let names = names(membership.table());
        FleetStatus {
            members: members(membership.table(), &holdings),
            holds: holds(&holdings, &names),
            quarantine: quarantine(&holdings, &names),
        }
    }
}

type Names = BTreeMap<MemberKey, InstanceId>;

fn names(table: &Table) -> Names {
    let name = |(key, entry): (MemberKey, &Entry)| (key, entry.member.instance.clone());
    table.iter().map(name).collect()
}

fn members(table: &Table, holdings: &Holdings) -> Vec<MemberStatus> {
    let mut in_force = BTreeMap::new();
    for (version, holds) in &holdings.holds {
        for hold in holds {
            in_force.insert(hold.member, (*version, hold.since_unix_ms));
        }
    }
    let confirmed = table.iter().filter(|(_, entry)| entry.confirmed);
    let mut members: Vec<_> = confirmed
        .map(|(key, entry)| member(entry, in_force.get(&key).copied()))
        .collect();
    members.sort_by(|a, b| a.instance.cmp(&b.instance));
    members
}

/// Returns the status of one member. `in_force` is the version in force and the time
/// since when, from the member's answer; for a member that did not answer, the version
/// that it last reported is shown.
fn member(entry: &Entry, in_force: Option<(u64, u64)>) -> MemberStatus {
    let (version, since_unix_ms) = in_force.unwrap_or((entry.version, 0));
    let member = &entry.member;
    MemberStatus {
        instance: member.instance.clone(),
        region: member.region.clone(),
        zone: member.zone.clone(),
        upstream: member.upstream.clone(),
        incarnation: member.incarnation,
        state: match member.state {
            MemberState::Alive if entry.unreached => wire::MemberState::Suspect,
            MemberState::Alive => wire::MemberState::Alive,
            MemberState::Suspect => wire::MemberState::Suspect,
            MemberState::Leaving => wire::MemberState::Leaving,
            MemberState::Dead => wire::MemberState::Gone,
        },
        version,
        since_unix_ms,
    }
}

fn holds(holdings: &Holdings, names: &Names) -> Vec<InForceStatus> {
    let newest_first = holdings.holds.iter().rev();
    newest_first
        .map(|(version, holds)| {
            let mut instances: Vec<_> = holds
                .iter()
                .filter_map(|hold| names.get(&hold.member).cloned())
                .collect();
            instances.sort();
            let since = holds.iter().map(|hold| hold.since_unix_ms);
            InForceStatus {
                version: *version,
                instances,
                since_unix_ms: since.min().unwrap_or(0),
            }
        })
        .collect()
}

fn quarantine(holdings: &Holdings, names: &Names) -> Vec<QuarantineStatus> {
    let refusals = holdings.refusals.iter();
    refusals
        .map(|it| QuarantineStatus {
            version: it.version,
            reason: it.reason.clone(),
            instances: it
                .members
                .iter()
                .filter_map(|key| names.get(key).cloned())
                .collect(),
        })
        .collect()
}
