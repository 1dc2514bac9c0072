//! One idempotency key that its caller sends several times, through any entry,
//! while its home moves, restarts and forgets, and while clocks differ.
//!
//! Each executor's memory of keys is a shipped
//! [`IdempotencyTable`](stoatstep_calls::IdempotencyTable), and who may run the key is
//! decided by a shipped [`HomeHistory`](stoatstep_calls::HomeHistory). The order in
//! which the daemon calls them is asynchronous code there and written here anew.
//! Keys that state no time are fenced by a row in the platform's table, which
//! is not part of this specification.

mod home;
mod successors;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use smol_str::SmolStr;
use stoatstep_calls::{AttemptId, IdempotencyKey, KeyText, WallTime, home_of};
use stoatstep_resource::UpstreamName;

use crate::invariant::Invariant;
use crate::safeguard::Safeguards;
use crate::search::Spec;
use crate::shared::Shared;

use home::Executor;

/// Most that two clocks may differ, in ticks.
const SKEW: u8 = 1;

/// How long a key is remembered, in ticks.
const RETENTION: u8 = 3;

/// Reading of a right calendar clock when the search starts, in seconds.
const BEGINNING: u64 = 1_000;

/// Age of the executors when the search starts, in seconds.
const UPTIME: u64 = 100;

/// Upstreams, one for each executor.
const UPSTREAMS: [&str; 2] = ["a", "b"];

/// What becomes of the second executor when version 3 takes its upstream away.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Removal {
    /// It has been stopped, as operators are told to do before they delete an
    /// upstream.
    Stopped,
    /// It goes on, and may learn of it late.
    Live,
}

/// How many ticks each calendar clock is ahead of the slowest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Clocks {
    /// That of the caller who makes the key.
    pub caller: u8,
    /// That of the key's first home.
    pub first: u8,
    /// That of the other executor.
    pub second: u8,
}

/// Bounds of an [`IntentSpec`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IntentBounds {
    /// How often the caller sends the key.
    pub tries: u8,
    /// Tick at which the caller makes the key.
    pub made_at: u8,
    /// Versions: at 1 the first executor is the home, at 2 the second, and at 3
    /// the first again.
    pub versions: u8,
    /// What version 3 does to the second executor.
    pub removal: Removal,
    /// Whether executors may skip versions, as those do that read a whole state.
    pub skips: bool,
    /// Restarts of executors.
    pub restarts: u8,
    /// Planned restarts, each with the memory handed over.
    pub planned: u8,
    /// Runs whose answer may be lost.
    pub lost: u8,
    /// Ticks of the clocks.
    pub ticks: u8,
    /// How the clocks differ.
    pub clocks: Clocks,
}

/// One key.
#[derive(Clone, Debug)]
pub struct IntentSpec {
    bounds: IntentBounds,
    safeguards: Safeguards,
    key: IdempotencyKey,
    /// The set of upstreams at each version, from 1.
    sets: Vec<BTreeSet<UpstreamName>>,
}

/// What each executor knows, what is on its way, and how often the key ran.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct IntentState {
    now: u8,
    head: u8,
    sent: u8,
    /// Attempts on their way, with the version of the entry that sent each.
    messages: BTreeMap<AttemptId, u8>,
    executors: Vec<Shared<Executor>>,
    runs: u8,
    /// Whether the second executor was stopped for good.
    stopped: bool,
    restarts: u8,
    planned: u8,
    lost: u8,
}

/// One event. Executors have numbers from 0, attempts from 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IntentStep {
    /// An entry that holds this version sends the key.
    Send(u8),
    /// An attempt comes in at the home that its entry sees.
    Arrive(AttemptId),
    /// A previous home answers for the attempt at this executor.
    Ask(usize, AttemptId),
    /// That answer comes in.
    Hear(usize, AttemptId),
    /// The attempt is given to the target.
    Start(usize, AttemptId),
    /// The previous home is known to be gone.
    Gone(usize, AttemptId),
    /// The attempt is refused before that.
    Refuse(usize, AttemptId),
    /// The target answers.
    Finish(usize, AttemptId),
    /// The connection to the target breaks.
    Lose(usize, AttemptId),
    /// The platform accepts the next version.
    Accept,
    /// An executor applies the next version.
    Apply(usize),
    /// An executor skips to the newest version.
    Skip(usize),
    /// An executor drops what is old.
    Clean(usize),
    /// An executor restarts. What its target runs goes on.
    Restart(usize),
    /// An executor that runs nothing stops, and the next process takes over its
    /// memory.
    HandOver(usize),
    /// Time goes on.
    Tick,
}

impl IntentSpec {
    /// One key and its caller.
    #[must_use]
    pub fn new(bounds: IntentBounds, safeguards: Safeguards) -> Self {
        let (first, both) = (set(&UPSTREAMS[..1]), set(&UPSTREAMS));
        Self {
            bounds,
            safeguards,
            key: key_that_moves(&both, wall(bounds.made_at, bounds.clocks.caller)),
            sets: vec![first.clone(), both, first],
        }
    }

    fn clock_of(&self, executor: usize) -> u8 {
        match executor {
            0 => self.bounds.clocks.first,
            _ => self.bounds.clocks.second,
        }
    }

    fn set_at(&self, version: u8) -> &BTreeSet<UpstreamName> {
        &self.sets[usize::from(version) - 1]
    }

    /// The executor that is the key's home at a version.
    fn home_at(&self, version: u8) -> usize {
        let home = home_of(self.set_at(version), &self.key);
        let index = UPSTREAMS
            .iter()
            .position(|it| home.is_some_and(|home| home == it));
        index.unwrap_or_default()
    }
}

impl Spec for IntentSpec {
    type State = IntentState;
    type Step = IntentStep;

    fn start(&self) -> IntentState {
        let executor = |number| {
            let started =
                wall(0, self.clock_of(number)).saturating_sub(Duration::from_secs(UPTIME));
            let set = self.set_at(1).clone();
            Shared::new(Executor::new(number, started, 1, set, self.safeguards))
        };
        IntentState {
            now: 0,
            head: 1,
            sent: 0,
            messages: BTreeMap::new(),
            executors: (0..UPSTREAMS.len()).map(executor).collect(),
            runs: 0,
            stopped: false,
            restarts: self.bounds.restarts,
            planned: self.bounds.planned,
            lost: self.bounds.lost,
        }
    }

    fn steps(&self, state: &IntentState) -> Vec<(IntentStep, IntentState)> {
        self.successors(state)
    }

    fn violated(&self, state: &IntentState) -> Option<Invariant> {
        (state.runs > 1).then_some(Invariant::RunsOnce)
    }
}

fn set(names: &[&str]) -> BTreeSet<UpstreamName> {
    names.iter().copied().map(SmolStr::from).collect()
}

/// Reading of a clock that is `ahead`, at tick `now`.
fn wall(now: u8, ahead: u8) -> WallTime {
    Duration::from_secs(BEGINNING) + ticks(now + ahead)
}

fn ticks(count: u8) -> Duration {
    Duration::from_secs(u64::from(count))
}

/// A key whose home is the second upstream while there are both.
fn key_that_moves(both: &BTreeSet<UpstreamName>, created: WallTime) -> IdempotencyKey {
    let keys = (0..).map(|number: u32| IdempotencyKey {
        service: "floatdesk".into(),
        tenant: "elm-school".into(),
        key: KeyText::Timed {
            text: smol_str::format_smolstr!("key-{number}"),
            created,
        },
    });
    let moves = |key: &IdempotencyKey| home_of(both, key).is_some_and(|it| it == UPSTREAMS[1]);
    let mut moving = keys.into_iter().filter(moves);
    moving.next().expect("some key has this home")
}
