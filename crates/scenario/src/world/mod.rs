//! What surrounds the instances.

pub(crate) mod audit;
pub(crate) mod exec;
pub(crate) mod net;
pub(crate) mod store;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use smol_str::{SmolStr, format_smolstr};
use stoatstep_calls::{KeyText, LimitStatement, RateLimit};
use stoatstep_membership::Time;
use stoatstep_versionlog::Environment;

use crate::daemon::{Call, Node};
use crate::script::{ClockError, Fleet, Safeguard};
use audit::{Audit, RunId};
use exec::{Executor, Life, OUTSIDE};
use net::Net;
use store::{Store, StoreClient};

/// Position of an instance in the fleet.
pub(crate) type Index = usize;

/// Position of a zone.
pub(crate) type ZoneIndex = usize;

/// The calendar clock when a scenario starts.
pub(crate) const EPOCH: Time = Time::from_secs(1_790_000_000);

/// The service that the first version has, with one upstream an instance.
pub(crate) const SERVICE: &str = "floatdesk";

/// A zone's name.
pub(crate) fn zone_name(zone: ZoneIndex) -> SmolStr {
    format_smolstr!("z{}", zone + 1)
}

/// One run of a scenario.
pub(crate) struct World {
    pub(crate) exec: Executor,
    pub(crate) store: Rc<Store>,
    pub(crate) net: Net,
    pub(crate) audit: RefCell<Audit>,
    pub(crate) seed: u64,
    pub(crate) target_time: Time,
    fleet: Fleet,
    without: BTreeSet<Safeguard>,
    rng: RefCell<Xoshiro256PlusPlus>,
    nodes: RefCell<Vec<Option<Rc<Node>>>>,
    last_life: Cell<Life>,
    keys: RefCell<BTreeMap<SmolStr, KeyText>>,
    /// The limits that targets state.
    limits: RefCell<BTreeMap<Index, RateLimit>>,
    clocks: RefCell<BTreeMap<Index, ClockError>>,
}

impl World {
    pub(crate) fn new(fleet: Fleet, without: BTreeSet<Safeguard>, seed: u64) -> Rc<Self> {
        Rc::new(Self {
            exec: Executor::default(),
            store: Rc::default(),
            net: Net::default(),
            audit: RefCell::default(),
            seed,
            target_time: fleet.target_time,
            fleet,
            without,
            rng: RefCell::new(Xoshiro256PlusPlus::seed_from_u64(seed)),
            nodes: RefCell::new(vec![None; fleet.instances()]),
            last_life: Cell::new(OUTSIDE),
            keys: RefCell::default(),
            limits: RefCell::default(),
            clocks: RefCell::default(),
        })
    }

    pub(crate) fn is_without(&self, safeguard: Safeguard) -> bool {
        self.without.contains(&safeguard)
    }

    pub(crate) fn random(&self) -> u64 {
        self.rng.borrow_mut().random()
    }

    pub(crate) fn choose<T: Copy>(&self, from: &[T]) -> Option<T> {
        from.choose(&mut *self.rng.borrow_mut()).copied()
    }

    /// An even share of 1.
    pub(crate) fn share(&self) -> f64 {
        self.rng.borrow_mut().random_range(0.0..1.0)
    }

    pub(crate) fn instances(&self) -> usize {
        self.fleet.instances()
    }

    pub(crate) fn zone_of(&self, index: Index) -> ZoneIndex {
        index / self.fleet.per_zone
    }

    /// The process that runs there, frozen or not.
    pub(crate) fn node(&self, index: Index) -> Option<Rc<Node>> {
        self.nodes.borrow()[index].clone()
    }

    pub(crate) fn nodes(&self) -> Vec<Rc<Node>> {
        self.nodes.borrow().iter().flatten().cloned().collect()
    }

    pub(crate) fn store_client(&self, zone: SmolStr) -> StoreClient {
        StoreClient {
            exec: self.exec.clone(),
            store: Rc::clone(&self.store),
            zone,
        }
    }

    pub(crate) fn start(self: &Rc<Self>, index: Index) {
        if self.node(index).is_some() {
            return;
        }
        let life = self.last_life.get() + 1;
        self.last_life.set(life);
        let node = Node::start(self, index, life);
        self.nodes.borrow_mut()[index] = Some(node);
    }

    pub(crate) fn kill(&self, index: Index) {
        let node = self.nodes.borrow_mut()[index].take();
        if let Some(node) = node {
            self.exec.kill(node.life);
            self.audit.borrow_mut().killed(index);
        }
    }

    /// A drained instance ends.
    pub(crate) fn leave(self: &Rc<Self>, node: Rc<Node>) {
        let world = Rc::clone(self);
        // Its own task can't end its own tasks while it runs.
        self.exec.spawn(OUTSIDE, async move {
            let now = world.exec.now();
            world.audit.borrow_mut().left(node.index, now);
            world.kill(node.index);
        });
    }

    pub(crate) fn set_limit(&self, index: Index, limit: Option<RateLimit>) {
        let mut limits = self.limits.borrow_mut();
        match limit {
            Some(limit) => limits.insert(index, limit),
            None => limits.remove(&index),
        };
    }

    /// What an answer of this instance's target states.
    pub(crate) fn stated_limit(&self, index: Index) -> LimitStatement {
        let limit = self.limits.borrow().get(&index).copied();
        limit.map_or(LimitStatement::Absent, LimitStatement::Limit)
    }

    pub(crate) fn set_clock(&self, index: Index, error: ClockError) {
        self.clocks.borrow_mut().insert(index, error);
    }

    /// The time of day at this instance.
    pub(crate) fn time_of_day(&self, index: Index) -> Time {
        let error = self.clocks.borrow().get(&index).copied();
        error.unwrap_or_default().shown(EPOCH + self.exec.now())
    }

    pub(crate) fn run_began(&self, node: &Node, call: &Call) -> RunId {
        let now = self.exec.now();
        self.audit.borrow_mut().run_began(node.index, call, now)
    }

    pub(crate) fn run_ended(&self, run: RunId) {
        self.audit.borrow_mut().run_ended(run);
    }

    /// The key of this name, made when it is first used.
    pub(crate) fn key(&self, name: &SmolStr, is_timed: bool) -> KeyText {
        let mut keys = self.keys.borrow_mut();
        let made = || {
            if !is_timed {
                return KeyText::Plain(name.clone());
            }
            KeyText::Timed {
                text: name.clone(),
                created: EPOCH + self.exec.now(),
            }
        };
        keys.entry(name.clone()).or_insert_with(made).clone()
    }
}

/// The version log's way to the platform, the clock and randomness.
pub(crate) struct LogEdge {
    pub(crate) world: Rc<World>,
    pub(crate) client: StoreClient,
}

impl Environment for LogEdge {
    type Platform = StoreClient;

    fn platform(&self) -> &StoreClient {
        &self.client
    }

    fn now(&self) -> Time {
        self.world.exec.now()
    }

    fn sleep(&self, time: Time) -> impl Future<Output = ()> {
        self.world.exec.sleep(time)
    }

    fn seed(&self) -> u64 {
        self.world.random()
    }
}
