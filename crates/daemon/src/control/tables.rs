//! The tables that calls and operators read.

use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use ntex::channel::condition::{Condition, Waiter};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use stoatstep_resource::wire::{MemberState, MemberStatus, QuarantineStatus, VersionHold};
use stoatstep_resource::{ApplyError, Delta, InstanceId, State, UpstreamName, Version, ZoneName};

use crate::config::Config;
use crate::in_force::InForce;
use crate::node::Node;

/// Deltas kept for watches and for peers that are a little behind.
const RETAINED_DELTAS: usize = 256;

/// Another instance, as it announced itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Member {
    pub(crate) instance: InstanceId,
    pub(crate) region: SmolStr,
    pub(crate) zone: ZoneName,
    pub(crate) upstream: UpstreamName,
    pub(crate) caller_addr: SocketAddr,
    pub(crate) peer_addr: SocketAddr,
    pub(crate) operator_addr: SocketAddr,
}

/// What the whole fleet reports.
#[derive(Clone, Debug, Default)]
pub(crate) struct FleetStatus {
    pub(crate) members: Vec<MemberStatus>,
    pub(crate) holds: Vec<VersionHold>,
    pub(crate) quarantine: Vec<QuarantineStatus>,
}

/// The deltas asked for are no longer held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Trimmed;

/// Configuration and membership as this daemon knows them.
pub(crate) struct Control {
    in_force: RefCell<Rc<InForce>>,
    deltas: RefCell<VecDeque<Arc<Delta>>>,
    members: RefCell<BTreeMap<InstanceId, Member>>,
    changed: Condition,
}

impl Control {
    pub(crate) fn new(_cfg: &Config) -> Self {
        let empty = InForce::new(Arc::new(State::default()));
        Self {
            in_force: RefCell::new(Rc::new(empty)),
            deltas: RefCell::default(),
            members: RefCell::default(),
            changed: Condition::default(),
        }
    }

    /// The version in force; the caller keeps it for as long as it needs one
    /// consistent view.
    pub(crate) fn in_force(&self) -> Rc<InForce> {
        Rc::clone(&self.in_force.borrow())
    }

    /// Every instance known.
    pub(crate) fn members(&self) -> Vec<Member> {
        self.members.borrow().values().cloned().collect()
    }

    /// The instances that announced themselves as `upstream`.
    pub(crate) fn serving(&self, upstream: &str) -> Vec<Member> {
        let members = self.members.borrow();
        let serving = members.values().filter(|it| it.upstream == upstream);
        serving.cloned().collect()
    }

    pub(crate) fn set_members(&self, members: Vec<Member>) {
        let by_id = members.into_iter().map(|it| (it.instance.clone(), it));
        *self.members.borrow_mut() = by_id.collect();
    }

    /// Puts the next version in force, or leaves everything as it was.
    pub(crate) fn apply(&self, delta: Delta) -> Result<(), ApplyError> {
        let next = self.in_force().state.apply(&delta)?;
        let mut deltas = self.deltas.borrow_mut();
        deltas.push_back(Arc::new(delta));
        if deltas.len() > RETAINED_DELTAS {
            deltas.pop_front();
        }
        self.swap(Arc::new(next));
        Ok(())
    }

    /// Puts a whole state in force if it is newer than the one held.
    pub(crate) fn replace(&self, state: Arc<State>) {
        if state.version() > self.in_force().state.version() {
            self.deltas.borrow_mut().clear();
            self.swap(state);
        }
    }

    /// The deltas after `version`, oldest first.
    pub(crate) fn deltas_after(&self, version: Version) -> Result<Vec<Arc<Delta>>, Trimmed> {
        let held = self.in_force().state.version();
        let deltas = self.deltas.borrow();
        let first = deltas.front().map_or(held + 1, |it| it.version);
        if version + 1 < first {
            return Err(Trimmed);
        }
        Ok(deltas
            .iter()
            .filter(|it| it.version > version)
            .cloned()
            .collect())
    }

    /// The newest version received, in force or not.
    pub(crate) fn version_held(&self) -> Version {
        self.in_force().state.version()
    }

    /// Whether a configuration is held by which calls can be served.
    pub(crate) fn may_serve(&self) -> bool {
        self.version_held() > 0
    }

    /// Where each version holds, as far as this daemon knows.
    #[allow(clippy::unused_async)]
    pub(crate) async fn fleet_status(&self, _node: &Rc<Node>) -> FleetStatus {
        let members = self.members().into_iter().map(|it| MemberStatus {
            instance: it.instance,
            region: it.region,
            zone: it.zone,
            upstream: it.upstream,
            incarnation: 0,
            state: MemberState::Alive,
            version: 0,
            since_unix_ms: 0,
        });
        FleetStatus {
            members: members.collect(),
            ..FleetStatus::default()
        }
    }

    /// Ends when the version in force changes.
    pub(crate) fn changed(&self) -> Waiter {
        self.changed.wait()
    }

    fn swap(&self, state: Arc<State>) {
        *self.in_force.borrow_mut() = Rc::new(InForce::new(state));
        self.changed.notify();
    }
}
