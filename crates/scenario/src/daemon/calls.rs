//! Tables of the call side and its tick.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::Arc;

use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use smol_str::SmolStr;
use stoatstep_calls::{
    Admission, AdmissionConfig, Answer, AttemptId, Candidate, CandidateState, Dispatch, Drain,
    DrainStep, HomeHistory, IdempotencyConfig, IdempotencyTable, Incarnation, Ledger, LedgerConfig,
    Reason, Refusal, RetryBudget, Router, StatedLimits, Ticket,
};
use stoatstep_membership::{MemberState, Time};
use stoatstep_platform::TableRevision;
use stoatstep_resource::{Kind, Resource, ServiceName, State, Upstream, UpstreamName, Version};

use super::{Node, handover, index_of};
use crate::script::Safeguard;
use crate::world::exec::Sender;
use crate::world::{Index, World};

const TICK: Time = Time::from_millis(20);
const SYNC_EVERY: u32 = 10;
const CLEAN_EVERY: u32 = 50;
const FREEZE: Time = Time::from_millis(800);
const HANDOVER_BOUND: Time = Time::from_secs(3);
const DRAIN_BOUND: Time = Time::from_secs(90);
const SKEW: Time = Time::from_secs(2);
const RETENTION: Time = Time::from_mins(10);

/// How a run or a call ended.
pub(crate) type End = Result<Arc<Answer>, Refusal>;

/// A run that goes on.
#[derive(Default)]
pub(super) struct Run {
    pub(super) cancel: Option<Sender<()>>,
    pub(super) waiters: Vec<Sender<()>>,
}

/// The machines of both sides of a call.
pub(super) struct Calls {
    pub(super) router: Router,
    pub(super) budgets: BTreeMap<ServiceName, RetryBudget>,
    pub(super) rng: Xoshiro256PlusPlus,
    pub(super) tickets: BTreeMap<Index, Ticket>,
    pub(super) limits: StatedLimits<Index>,
    pub(super) ledger: Ledger,
    pub(super) admission: Admission,
    pub(super) intents: IdempotencyTable,
    pub(super) homes: HomeHistory,
    pub(super) noted: Option<Version>,
    pub(super) waiting: BTreeMap<AttemptId, Sender<Result<(), Refusal>>>,
    pub(super) runs: BTreeMap<AttemptId, Run>,
    pub(super) drain: Drain,
    pub(super) in_flight: u32,
    pub(super) home_row: Option<TableRevision>,
    pub(super) has_home: bool,
    is_leaving: bool,
}

impl Calls {
    pub(super) fn new(
        world: &World,
        zone: &SmolStr,
        upstream: &SmolStr,
        started_wall: Time,
        seed: u64,
    ) -> Self {
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
        let incarnation: Incarnation = rng.random();
        let intents = IdempotencyConfig::default().skew(SKEW).retention(RETENTION);
        let has_authority_from = if world.is_without(Safeguard::RestartAuthority) {
            Time::ZERO
        } else {
            started_wall
        };
        Self {
            router: Router::new(zone.clone()),
            budgets: BTreeMap::new(),
            rng,
            tickets: BTreeMap::new(),
            limits: StatedLimits::default(),
            ledger: Ledger::new(incarnation, LedgerConfig::default()),
            admission: Admission::new(AdmissionConfig::for_slots(1)),
            intents: IdempotencyTable::new(has_authority_from, intents),
            homes: HomeHistory::new(upstream.clone(), SKEW, RETENTION),
            noted: None,
            waiting: BTreeMap::new(),
            runs: BTreeMap::new(),
            drain: Drain::new(DRAIN_BOUND),
            in_flight: 0,
            home_row: None,
            has_home: false,
            is_leaving: false,
        }
    }
}

/// A call that was taken and not yet answered.
pub(super) struct InFlight(Rc<Node>);

impl InFlight {
    pub(super) fn enter(node: &Rc<Node>) -> Self {
        node.calls.borrow_mut().in_flight += 1;
        Self(Rc::clone(node))
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.calls.borrow_mut().in_flight -= 1;
    }
}

/// What the call side does from time to time.
pub(super) async fn run(node: Rc<Node>) {
    let mut last = node.now();
    let mut count: u32 = 0;
    loop {
        let now = node.now();
        let has_slept = now.saturating_sub(last) > FREEZE;
        if has_slept && !node.world.is_without(Safeguard::WakeFlush) {
            wake(&node);
        }
        last = now;
        pump(&node);
        drain(&node);
        if count.is_multiple_of(SYNC_EVERY) {
            config(&node);
            candidates(&node);
        }
        if count.is_multiple_of(CLEAN_EVERY) {
            clean(&node);
        }
        count = count.wrapping_add(1);
        node.sleep(TICK).await;
    }
}

fn wake(node: &Rc<Node>) {
    let flushed = node.calls.borrow_mut().admission.flush(Reason::Woke);
    deliver(node, flushed);
}

fn clean(node: &Node) {
    let (now, wall) = (node.now(), node.wall());
    let calls = &mut *node.calls.borrow_mut();
    calls.ledger.tick(now);
    calls.intents.tick(wall);
    calls.homes.tick(wall);
}

fn drain(node: &Rc<Node>) {
    let now = node.now();
    let calls = &mut *node.calls.borrow_mut();
    let in_flight = if node.world.is_without(Safeguard::DrainWait) {
        0
    } else {
        calls.in_flight
    };
    match calls.drain.tick(in_flight, now) {
        DrainStep::Wait | DrainStep::Announce | DrainStep::EndCalls(_) => {}
        DrainStep::Leave | DrainStep::LeaveUnfinished(_) => {
            if !std::mem::replace(&mut calls.is_leaving, true) {
                node.spawn(leave(Rc::clone(node)));
            }
        }
    }
}

async fn leave(node: Rc<Node>) {
    let world = Rc::clone(&node.world);
    if !world.is_without(Safeguard::Handover) {
        let handed_over = handover::leave(&node);
        let _ = world.exec.timeout(HANDOVER_BOUND, handed_over).await;
    }
    world.leave(node);
}

/// Starts and refuses what waits, as the queue decides now.
pub(super) fn pump(node: &Node) {
    let now = node.now();
    let dispatches = node.calls.borrow_mut().admission.next(now);
    deliver(node, dispatches);
}

pub(super) fn deliver(node: &Node, dispatches: Vec<Dispatch>) {
    for dispatch in dispatches {
        let (attempt, word) = match dispatch {
            Dispatch::Run(attempt) => (attempt, Ok(())),
            Dispatch::Refused(attempt, refusal) => (attempt, Err(refusal)),
        };
        let waiting = node.calls.borrow_mut().waiting.remove(&attempt);
        if let Some(tx) = waiting {
            tx.send(word);
        }
    }
}

/// Notes sets of upstreams and slots of the version in force.
pub(super) fn config(node: &Node) -> Version {
    let state = node.in_force();
    let version = state.version();
    let noted = node.calls.borrow().noted;
    if version == 0 || noted == Some(version) {
        return version;
    }
    let follows = noted.is_some_and(|noted| sets_follow(node, noted, version));
    let wall = node.wall();
    let calls = &mut *node.calls.borrow_mut();
    for (service, names) in sets(&state) {
        calls
            .homes
            .apply_set(&service, names, version, follows, wall);
    }
    calls.noted = Some(version);
    if let Some(upstream) = upstream(&state, &node.upstream) {
        let cfg = AdmissionConfig::for_slots(upstream.slots);
        calls.admission.set_config(cfg);
    }
    version
}

fn sets_follow(node: &Node, noted: Version, version: Version) -> bool {
    if noted + 1 == version {
        return true;
    }
    let Some(deltas) = node.control.borrow().replica.deltas_after(noted) else {
        return false;
    };
    let changes_sets = deltas.iter().filter(|delta| {
        let put = delta.puts.iter().any(|it| it.kind() == Kind::Upstream);
        put || delta.deletes.iter().any(|it| it.kind == Kind::Upstream)
    });
    changes_sets.count() <= 1
}

pub(super) fn set_of(state: &State, service: &ServiceName) -> BTreeSet<UpstreamName> {
    let upstreams = state.of_kind(Kind::Upstream);
    let of_service = upstreams.filter_map(|held| match held.resource.as_ref() {
        Resource::Upstream(it) if it.service == *service => Some(it.name.clone()),
        _ => None,
    });
    of_service.collect()
}

fn sets(state: &State) -> Vec<(ServiceName, BTreeSet<UpstreamName>)> {
    let services = state.of_kind(Kind::Service);
    let names = services.map(|held| held.resource.key().name);
    names
        .map(|name| (name.clone(), set_of(state, &name)))
        .collect()
}

fn upstream(state: &State, name: &UpstreamName) -> Option<Upstream> {
    let mut upstreams = state.of_kind(Kind::Upstream);
    upstreams.find_map(|held| match held.resource.as_ref() {
        Resource::Upstream(it) if it.name == *name => Some(it.clone()),
        _ => None,
    })
}

/// Brings the router's candidates up to date.
pub(super) fn candidates(node: &Node) {
    let state = node.in_force();
    let now = node.now();
    for (service, names) in sets(&state) {
        let known = names
            .iter()
            .filter_map(|name| candidate(node, &state, name));
        let list: Vec<Candidate> = known.collect();
        let router = &mut node.calls.borrow_mut().router;
        router.set_candidates(&service, &list, now);
    }
}

fn candidate(node: &Node, state: &State, name: &UpstreamName) -> Option<Candidate> {
    let upstream = upstream(state, name)?;
    let control = node.control.borrow();
    let mut present = control.membership.table().present();
    let (_, entry) = present.find(|(_, it)| it.member.upstream == *name)?;
    let own = entry.member.instance == node.instance;
    let is_told = !node.world.is_without(Safeguard::Drain);
    let leaving =
        entry.member.state == MemberState::Leaving || own && is_told && node.is_draining();
    Some(Candidate {
        upstream: name.clone(),
        zone: entry.member.zone.clone(),
        incarnation: entry.member.birth,
        state: if leaving {
            CandidateState::Leaving
        } else {
            CandidateState::Ready
        },
        slots: upstream.slots,
        software: SmolStr::default(),
    })
}

/// The instance whose target serves an upstream.
pub(super) fn index_serving(node: &Node, name: &UpstreamName) -> Option<Index> {
    let control = node.control.borrow();
    let mut present = control.membership.table().present();
    let (_, entry) = present.find(|(_, it)| it.member.upstream == *name)?;
    Some(index_of(entry.member.peer))
}
