//! The machines of the control side, and the views that others take of them.

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

/// Time after a wake in which others should have answered. Probes that go
/// unanswered end well within it.
const WAKE_BOUND: Duration = Duration::from_secs(2);

/// The deltas asked for are no longer held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Trimmed;

/// Configuration and membership as this daemon knows them. Borrows of the cells
/// never last over an `await`, so that no two tasks meet in one.
pub(crate) struct Control {
    started: Instant,
    in_force: RefCell<Rc<InForce>>,
    directory: RefCell<Directory>,
    changed: Condition,
    serves: Cell<bool>,
    woke_at: Cell<Option<Time>>,
    pub(super) membership: RefCell<Membership>,
    pub(super) replica: RefCell<Replica>,
    pub(super) serving: RefCell<Serving>,
    pub(super) spread: RefCell<Spread>,
    pub(super) repair: RefCell<Repair>,
    pub(super) poller: RefCell<Poller>,
    pub(super) cold_start: RefCell<ColdStart>,
    pub(super) has_announced_leave: Cell<bool>,
    pub(super) takes_snapshot: Cell<bool>,
    pub(super) warnings: RefCell<LogRateLimit>,
    pub(crate) traffic: Traffic,
}

impl Control {
    pub(crate) fn new(cfg: &Config) -> Self {
        let me = myself(cfg);
        // Different for each life of the instance, or a herd of restarts would
        // draw the same waits again.
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
            woke_at: Cell::new(None),
            membership: RefCell::new(membership),
            replica: RefCell::default(),
            serving: RefCell::default(),
            spread: RefCell::default(),
            repair: RefCell::new(Repair::new(seed)),
            poller: RefCell::new(Poller::new(seed)),
            cold_start: RefCell::new(ColdStart::new(Time::ZERO, seed)),
            has_announced_leave: Cell::new(false),
            takes_snapshot: Cell::new(false),
            warnings: RefCell::new(warning::limit()),
            traffic: Traffic::default(),
        }
    }

    /// The version in force; the caller keeps it for as long as it needs one
    /// consistent view.
    pub(crate) fn in_force(&self) -> Rc<InForce> {
        Rc::clone(&self.in_force.borrow())
    }

    /// Every instance that takes part, this one included.
    pub(crate) fn members(&self) -> Vec<Member> {
        self.directory.borrow().members()
    }

    /// The instances whose target serves `upstream`, the one to use last.
    pub(crate) fn serving(&self, upstream: &str) -> Vec<Member> {
        self.directory.borrow().serving(upstream)
    }

    /// The deltas after `version`, oldest first.
    pub(crate) fn deltas_after(&self, version: Version) -> Result<Vec<Arc<Delta>>, Trimmed> {
        let replica = self.replica.borrow();
        replica.deltas_after(version).ok_or(Trimmed)
    }

    /// The newest version received, in force or not.
    pub(crate) fn version_held(&self) -> Version {
        let replica = self.replica.borrow();
        let refused = replica.quarantine().iter().map(|it| it.version).max();
        refused.unwrap_or(0).max(replica.version())
    }

    /// Whether this daemon knows enough to serve by what it holds; see
    /// [`Serving`].
    pub(crate) fn may_serve(&self) -> bool {
        self.serves.get()
    }

    /// Ends when the version in force changes.
    pub(crate) fn changed(&self) -> Waiter {
        self.changed.wait()
    }

    /// Time since the start, as the machines want it. The clock goes on while
    /// the process is stopped, by which it notices that it was.
    pub(super) fn now(&self) -> Time {
        self.started.elapsed()
    }

    /// The wall clock at an earlier time of this process.
    pub(super) fn unix_ms(&self, at: Time) -> u64 {
        let ago = self.now().saturating_sub(at);
        let unix = unix_time().saturating_sub(ago);
        u64::try_from(unix.as_millis()).unwrap_or(u64::MAX)
    }

    /// Offers something to the replica and puts in force what it takes.
    pub(super) fn offer(
        &self,
        offer: impl FnOnce(&mut Replica, Time) -> OfferOutcome,
    ) -> OfferOutcome {
        let outcome = offer(&mut self.replica.borrow_mut(), self.now());
        self.put_in_force();
        outcome
    }

    /// Puts in force what the replica holds, once this daemon may serve by it.
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
        let mark = self.replica.borrow().config_id();
        let now = self.now();
        self.membership
            .borrow_mut()
            .handle(now, Input::ConfigChanged(mark));
    }

    /// Takes what is held for old until others confirm it.
    pub(super) fn woke(&self) {
        self.serving.borrow_mut().resumed();
        self.serves.set(false);
        self.woke_at.set(Some(self.now()));
    }

    /// Gives up waiting for others after a wake, where nobody answers.
    pub(super) fn end_wake(&self) {
        let Some(woke_at) = self.woke_at.get() else {
            return;
        };
        if woke_at + WAKE_BOUND <= self.now() {
            self.woke_at.set(None);
            self.serving.borrow_mut().serve_alone();
        }
    }

    /// Makes membership's changes visible to calls.
    pub(super) fn refresh_directory(&self) {
        let membership = self.membership.borrow();
        *self.directory.borrow_mut() = Directory::new(membership.table());
    }

    pub(super) fn me(&self) -> MemberKey {
        self.membership.borrow().me()
    }

    /// Members that take part in spreading, by zone.
    pub(super) fn view(&self) -> ZoneMembers {
        let mut view = ZoneMembers::new();
        for (key, entry) in self.membership.borrow().table().present() {
            let zone = entry.member.zone.clone();
            view.entry(zone).or_default().push(key);
        }
        view
    }

    /// Where a member listens for other daemons.
    pub(super) fn peer_addr(&self, key: MemberKey) -> Option<std::net::SocketAddr> {
        let membership = self.membership.borrow();
        membership.table().get(key).map(|it| it.member.peer)
    }

    /// Refused versions and forks that are not settled.
    pub(super) fn quarantine(&self) -> Vec<QuarantinedVersion> {
        self.replica.borrow().quarantine().to_vec()
    }
}

fn unix_time() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}

fn myself(cfg: &Config) -> membership::Member {
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
