//! The state machines of the control plane, and the views of them that calls and
//! operators use.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use ntex::channel::condition::{Condition, Waiter};
use stoatstep_distribution::{
    ColdStart, OfferOutcome, Poller, QuarantinedVersion, Repair, Replica, Serving, Spread,
    ZoneMembers,
};
use stoatstep_membership::{
    self as membership, Input, MemberKey, MemberState, Membership, Time, starting_incarnation,
};
use stoatstep_resource::{Delta, State, Version};
use stoatstep_telemetry::LogRateLimit;

use super::directory::{Directory, Member};
use super::traffic::Traffic;
use super::warning;
use crate::config::Config;
use crate::in_force::InForce;

/// Time after a suspension of the process within which peers should have answered.
/// Probes that get no answer time out well before it ends.
const RESUME_TIMEOUT: Duration = Duration::from_secs(2);

/// Error: the requested deltas are no longer held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Trimmed;

/// Configuration and membership as this daemon knows them. No borrow of a cell is
/// held across an `await`, so two tasks never borrow the same cell at once.
pub(crate) struct Control {
    started: Instant,
    in_force: RefCell<Rc<InForce>>,
    directory: RefCell<Directory>,
    changed: Condition,
    serves: Cell<bool>,
    resumed_at: Cell<Option<Time>>,
    pub(super) membership: RefCell<Membership>,
    pub(super) replica: RefCell<Replica>,
    pub(super) serving: RefCell<Serving>,
    pub(super) spread: RefCell<Spread>,
    pub(super) repair: RefCell<Repair>,
    pub(super) poller: RefCell<Poller>,
    pub(super) cold_start: RefCell<ColdStart>,
    pub(super) has_announced_leave: Cell<bool>,
    pub(super) is_taking_snapshot: Cell<bool>,
    pub(super) warnings: RefCell<LogRateLimit>,
    pub(crate) traffic: Traffic,
}

impl Control {
    pub(crate) fn new(cfg: &Config) -> Self {
        let me = own_member(cfg);
        // The seed differs for each process of the instance. Otherwise many daemons
        // that restart at once would draw the same delays as last time.
        let seed = me.key() ^ me.birth;
        let membership = Membership::new(me, membership::Config::default(), seed);
        let directory = Directory::new(membership.table());
        let empty = InForce::new(&Arc::new(State::default()));
        Self {
            started: Instant::now(),
            in_force: RefCell::new(Rc::new(empty)),
            directory: RefCell::new(directory),
            changed: Condition::default(),
            serves: Cell::new(false),
            resumed_at: Cell::new(None),
            membership: RefCell::new(membership),
            replica: RefCell::default(),
            serving: RefCell::default(),
            spread: RefCell::default(),
            repair: RefCell::new(Repair::new(seed)),
            poller: RefCell::new(Poller::new(seed)),
            cold_start: RefCell::new(ColdStart::new(Time::ZERO, seed)),
            has_announced_leave: Cell::new(false),
            is_taking_snapshot: Cell::new(false),
            warnings: RefCell::new(warning::rate_limit()),
            traffic: Traffic::default(),
        }
    }

    /// Returns the version in force. The caller keeps it for as long as it needs one
    /// consistent view.
    pub(crate) fn in_force(&self) -> Rc<InForce> {
        Rc::clone(&self.in_force.borrow())
    }

    /// Returns every present member, including this instance.
    pub(crate) fn members(&self) -> Vec<Member> {
        self.directory.borrow().members()
    }

    /// Returns the members whose target serves `upstream`; the last one is to be used.
    pub(crate) fn members_serving(&self, upstream: &str) -> Vec<Member> {
        self.directory.borrow().members_serving(upstream)
    }

    /// Returns the deltas after `version`, oldest first.
    pub(crate) fn deltas_after(&self, version: Version) -> Result<Vec<Arc<Delta>>, Trimmed> {
        let replica = self.replica.borrow();
        replica.deltas_after(version).ok_or(Trimmed)
    }

    /// Returns the newest version received, whether or not it is in force.
    pub(crate) fn version_held(&self) -> Version {
        let replica = self.replica.borrow();
        let refused = replica.quarantine().iter().map(|it| it.version).max();
        refused.unwrap_or(0).max(replica.version())
    }

    /// Whether this daemon knows enough to serve with the version that it holds; see
    /// [`Serving`].
    pub(crate) fn may_serve(&self) -> bool {
        self.serves.get()
    }

    /// Returns a future that completes when the version in force changes.
    pub(crate) fn changed(&self) -> Waiter {
        self.changed.wait()
    }

    /// Time since the start, which the state machines take as the current time. The
    /// clock advances while the process is suspended, so that a suspension shows as
    /// a gap between two ticks.
    pub(super) fn now(&self) -> Time {
        self.started.elapsed()
    }

    /// Converts an earlier time of this process to Unix milliseconds.
    pub(super) fn unix_ms(&self, at: Time) -> u64 {
        let ago = self.now().saturating_sub(at);
        let unix = unix_time().saturating_sub(ago);
        u64::try_from(unix.as_millis()).unwrap_or(u64::MAX)
    }

    /// Offers a delta or a state to the replica and puts in force what it accepts.
    pub(super) fn offer(
        &self,
        offer: impl FnOnce(&mut Replica, Time) -> OfferOutcome,
    ) -> OfferOutcome {
        let outcome = offer(&mut self.replica.borrow_mut(), self.now());
        self.put_in_force();
        outcome
    }

    /// Puts the replica's version in force, once this daemon may serve with it.
    pub(super) fn put_in_force(&self) {
        let state = Arc::clone(self.replica.borrow().state());
        let others = self.membership.borrow().table().present().count() - 1;
        let mut serving = self.serving.borrow_mut();
        self.serves.set(serving.may_serve(state.version(), others));
        drop(serving);
        let is_newer = state.version() > self.in_force().state.version();
        if is_newer && self.serves.get() {
            *self.in_force.borrow_mut() = Rc::new(InForce::new(&state));
            self.changed.notify();
        }
        let config_id = self.replica.borrow().config_id();
        let now = self.now();
        self.membership
            .borrow_mut()
            .handle(now, Input::ConfigChanged(config_id));
    }

    /// Treats the held version as outdated after a suspension of the process, until
    /// peers or the platform confirm it.
    pub(super) fn resumed(&self) {
        self.serving.borrow_mut().resumed();
        self.serves.set(false);
        self.resumed_at.set(Some(self.now()));
    }

    /// Stops waiting for a confirmation after a suspension if nobody answered in time.
    pub(super) fn end_resume_wait(&self) {
        let Some(resumed_at) = self.resumed_at.get() else {
            return;
        };
        if resumed_at + RESUME_TIMEOUT <= self.now() {
            self.resumed_at.set(None);
            self.serving.borrow_mut().serve_alone();
        }
    }

    /// Rebuilds the directory, which makes changes of the membership visible to calls.
    pub(super) fn refresh_directory(&self) {
        let membership = self.membership.borrow();
        *self.directory.borrow_mut() = Directory::new(membership.table());
    }

    pub(super) fn me(&self) -> MemberKey {
        self.membership.borrow().me()
    }

    /// Returns the present members by zone; these take part in the distribution of
    /// versions.
    pub(super) fn zone_members(&self) -> ZoneMembers {
        let mut zone_members = ZoneMembers::new();
        for (key, entry) in self.membership.borrow().table().present() {
            let zone = entry.member.zone.clone();
            zone_members.entry(zone).or_default().push(key);
        }
        zone_members
    }

    /// Returns the address at which a member listens for other daemons.
    pub(super) fn peer_addr(&self, key: MemberKey) -> Option<std::net::SocketAddr> {
        let membership = self.membership.borrow();
        membership.table().get(key).map(|it| it.member.peer)
    }

    /// Returns the refused versions and the unresolved forks.
    pub(super) fn quarantine(&self) -> Vec<QuarantinedVersion> {
        self.replica.borrow().quarantine().to_vec()
    }
}

fn unix_time() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}

fn own_member(cfg: &Config) -> membership::Member {
    let birth = starting_incarnation(unix_time(), None);
    membership::Member {
        instance: cfg.instance.clone(),
        region: cfg.region.clone(),
        zone: cfg.zone.clone(),
        upstream: cfg.upstream.clone(),
        caller: cfg.caller_addr,
        peer: cfg.peer_addr,
        operator: cfg.operator_addr,
        birth,
        incarnation: birth,
        state: MemberState::Alive,
        announced: None,
    }
}
