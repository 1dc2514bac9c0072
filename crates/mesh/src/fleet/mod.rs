//! Fleet state of this daemon: the members with the targets that they announced, and the
//! configuration in force.

mod compression;
pub(crate) mod configuration;
pub(crate) mod confirmation;
pub(crate) mod contact;
pub(crate) mod gossip;
mod report;
pub(crate) mod role;
pub(crate) mod roster;
pub(crate) mod versions;

use std::cell::{Cell, Ref, RefCell};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use stoatstep_calls::{Candidate, CandidateState, Time};
use stoatstep_distribution::{PollRole, PollerHealth};
use stoatstep_membership::{
    Config, ConfigId, Entry, Incarnation, Member, MemberKey, MemberState, Membership,
    starting_incarnation,
};
use stoatstep_resource::{InstanceId, ServiceName, State, UpstreamName};
use stoatstep_rollout::Software;
use tokio::sync::Notify;

use crate::clock::unix_time;
use crate::config::MeshConfig;
use crate::fleet_store::Era;
use crate::in_force::InForce;
use crate::link::Place;
use crate::node::Node;
use crate::quota;
use crate::rollout::{self, NewVersions};
use compression::CompressedUpdate;
use confirmation::ConfirmationState;

/// Where to send attempts for a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TargetLocation {
    /// The target runs beside this daemon.
    Local,
    /// The target's daemon listens at this address.
    Remote(SocketAddr),
}

pub(crate) struct Fleet {
    membership: RefCell<Membership>,
    in_force: RefCell<Option<Rc<InForce>>>,
    /// Earlier configurations, the newest last, from which differences for peers are computed.
    earlier_states: RefCell<VecDeque<(ConfigId, Arc<State>)>>,
    /// Compressed configuration that was last sent to a peer, reused for peers that hold the same
    /// version.
    compressed_update: RefCell<Option<CompressedUpdate>>,
    target_locations: RefCell<HashMap<UpstreamName, TargetLocation>>,
    /// Whether a rebuild of the candidates is scheduled.
    is_refresh_scheduled: Cell<bool>,
    /// When the candidates were last rebuilt.
    refreshed_at: Cell<Option<Time>>,
    /// Software versions of the targets, with the time when each first appeared.
    new_versions: RefCell<NewVersions>,
    /// Whether another rebuild is scheduled for targets that are held back for now.
    is_hold_expiry_scheduled: Cell<bool>,
    /// Whether a pull of the configuration from a peer is in progress.
    is_pulling: Cell<bool>,
    /// Whether the last request to the store was answered; `None` before the first one.
    reaches_store: Cell<Option<bool>>,
    /// How this daemon learns of new versions; `None` before it has first decided.
    role: Cell<Option<PollRole>>,
    /// Members of the own zone that currently cannot announce new versions.
    contact: RefCell<PollerHealth>,
    /// Era of the store's last answer.
    era: Cell<Option<Era>>,
    confirmation_state: RefCell<ConfirmationState>,
    /// The store was restored from an older copy, so rows that this daemon wrote may be lost.
    was_restored: Cell<bool>,
    /// Notified when the instance resumes from a suspension: pending requests to the store are to
    /// be sent again.
    resumed: Notify,
    /// Notified when another process runs under this daemon's id.
    pub(crate) superseded: Notify,
    /// Notified when a member has lost the store. This daemon may have lost it too, or the member
    /// that announces versions to it.
    store_doubted: Notify,
    /// When the roster was last read.
    roster_read_at: Cell<Option<Time>>,
    /// Whether the store notes that there were customers; `None` until the roster was read.
    had_customers: Cell<Option<bool>>,
    /// Whether this instance is on the roster.
    is_on_roster: Cell<bool>,
    /// Members that membership has removed for good, with their last incarnations. Their rows on the
    /// roster are to be deleted.
    removed_members: RefCell<Vec<(InstanceId, Incarnation)>>,
}

impl Fleet {
    pub(crate) fn new(cfg: &MeshConfig) -> Self {
        let me = own_member(cfg);
        let seed = me.key() ^ me.birth;
        Self {
            membership: RefCell::new(Membership::new(me, Config::default(), seed)),
            in_force: RefCell::default(),
            earlier_states: RefCell::default(),
            compressed_update: RefCell::default(),
            target_locations: RefCell::default(),
            is_refresh_scheduled: Cell::new(false),
            refreshed_at: Cell::new(None),
            new_versions: RefCell::default(),
            is_hold_expiry_scheduled: Cell::new(false),
            is_pulling: Cell::new(false),
            reaches_store: Cell::new(None),
            role: Cell::new(None),
            contact: RefCell::default(),
            era: Cell::new(None),
            confirmation_state: RefCell::default(),
            was_restored: Cell::new(false),
            resumed: Notify::new(),
            superseded: Notify::new(),
            store_doubted: Notify::new(),
            roster_read_at: Cell::new(None),
            had_customers: Cell::new(None),
            is_on_roster: Cell::new(false),
            removed_members: RefCell::default(),
        }
    }

    /// The configuration in force. A caller keeps the returned pointer for as long as it needs one
    /// consistent view.
    pub(crate) fn in_force(&self) -> Option<Rc<InForce>> {
        self.in_force.borrow().clone()
    }

    /// Where to send attempts for a target.
    pub(crate) fn target_location(&self, upstream: &str) -> Option<TargetLocation> {
        self.target_locations.borrow().get(upstream).copied()
    }

    /// Whether the store notes that there were customers; `None` until the roster was read.
    pub(crate) fn had_customers(&self) -> Option<bool> {
        self.had_customers.get()
    }

    /// Whether a member belongs to this daemon's own zone.
    fn is_in_own_zone(&self, key: MemberKey) -> bool {
        let membership = self.membership.borrow();
        let zone = &membership.own_entry().member.zone;
        let entry = membership.table().get(key);
        entry.is_some_and(|it| it.member.zone == *zone)
    }

    /// The membership state machine.
    pub(crate) fn membership(&self) -> Ref<'_, Membership> {
        self.membership.borrow()
    }

    /// Calls `visit` for every present member.
    pub(crate) fn for_each_member(&self, mut visit: impl FnMut(MemberKey, &Entry)) {
        let membership = self.membership.borrow();
        for (key, entry) in membership.table().present() {
            visit(key, entry);
        }
    }

    /// Records the era of an answer of the store.
    fn record_era(&self, era: Era, now: Time) {
        let before = self.era.replace(Some(era));
        if before.is_some_and(|it| it < era) {
            self.was_restored.set(true);
            self.confirmation_state.borrow_mut().store_restored(now);
        }
    }

    /// Time for which targets of a service with this version have been known.
    pub(crate) fn version_known_for(
        &self,
        service: &str,
        software: &Software,
        now: Time,
    ) -> Duration {
        let new_versions = self.new_versions.borrow();
        new_versions.known_for(service, software, now)
    }

    /// Number of present members, this daemon included.
    pub(crate) fn size(&self) -> usize {
        self.membership.borrow().table().present().count()
    }
}

/// Updates the gauges, before the metrics are read.
pub(crate) fn update_gauges(node: &Node) {
    let version = node.fleet.in_force().map_or(0, |it| it.version());
    node.journal.gauge("configuration.version", version);
    let members = u64::try_from(node.fleet.size()).unwrap_or(u64::MAX);
    node.journal.gauge("members", members);
    node.journal
        .gauge("calls.in_flight", node.in_flight.get().into());
    let occupancy = node.executor.occupancy(node.clock.now());
    node.journal
        .gauge("queue.running", occupancy.running.into());
    node.journal.gauge("queue.waiting", occupancy.queued.into());
    let is_limited = !occupancy.limit.interval.is_zero();
    node.journal.gauge("target.limited", is_limited.into());
    let takes_calls = node.executor.accepts_calls(node.clock.now());
    node.journal.gauge("target.takes_calls", takes_calls.into());
    for ((cause, place), bytes) in node.traffic.take() {
        node.journal.count_link_bytes(&cause, place, bytes);
    }
    let follows_store = role::follows_store(node);
    node.journal.gauge("host.followed", follows_store.into());
    let reaches_store = node.fleet.reaches_store.get() == Some(true);
    node.journal.gauge("host.reached", reaches_store.into());
}

fn own_member(cfg: &MeshConfig) -> Member {
    let birth = starting_incarnation(unix_time(), None);
    Member {
        instance: cfg.instance.clone(),
        region: cfg.region.clone(),
        zone: cfg.zone.clone(),
        upstream: cfg.instance.clone(),
        caller: cfg.addresses.callers,
        peer: cfg.addresses.peers,
        operator: cfg.addresses.peers,
        birth,
        incarnation: birth,
        state: MemberState::Alive,
        announced: None,
    }
}

/// Shortest time between two rebuilds of the candidates. A rebuild walks all members, and a start
/// of the whole fleet, a rolling restart or a network partition brings changes by the hundred. The
/// first change of a series takes effect at once, and the others soon enough for calls: a call to a
/// target that left is refused by its daemon.
const MIN_REFRESH_INTERVAL: Duration = Duration::from_millis(100);

/// Makes changes of membership visible to calls. Changes in quick succession share one rebuild.
fn schedule_refresh(node: &Rc<Node>) {
    if node.fleet.is_refresh_scheduled.replace(true) {
        return;
    }
    let now = node.clock.now();
    let next = node
        .fleet
        .refreshed_at
        .get()
        .map(|at| at + MIN_REFRESH_INTERVAL);
    let wait = next.map_or(Duration::ZERO, |next| next.saturating_sub(now));
    if wait.is_zero() {
        rebuild_candidates(node);
        return;
    }
    let node = Rc::clone(node);
    ntex::rt::spawn(async move {
        tokio::time::sleep(wait).await;
        rebuild_candidates(&node);
    });
}

fn rebuild_candidates(node: &Rc<Node>) {
    node.fleet.is_refresh_scheduled.set(false);
    node.fleet.refreshed_at.set(Some(node.clock.now()));
    node.journal.count("candidates.rebuilt");
    let now = node.clock.now();
    let membership = node.fleet.membership.borrow();
    let mut new_versions = node.fleet.new_versions.borrow_mut();
    let mut is_holding = false;
    let mut services: HashMap<ServiceName, Vec<Candidate>> = HashMap::new();
    let mut target_locations = HashMap::new();
    let mut places = HashMap::new();
    for (key, entry) in membership.table().present() {
        let place = if entry.member.zone == node.cfg.zone {
            Place::SameZone
        } else {
            Place::OtherZone
        };
        places.insert(entry.member.peer.ip(), place);
        let Some(announced) = &entry.member.announced else {
            continue;
        };
        let location = if key == membership.me() {
            TargetLocation::Local
        } else {
            TargetLocation::Remote(entry.member.peer)
        };
        target_locations.insert(announced.upstream.clone(), location);
        let (service, software) = (&announced.service, &announced.software);
        let is_held =
            new_versions.should_hold(service, software, now) && !node.rollouts.has_order(service);
        is_holding |= is_held;
        let candidates = services.entry(service.clone()).or_default();
        candidates.push(Candidate {
            upstream: announced.upstream.clone(),
            zone: entry.member.zone.clone(),
            incarnation: entry.member.birth,
            state: match candidate_state(entry, announced.draining) {
                CandidateState::Ready if is_held => CandidateState::Unhealthy,
                state => state,
            },
            slots: announced.slots,
            software: announced.software.clone(),
        });
    }
    new_versions.retain(|service, software| {
        let known = services.get(service).into_iter().flatten();
        known.into_iter().any(|it| it.software == *software)
    });
    drop((membership, new_versions));
    rollout::rebuild(node);
    quota::members_changed(node);
    node.traffic.set_places(places);
    *node.fleet.target_locations.borrow_mut() = target_locations;
    node.entry.set_candidates(&services, now);
    if is_holding {
        refresh_after_hold(node);
    }
}

/// Schedules a rebuild for the time when targets that are held back may be used.
fn refresh_after_hold(node: &Rc<Node>) {
    if node.fleet.is_hold_expiry_scheduled.replace(true) {
        return;
    }
    let node = Rc::clone(node);
    ntex::rt::spawn(async move {
        tokio::time::sleep(NewVersions::HOLD_TIME).await;
        node.fleet.is_hold_expiry_scheduled.set(false);
        schedule_refresh(&node);
    });
}

fn candidate_state(entry: &Entry, is_draining: bool) -> CandidateState {
    match entry.member.state {
        MemberState::Leaving | MemberState::Dead => CandidateState::Leaving,
        _ if is_draining => CandidateState::Leaving,
        MemberState::Suspect => CandidateState::Unhealthy,
        MemberState::Alive => CandidateState::Ready,
    }
}
