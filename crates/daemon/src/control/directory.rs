//! Index of the present members by upstream, as calls look them up.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use smol_str::SmolStr;
use stoatstep_membership::{self as membership, MemberState, Table};
use stoatstep_resource::{InstanceId, UpstreamName, ZoneName};

/// An instance of the fleet; it may be this one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Member {
    pub(crate) instance: InstanceId,
    pub(crate) region: SmolStr,
    pub(crate) zone: ZoneName,
    pub(crate) upstream: UpstreamName,
    pub(crate) caller_addr: SocketAddr,
    pub(crate) peer_addr: SocketAddr,
    pub(crate) operator_addr: SocketAddr,
    /// Incarnation with which its process started. It stays the same until the process
    /// ends, also when the member refutes a suspicion with a higher incarnation.
    pub(crate) birth: u64,
    /// Whether it is leaving: it takes no new calls, but still answers questions about
    /// those it ran.
    pub(crate) leaving: bool,
}

impl From<&membership::Member> for Member {
    fn from(member: &membership::Member) -> Self {
        Self {
            instance: member.instance.clone(),
            region: member.region.clone(),
            zone: member.zone.clone(),
            upstream: member.upstream.clone(),
            caller_addr: member.caller,
            peer_addr: member.peer,
            operator_addr: member.operator,
            birth: member.birth,
            leaving: member.state == MemberState::Leaving,
        }
    }
}

/// Present members by upstream. Calls look up members for each attempt, so this index
/// saves them a scan of the whole member table.
#[derive(Debug, Default)]
pub(super) struct Directory {
    by_upstream: BTreeMap<UpstreamName, Vec<Member>>,
}

impl Directory {
    pub(super) fn new(table: &Table) -> Self {
        let mut by_upstream: BTreeMap<_, Vec<Member>> = BTreeMap::new();
        for (_, entry) in table.present() {
            let member = Member::from(&entry.member);
            let upstream = member.upstream.clone();
            by_upstream.entry(upstream).or_default().push(member);
        }
        for members in by_upstream.values_mut() {
            // When an instance was replaced under the same upstream, both may still
            // be known. The newest one that isn't leaving comes last, and the last
            // one is used.
            members.sort_by_key(|it| (!it.leaving, it.birth));
        }
        Self { by_upstream }
    }

    pub(super) fn members_serving(&self, upstream: &str) -> Vec<Member> {
        self.by_upstream.get(upstream).cloned().unwrap_or_default()
    }

    pub(super) fn members(&self) -> Vec<Member> {
        self.by_upstream.values().flatten().cloned().collect()
    }
}
