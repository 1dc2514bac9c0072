//! Which daemons poll the platform for its head, and how often.

use rand::SeedableRng;
use rand_xoshiro::Xoshiro256PlusPlus;
use stoatstep_membership::{MemberKey, Time};

use crate::jitter::{backoff, full_jitter};
use crate::tree::rendezvous_weight;

/// Number of pollers in each zone. With two, the failure of one delays nothing.
const POLLERS: usize = 2;

/// Hash seed that makes the choice of pollers independent of the trees.
const POLLER_SEED: u64 = 0x706f_6c6c;

/// Interval between two polls of a poller.
const INTERVAL: Time = Time::from_secs(1);

/// Age of the newest report of the head from which a daemon polls for itself.
const MAX_HEAD_AGE: Time = Time::from_secs(20);

/// Reads a second that all daemons together may spend on polling for themselves. With 16 pollers in
/// 8 zones the total stays well under 100.
const SELF_READS_PER_S: f64 = 50.0;

const MAX_BACKOFF: Time = Time::from_secs(8);

/// The result of a poll.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollOutcome {
    /// The head was read.
    Read,
    /// The platform did not answer.
    Failed,
}

/// How a daemon learns of the platform's newest version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollRole {
    /// From other daemons.
    Idle,
    /// It polls the platform for its zone.
    Poller,
    /// It polls the platform for itself, because no other daemon reported the head for too long.
    OnOwnBehalf,
}

/// Decides when this daemon reads the head.
///
/// There is no election: each daemon takes the two members of its zone with the lowest hash among
/// those it believes alive. Where views differ, a third daemon polls for a while, or only one does;
/// neither does harm.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Poller {
    rng: Xoshiro256PlusPlus,
    role: PollRole,
    next: Time,
    under_way: bool,
    failures: u32,
}

impl Poller {
    /// Creates a poller that draws its random delays from `seed`.
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

    /// Returns whether this daemon was one of its zone's pollers at the last tick.
    #[must_use]
    pub fn is_poller(&self) -> bool {
        self.role == PollRole::Poller
    }

    /// Returns whether to read the head now. `zone` holds the live members of the own zone, `fleet`
    /// is the number of all live members, and `head_age` is the time since any daemon is known to
    /// have read the head.
    pub fn tick(
        &mut self,
        now: Time,
        me: MemberKey,
        zone: &[MemberKey],
        fleet: usize,
        head_age: Option<Time>,
    ) -> bool {
        let role = PollRole::of(me, zone, head_age, MAX_HEAD_AGE);
        if role != self.role {
            self.role = role;
            let delay = self.next_delay(fleet);
            self.next = now + delay;
        }
        let is_due = role != PollRole::Idle && !self.under_way && self.next <= now;
        if is_due {
            self.under_way = true;
            let delay = self.next_delay(fleet);
            self.next = now + delay;
        }
        is_due
    }

    /// Records the result of a poll. Failures make polls rarer. A success does not cause a burst of
    /// polls in the fleet, since every delay is drawn anew.
    pub fn record_outcome(&mut self, outcome: PollOutcome) {
        self.under_way = false;
        self.failures = match outcome {
            PollOutcome::Read => 0,
            PollOutcome::Failed => self.failures.saturating_add(1),
        };
    }

    fn next_delay(&mut self, fleet: usize) -> Time {
        match self.role {
            PollRole::Idle => Time::ZERO,
            PollRole::Poller if self.failures == 0 => INTERVAL,
            PollRole::Poller => {
                let bound = backoff(INTERVAL, self.failures, MAX_BACKOFF);
                INTERVAL / 2 + full_jitter(&mut self.rng, bound)
            }
            PollRole::OnOwnBehalf => self.self_poll_delay(fleet),
        }
    }

    /// Draws a delay uniformly up to twice the mean that keeps a fleet of this size within its
    /// budget, even if all daemons start to poll for themselves in the same second.
    fn self_poll_delay(&mut self, fleet: usize) -> Time {
        let fleet = u32::try_from(fleet).unwrap_or(u32::MAX);
        let mean = Time::from_secs_f64(f64::from(fleet) / SELF_READS_PER_S).max(INTERVAL);
        full_jitter(&mut self.rng, mean * 2)
    }
}

impl PollRole {
    /// Returns the role of `me` among the live members of its zone. `head_age` is the time since
    /// any daemon is known to have read the head, and `max_head_age` is the age from which a daemon
    /// polls for itself.
    #[must_use]
    pub fn of(
        me: MemberKey,
        zone: &[MemberKey],
        head_age: Option<Time>,
        max_head_age: Time,
    ) -> Self {
        if Self::polls(me, zone) {
            return Self::Poller;
        }
        if head_age.is_none_or(|age| age > max_head_age) {
            return Self::OnOwnBehalf;
        }
        Self::Idle
    }

    /// Returns whether `member` polls for its zone, whose live members are `zone`.
    #[must_use]
    pub fn polls(member: MemberKey, zone: &[MemberKey]) -> bool {
        let weight = rendezvous_weight(POLLER_SEED, member);
        let is_before =
            |key: &&MemberKey| **key != member && rendezvous_weight(POLLER_SEED, **key) < weight;
        zone.iter().filter(is_before).count() < POLLERS
    }
}
