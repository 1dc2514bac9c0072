//! A customer's key that is revoked while daemons are disconnected, suspended or restarted.
//!
//! One daemon reads from the platform's store, another one from the first. Answers are delayed or
//! lost. A daemon accepts the key while it holds the version with the key and its configuration was
//! confirmed recently enough.

use std::time::Duration;

use stoatstep_distribution::Confirmation;

use crate::invariant::Invariant;
use crate::safeguard::{Safeguard, Safeguards};
use crate::search::Spec;

/// Number of daemons: the first one reads from the store, the second one from the first.
const DAEMONS: usize = 2;

/// The version that contains the key, and the next one, which does not.
const WITH_KEY: u8 = 1;
const WITHOUT_KEY: u8 = 2;

/// Ticks for which the key may still be accepted after it was revoked.
const REVOCATION_BOUND: u8 = 3;

/// Bounds of a [`ApiKeySpec`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ApiKeyBounds {
    /// Ticks of the clocks.
    pub ticks: u8,
    /// Answers in flight at a time.
    pub in_flight: usize,
    /// Restarts of daemons.
    pub restarts: u8,
    /// Ticks during which a daemon is suspended.
    pub sleeps: u8,
}

/// Specification of a revoked key at two daemons.
#[derive(Clone, Copy, Debug)]
pub struct ApiKeySpec {
    bounds: ApiKeyBounds,
    safeguards: Safeguards,
}

/// State of one daemon.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct ApiKeyDaemon {
    /// Version that the daemon holds, or 0 if none.
    version: u8,
    confirmation: Confirmation,
    /// Ticks during which the daemon was suspended.
    slept: u8,
}

/// An answer in flight.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ApiKeyAnswer {
    to: usize,
    /// Time of the request, by the asking daemon's clock.
    asked_at: Duration,
    version: u8,
    age: Duration,
}

/// Everything that later steps depend on.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ApiKeyState {
    now: u8,
    /// Tick at which the store acknowledged that the key was revoked.
    removed_at: Option<u8>,
    daemons: [ApiKeyDaemon; DAEMONS],
    answers: Vec<ApiKeyAnswer>,
    restarts: u8,
    sleeps: u8,
}

/// One event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ApiKeyStep {
    /// Time passes.
    Tick,
    /// Time passes while this daemon is suspended.
    Sleep(usize),
    /// The store acknowledges the version without the key.
    Remove,
    /// This daemon sends a request, and the answer to it is in flight.
    Ask(usize),
    /// The oldest answer in flight arrives.
    Deliver,
    /// The oldest answer in flight is lost.
    Lose,
    /// This daemon restarts and gets the configuration from the other one.
    Restart(usize),
}

impl ApiKeySpec {
    /// Creates a specification with these bounds and safeguards.
    #[must_use]
    pub fn new(bounds: ApiKeyBounds, safeguards: Safeguards) -> Self {
        Self { bounds, safeguards }
    }

    /// The time by a daemon's own clock.
    fn clock(&self, state: &ApiKeyState, daemon: usize) -> Duration {
        let slept = if self.safeguards.has(Safeguard::SleepCounts) {
            0
        } else {
            state.daemons[daemon].slept
        };
        Duration::from_secs((state.now - slept).into())
    }

    fn ask(&self, state: &mut ApiKeyState, daemon: usize) {
        let asked_at = self.clock(state, daemon);
        let (version, age) = if daemon == 0 {
            (store_version(state), Some(Duration::ZERO))
        } else {
            let peer = &state.daemons[0];
            (peer.version, peer.confirmation.age(self.clock(state, 0)))
        };
        if let Some(age) = age {
            state.answers.push(ApiKeyAnswer {
                to: daemon,
                asked_at,
                version,
                age,
            });
        }
    }

    fn deliver(&self, state: &mut ApiKeyState, answer: &ApiKeyAnswer) {
        let now = self.clock(state, answer.to);
        let daemon = &mut state.daemons[answer.to];
        // The store's answer contains the version; a peer's contains only its number.
        if answer.to == 0 {
            daemon.version = daemon.version.max(answer.version);
        }
        let is_held = daemon.version >= answer.version;
        if !is_held && self.safeguards.has(Safeguard::ConfirmsOnlyHeld) {
            return;
        }
        let from = if self.safeguards.has(Safeguard::AgeFromQuestion) {
            answer.asked_at
        } else {
            now
        };
        daemon.confirmation.confirm_by_peer(from, answer.age);
    }

    fn restart(&self, state: &mut ApiKeyState, daemon: usize) {
        let now = self.clock(state, daemon);
        let other = state.daemons[1 - daemon].version;
        let slept = state.daemons[daemon].slept;
        let mut confirmation = Confirmation::default();
        if !self.safeguards.has(Safeguard::CopyConfirmsNothing) {
            confirmation.confirm(now);
        }
        state.daemons[daemon] = ApiKeyDaemon {
            version: other,
            confirmation,
            slept,
        };
        state.answers.retain(|it| it.to != daemon);
    }

    fn accepts_key(&self, state: &ApiKeyState, daemon: usize) -> bool {
        let held = &state.daemons[daemon];
        let bound = Duration::from_secs(REVOCATION_BOUND.into());
        held.version == WITH_KEY
            && held
                .confirmation
                .is_within(bound, self.clock(state, daemon))
    }
}

fn store_version(state: &ApiKeyState) -> u8 {
    if state.removed_at.is_some() {
        WITHOUT_KEY
    } else {
        WITH_KEY
    }
}

impl Spec for ApiKeySpec {
    type State = ApiKeyState;
    type Step = ApiKeyStep;

    fn start(&self) -> ApiKeyState {
        ApiKeyState {
            now: 0,
            removed_at: None,
            daemons: std::array::from_fn(|_| ApiKeyDaemon {
                version: WITH_KEY,
                ..ApiKeyDaemon::default()
            }),
            answers: Vec::new(),
            restarts: 0,
            sleeps: 0,
        }
    }

    fn steps(&self, state: &ApiKeyState) -> Vec<(ApiKeyStep, ApiKeyState)> {
        let mut steps = Vec::new();
        let mut add = |step, change: &dyn Fn(&mut ApiKeyState)| {
            let mut next = state.clone();
            change(&mut next);
            steps.push((step, next));
        };
        let has_time = state.now < self.bounds.ticks;
        if has_time {
            add(ApiKeyStep::Tick, &|it| it.now += 1);
        }
        if state.removed_at.is_none() {
            add(ApiKeyStep::Remove, &|it| it.removed_at = Some(it.now));
        }
        if let Some(answer) = state.answers.first() {
            add(ApiKeyStep::Deliver, &|it| {
                it.answers.remove(0);
                self.deliver(it, answer);
            });
            add(ApiKeyStep::Lose, &|it| {
                it.answers.remove(0);
            });
        }
        for daemon in 0..DAEMONS {
            if state.answers.len() < self.bounds.in_flight {
                add(ApiKeyStep::Ask(daemon), &|it| self.ask(it, daemon));
            }
            if has_time && state.sleeps < self.bounds.sleeps {
                add(ApiKeyStep::Sleep(daemon), &|it| {
                    it.now += 1;
                    it.sleeps += 1;
                    it.daemons[daemon].slept += 1;
                });
            }
            if state.restarts < self.bounds.restarts {
                add(ApiKeyStep::Restart(daemon), &|it| {
                    it.restarts += 1;
                    self.restart(it, daemon);
                });
            }
        }
        steps
    }

    fn violated(&self, state: &ApiKeyState) -> Option<Invariant> {
        let removed_at = state.removed_at?;
        let is_over = state.now >= removed_at + REVOCATION_BOUND;
        let is_accepted = (0..DAEMONS).any(|daemon| self.accepts_key(state, daemon));
        (is_over && is_accepted).then_some(Invariant::KeyEnds)
    }
}
