//! Who asks the platform for its head, and how often.

use rand::SeedableRng;
use rand_xoshiro::Xoshiro256PlusPlus;
use stoatstep_membership::{MemberKey, Time};

use crate::jitter::{backoff, full_jitter};
use crate::tree::rendezvous;

/// Pollers of each zone. Two, so that the death of one goes unnoticed.
const POLLERS: usize = 2;

/// Seed that sets the choice of pollers apart from that of trees.
const POLLER_SEED: u64 = 0x706f_6c6c;

/// Time between two polls of a poller.
const INTERVAL: Time = Time::from_secs(1);

/// Age of the newest word about the head from which a daemon asks for itself.
const SILENCE: Time = Time::from_secs(20);

/// Reads a second that all daemons together may spend on asking for
/// themselves. With 16 pollers in 8 zones it stays well under 100.
const SELF_READS_PER_S: f64 = 50.0;

const MAX_BACKOFF: Time = Time::from_secs(8);

/// How a poll ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollOutcome {
    /// The head was read.
    Read,
    /// The platform did not answer.
    Failed,
}

/// What a daemon has to do with the platform's newest version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollRole {
    /// Others tell it.
    Idle,
    /// It asks for its zone.
    Poller,
    /// Nobody has told it for too long, so it asks for itself.
    OnOwnBehalf,
}

/// Decides when this daemon reads the head.
///
/// Nobody is elected: each daemon takes the two of its zone with the lowest
/// hash among those it believes alive. Where views differ, a third daemon polls
/// for a while, or only one does; neither does harm.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Poller {
    rng: Xoshiro256PlusPlus,
    role: PollRole,
    next: Time,
    under_way: bool,
    failures: u32,
}

impl Poller {
    /// A machine with randomness from `seed`.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            role: PollRole::Idle,
            next: Time::ZERO,
            under_way: false,
            failures: 0,
        }
    }

    /// Whether this daemon was one of its zone's pollers at the last tick.
    #[must_use]
    pub fn is_poller(&self) -> bool {
        self.role == PollRole::Poller
    }

    /// Whether to read the head now. `zone` are the live members of the own
    /// zone, `fleet` the number of all live members, and `head_age` the time
    /// since anyone this daemon heard of read the head.
    pub fn tick(
        &mut self,
        now: Time,
        me: MemberKey,
        zone: &[MemberKey],
        fleet: usize,
        head_age: Option<Time>,
    ) -> bool {
        let role = PollRole::of(me, zone, head_age, SILENCE);
        if role != self.role {
            self.role = role;
            let wait = self.next_wait(fleet);
            self.next = now + wait;
        }
        let is_due = role != PollRole::Idle && !self.under_way && self.next <= now;
        if is_due {
            self.under_way = true;
            let wait = self.next_wait(fleet);
            self.next = now + wait;
        }
        is_due
    }

    /// Notes how the poll ended. Failures make the next ones rarer; a success
    /// does not bring them all at once, since every wait is drawn anew.
    pub fn polled(&mut self, outcome: PollOutcome) {
        self.under_way = false;
        self.failures = match outcome {
            PollOutcome::Read => 0,
            PollOutcome::Failed => self.failures.saturating_add(1),
        };
    }

    fn next_wait(&mut self, fleet: usize) -> Time {
        match self.role {
            PollRole::Idle => Time::ZERO,
            PollRole::Poller if self.failures == 0 => INTERVAL,
            PollRole::Poller => {
                let bound = backoff(INTERVAL, self.failures, MAX_BACKOFF);
                INTERVAL / 2 + full_jitter(&mut self.rng, bound)
            }
            PollRole::OnOwnBehalf => self.own_wait(fleet),
        }
    }

    /// Drawn evenly up to twice the mean that keeps a fleet of this size within
    /// its budget, also when all of it falls silent in the same second.
    fn own_wait(&mut self, fleet: usize) -> Time {
        let fleet = u32::try_from(fleet).unwrap_or(u32::MAX);
        let mean = Time::from_secs_f64(f64::from(fleet) / SELF_READS_PER_S).max(INTERVAL);
        full_jitter(&mut self.rng, mean * 2)
    }
}

impl PollRole {
    /// The role of `me` among the live members of its zone. `head_age` is the
    /// time since anyone that it heard of asked with success, and `silence` the
    /// age from which it asks for itself.
    #[must_use]
    pub fn of(me: MemberKey, zone: &[MemberKey], head_age: Option<Time>, silence: Time) -> Self {
        if Self::polls(me, zone) {
            return Self::Poller;
        }
        if head_age.is_none_or(|age| age > silence) {
            return Self::OnOwnBehalf;
        }
        Self::Idle
    }

    /// Whether `member` asks on behalf of its zone, of which these are the live members.
    #[must_use]
    pub fn polls(member: MemberKey, zone: &[MemberKey]) -> bool {
        let weight = rendezvous(POLLER_SEED, member);
        let is_before =
            |key: &&MemberKey| **key != member && rendezvous(POLLER_SEED, **key) < weight;
        zone.iter().filter(is_before).count() < POLLERS
    }
}
