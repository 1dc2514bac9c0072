//! One idempotency key that its caller sends several times, through any entry, while its home (the
//! executor that is responsible for the key) changes, restarts and drops records, and while clocks
//! differ.
//!
//! Each executor has a production [`IdempotencyTable`](stoatstep_calls::IdempotencyTable), and a
//! production [`HomeHistory`](stoatstep_calls::HomeHistory) decides which executor may run the key.
//! The order in which they are called is asynchronous code in the daemon and reimplemented here.
//! Keys without a creation time are protected by a row in the platform's table, which is not part
//! of this specification.

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

/// Largest allowed difference between two clocks, in ticks.
const SKEW: u8 = 1;

/// Time for which the record of a key is kept, in ticks.
const RETENTION: u8 = 3;

/// Reading of a calendar clock without skew in the initial state, in seconds.
const START_READING: u64 = 1_000;

/// Time since the executors' start in the initial state, in seconds.
const UPTIME: u64 = 100;

/// Names of the upstreams, one for each executor.
const UPSTREAMS: [&str; 2] = ["a", "b"];

/// What happens to the second executor when version 3 removes its upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Removal {
    /// The executor has been stopped, as operators should do before they delete an upstream.
    Stopped,
    /// The executor continues, and may apply version 3 late.
    Live,
}

/// Number of ticks by which each calendar clock is ahead of one without skew.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Clocks {
    /// The clock of the caller that creates the key.
    pub caller: u8,
    /// The clock of the key's first home.
    pub first: u8,
    /// The clock of the other executor.
    pub second: u8,
}

/// Bounds of an [`IdempotencySpec`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IdempotencyBounds {
    /// Number of attempts that the caller sends with the key.
    pub attempts: u8,
    /// Tick at which the caller creates the key.
    pub created_at: u8,
    /// Number of versions: at version 1 the first executor is the home, at version 2 the second,
    /// and at version 3 the first again.
    pub versions: u8,
    /// What happens to the second executor at version 3.
    pub removal: Removal,
    /// Whether executors may skip versions, as a daemon that reads a whole state does.
    pub skips: bool,
    /// Unplanned restarts of executors.
    pub restarts: u8,
    /// Planned restarts, at each of which the next process restores the stored snapshot.
    pub planned_restarts: u8,
    /// Runs whose answer may be lost.
    pub lost_answers: u8,
    /// Ticks of the clocks.
    pub ticks: u8,
    /// Skew of the clocks.
    pub clocks: Clocks,
}

/// Specification of one idempotency key.
#[derive(Clone, Debug)]
pub struct IdempotencySpec {
    bounds: IdempotencyBounds,
    safeguards: Safeguards,
    key: IdempotencyKey,
    /// The set of upstreams at each version, from 1.
    sets: Vec<BTreeSet<UpstreamName>>,
}

/// State of the executors and of the attempts in flight, and the number of runs of the key.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct IdempotencyState {
    now: u8,
    head: u8,
    sent: u8,
    /// Attempts in flight, each with the version that its entry held.
    messages: BTreeMap<AttemptId, u8>,
    executors: Vec<Shared<Executor>>,
    runs: u8,
    /// Whether the second executor was stopped for good.
    stopped: bool,
    restarts: u8,
    planned_restarts: u8,
    lost_answers: u8,
}

/// One event. Executors are numbered from 0, attempts from 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdempotencyStep {
    /// An entry that holds this version sends the key.
    Send(u8),
    /// An attempt arrives at the key's home by the version of its entry.
    Arrive(AttemptId),
    /// A previous home answers this executor's query about the attempt.
    Ask(usize, AttemptId),
    /// The answer of a previous home arrives.
    Hear(usize, AttemptId),
    /// The attempt is sent to the target.
    Start(usize, AttemptId),
    /// The executor learns that the previous home was deleted.
    Gone(usize, AttemptId),
    /// The attempt is refused before it is sent to the target.
    Refuse(usize, AttemptId),
    /// The target answers.
    Finish(usize, AttemptId),
    /// The connection to the target breaks while the attempt runs, so its answer is lost.
    Lose(usize, AttemptId),
    /// The platform accepts the next version.
    Accept,
    /// An executor applies the next version.
    Apply(usize),
    /// An executor skips versions and applies the newest one.
    Skip(usize),
    /// An executor drops expired records.
    Clean(usize),
    /// An executor restarts, while its target continues to run.
    Restart(usize),
    /// An executor without attempts stops as planned, and the next process restores its snapshot.
    HandOver(usize),
    /// Time advances by one tick.
    Tick,
}

impl IdempotencySpec {
    /// Creates a specification of one key and its caller.
    #[must_use]
    pub fn new(bounds: IdempotencyBounds, safeguards: Safeguards) -> Self {
        let (first, both) = (set(&UPSTREAMS[..1]), set(&UPSTREAMS));
        Self {
            bounds,
            safeguards,
            key: key_with_changing_home(&both, wall(bounds.created_at, bounds.clocks.caller)),
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

impl Spec for IdempotencySpec {
    type State = IdempotencyState;
    type Step = IdempotencyStep;

    fn start(&self) -> IdempotencyState {
        let executor = |number| {
            let started =
                wall(0, self.clock_of(number)).saturating_sub(Duration::from_secs(UPTIME));
            let set = self.set_at(1).clone();
            Shared::new(Executor::new(number, started, 1, set, self.safeguards))
        };
        IdempotencyState {
            now: 0,
            head: 1,
            sent: 0,
            messages: BTreeMap::new(),
            executors: (0..UPSTREAMS.len()).map(executor).collect(),
            runs: 0,
            stopped: false,
            restarts: self.bounds.restarts,
            planned_restarts: self.bounds.planned_restarts,
            lost_answers: self.bounds.lost_answers,
        }
    }

    fn steps(&self, state: &IdempotencyState) -> Vec<(IdempotencyStep, IdempotencyState)> {
        self.successors(state)
    }

    fn violated(&self, state: &IdempotencyState) -> Option<Invariant> {
        (state.runs > 1).then_some(Invariant::RunsOnce)
    }
}

fn set(names: &[&str]) -> BTreeSet<UpstreamName> {
    names.iter().copied().map(SmolStr::from).collect()
}

/// Reading at tick `now` of a clock that is `ahead` by this number of ticks.
fn wall(now: u8, ahead: u8) -> WallTime {
    Duration::from_secs(START_READING) + ticks(now + ahead)
}

fn ticks(count: u8) -> Duration {
    Duration::from_secs(u64::from(count))
}

/// Returns a key whose home is the second upstream while both exist.
fn key_with_changing_home(both: &BTreeSet<UpstreamName>, created: WallTime) -> IdempotencyKey {
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
