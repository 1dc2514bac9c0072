//! What the daemon knows of its fleet: members with the targets that they
//! announced, and the configuration in force.

pub(crate) mod configuration;
pub(crate) mod confirmation;
pub(crate) mod contact;
pub(crate) mod gossip;
mod packed;
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
    Config, Entry, Mark, Member, MemberKey, MemberState, Membership, starting_incarnation,
};
use stoatstep_resource::{InstanceId, ServiceName, State, UpstreamName};
use tokio::sync::Notify;

use crate::clock::unix_time;
use crate::config::MeshConfig;
use crate::host::Era;
use crate::in_force::InForce;
use crate::node::Node;
use crate::quota;
use crate::rollout::{self, Newcomers};
use confirmation::Confirmed;
use packed::Packed;

/// Where attempts for a target go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Place {
    /// It is the target beside this daemon.
    Local,
    /// Its daemon listens here.
    Remote(SocketAddr),
}

pub(crate) struct Fleet {
    membership: RefCell<Membership>,
    in_force: RefCell<Option<Rc<InForce>>>,
    /// States that were in force before, the newest last.
    former: RefCell<VecDeque<(Mark, Arc<State>)>>,
    /// What was last sent to a peer, for the others that hold the same.
    packed: RefCell<Option<Packed>>,
    places: RefCell<HashMap<UpstreamName, Place>>,
    /// Changes of membership wait to be made visible to calls.
    is_refresh_due: Cell<bool>,
    /// When they last were.
    refreshed: Cell<Option<Time>>,
    /// Versions of targets, by when they came up.
    newcomers: RefCell<Newcomers>,
    /// Targets that are left alone will be looked at again.
    looks_again: Cell<bool>,
    /// A pull of the configuration from a peer goes on.
    is_pulling: Cell<bool>,
    /// Whether the host answered the last question; nothing before the first one.
    reaches_host: Cell<Option<bool>>,
    /// How this daemon learns of versions; none before its first look.
    role: Cell<Option<PollRole>>,
    /// Who of the own zone can't tell of versions.
    contact: RefCell<PollerHealth>,
    /// Era of the host's last answer.
    era: Cell<Option<Era>>,
    confirmed: RefCell<Confirmed>,
    /// The host came back from an older copy, and what this daemon wrote may be gone.
    has_returned: Cell<bool>,
    /// The instance was suspended: what waits for the host should ask anew.
    woke: Notify,
    /// Somebody has lost the host, and this daemon may have lost it too, or what tells it.
    host_doubted: Notify,
    /// When the host's list of instances was last looked at.
    looked_at: Cell<Option<Time>>,
    /// This instance is on it.
    is_listed: Cell<bool>,
    /// Members that are gone for good, whose roster rows are to be deleted.
    forgotten: RefCell<Vec<InstanceId>>,
}

impl Fleet {
    pub(crate) fn new(cfg: &MeshConfig) -> Self {
        let me = myself(cfg);
        let seed = me.key() ^ me.birth;
        Self {
            membership: RefCell::new(Membership::new(me, Config::default(), seed)),
            in_force: RefCell::default(),
            former: RefCell::default(),
            packed: RefCell::default(),
            places: RefCell::default(),
            is_refresh_due: Cell::new(false),
            refreshed: Cell::new(None),
            newcomers: RefCell::default(),
            looks_again: Cell::new(false),
            is_pulling: Cell::new(false),
            reaches_host: Cell::new(None),
            role: Cell::new(None),
            contact: RefCell::default(),
            era: Cell::new(None),
            confirmed: RefCell::default(),
            has_returned: Cell::new(false),
            woke: Notify::new(),
            host_doubted: Notify::new(),
            looked_at: Cell::new(None),
            is_listed: Cell::new(false),
            forgotten: RefCell::default(),
        }
    }

    /// The version in force; the caller keeps it for as long as it needs one
    /// consistent view.
    pub(crate) fn in_force(&self) -> Option<Rc<InForce>> {
        self.in_force.borrow().clone()
    }

    /// Where attempts for a target go.
    pub(crate) fn place(&self, upstream: &str) -> Option<Place> {
        self.places.borrow().get(upstream).copied()
    }

    /// Whether a member is of this daemon's own zone.
    fn is_in_own_zone(&self, key: MemberKey) -> bool {
        let membership = self.membership.borrow();
        let zone = &membership.own().member.zone;
        let entry = membership.table().get(key);
        entry.is_some_and(|it| it.member.zone == *zone)
    }

    /// What is known of the fleet's members.
    pub(crate) fn membership(&self) -> Ref<'_, Membership> {
        self.membership.borrow()
    }

    /// Shows every member that takes part.
    pub(crate) fn members(&self, mut see: impl FnMut(MemberKey, &Entry)) {
        let membership = self.membership.borrow();
        for (key, entry) in membership.table().present() {
            see(key, entry);
        }
    }

    /// Takes in the era of an answer of the host.
    fn hear_era(&self, era: Era, now: Time) {
        let before = self.era.replace(Some(era));
        if before.is_some_and(|it| it < era) {
            self.has_returned.set(true);
            self.confirmed.borrow_mut().host_returned(now);
        }
    }

    /// Daemons that take part, this one included.
    pub(crate) fn size(&self) -> usize {
        self.membership.borrow().table().present().count()
    }
}

/// Brings the gauges up to date, for whoever reads the metrics.
pub(crate) fn gauges(node: &Node) {
    let version = node.fleet.in_force().map_or(0, |it| it.version());
    node.journal.gauge("configuration.version", version);
    let members = u64::try_from(node.fleet.size()).unwrap_or(u64::MAX);
    node.journal.gauge("members", members);
    node.journal
        .gauge("calls.in_flight", node.in_flight.get().into());
    let occupancy = node.executor.occupancy();
    node.journal
        .gauge("queue.running", occupancy.running.into());
    node.journal.gauge("queue.waiting", occupancy.queued.into());
    let takes_calls = node.executor.takes_calls(node.clock.now());
    node.journal.gauge("target.takes_calls", takes_calls.into());
    let follows_host = role::follows_host(node);
    node.journal.gauge("host.followed", follows_host.into());
    let reaches_host = node.fleet.reaches_host.get() == Some(true);
    node.journal.gauge("host.reached", reaches_host.into());
}

fn myself(cfg: &MeshConfig) -> Member {
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

/// Shortest time between two rebuilds of the candidates. A rebuild walks all members, and
/// a start of all, a roll or a cut bring changes by the hundred. The first change of a series is seen at once, and the others as
/// soon as calls could notice: a call to a target that left is refused by its daemon.
const REFRESH_GAP: Duration = Duration::from_millis(100);

/// Makes membership's changes visible to calls, those of a moment together.
fn refresh_soon(node: &Rc<Node>) {
    if node.fleet.is_refresh_due.replace(true) {
        return;
    }
    let now = node.clock.now();
    let next = node.fleet.refreshed.get().map(|at| at + REFRESH_GAP);
    let wait = next.map_or(Duration::ZERO, |next| next.saturating_sub(now));
    if wait.is_zero() {
        refresh(node);
        return;
    }
    let node = Rc::clone(node);
    ntex::rt::spawn(async move {
        tokio::time::sleep(wait).await;
        refresh(&node);
    });
}

fn refresh(node: &Rc<Node>) {
    node.fleet.is_refresh_due.set(false);
    node.fleet.refreshed.set(Some(node.clock.now()));
    node.journal.count("candidates.rebuilt");
    let now = node.clock.now();
    let membership = node.fleet.membership.borrow();
    let mut newcomers = node.fleet.newcomers.borrow_mut();
    let mut is_holding = false;
    let mut services: HashMap<ServiceName, Vec<Candidate>> = HashMap::new();
    let mut places = HashMap::new();
    for (key, entry) in membership.table().present() {
        let Some(announced) = &entry.member.announced else {
            continue;
        };
        let place = if key == membership.me() {
            Place::Local
        } else {
            Place::Remote(entry.member.peer)
        };
        places.insert(announced.upstream.clone(), place);
        let (service, software) = (&announced.service, &announced.software);
        let is_held = newcomers.hold(service, software, now) && !node.rollouts.is_ordered(service);
        is_holding |= is_held;
        let candidates = services.entry(service.clone()).or_default();
        candidates.push(Candidate {
            upstream: announced.upstream.clone(),
            zone: entry.member.zone.clone(),
            incarnation: entry.member.birth,
            state: match state_of(entry, announced.draining) {
                CandidateState::Ready if is_held => CandidateState::Unhealthy,
                state => state,
            },
            slots: announced.slots,
            software: announced.software.clone(),
        });
    }
    newcomers.retain(|service, software| {
        let known = services.get(service).into_iter().flatten();
        known.into_iter().any(|it| it.software == *software)
    });
    drop((membership, newcomers));
    rollout::rebuild(node);
    quota::members_changed(node);
    *node.fleet.places.borrow_mut() = places;
    node.entry.set_candidates(&services, now);
    if is_holding {
        look_again(node);
    }
}

/// Looks again at targets that are left alone for now.
fn look_again(node: &Rc<Node>) {
    if node.fleet.looks_again.replace(true) {
        return;
    }
    let node = Rc::clone(node);
    ntex::rt::spawn(async move {
        tokio::time::sleep(Newcomers::HOLD).await;
        node.fleet.looks_again.set(false);
        refresh_soon(&node);
    });
}

fn state_of(entry: &Entry, is_draining: bool) -> CandidateState {
    match entry.member.state {
        MemberState::Leaving | MemberState::Dead => CandidateState::Leaving,
        _ if is_draining => CandidateState::Leaving,
        MemberState::Suspect => CandidateState::Unhealthy,
        MemberState::Alive => CandidateState::Ready,
    }
}
