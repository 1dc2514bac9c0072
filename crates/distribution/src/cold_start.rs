//! How a daemon that holds nothing gets its first configuration.

use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use stoatstep_membership::{MemberKey, Time};
use stoatstep_resource::Version;

use crate::jitter::{backoff, full_jitter};

/// Longest wait before the first read of the platform. A zone of 76 that
/// restarts at once stays under 100 reads a second by it.
const START_SPREAD: Time = Time::from_millis(1200);

/// Tries at own-zone peers, and as many at those of other zones, before the
/// platform's snapshot is read.
const PEER_TRIES: u32 = 3;

/// Daemons a second that may read the snapshot when a whole fleet starts.
const SNAPSHOTS_PER_S: f64 = 50.0;

/// Shortest bound of the wait before the snapshot is read.
const MIN_SNAPSHOT_SPREAD: Time = Time::from_millis(500);

const FIRST_BACKOFF: Time = Time::from_secs(2);
const MAX_BACKOFF: Time = Time::from_secs(8);

/// Wait between two peers that had nothing.
const PEER_PAUSE: Time = Time::from_millis(100);

/// Time within which someone from the roster should have answered.
const MEET_WAIT: Time = Time::from_secs(1);

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Read the platform's head and announcement rows in one read.
    ReadRoster {
        /// Read all rows, and not only a few neighbours': those that were read
        /// first are all of instances that are gone.
        wide: bool,
    },
    /// Ask this peer for its whole state.
    PullPeer(MemberKey),
    /// Read the platform's snapshot and the log after it.
    PullPlatform,
}

/// Where the daemon stands at a tick.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Standing<'a> {
    /// The version that it holds.
    pub held: Version,
    /// Whether it has learned enough to serve; see [`crate::Serving`].
    pub may_serve: bool,
    /// Peers of the own zone that answered.
    pub near: &'a [MemberKey],
    /// Peers of other zones that answered.
    pub far: &'a [MemberKey],
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Roster,
    Peers,
    Platform,
    Done,
}

/// Leads a starting daemon from nothing to the newest version.
///
/// Its one early read of the platform tells it the head and a few neighbours;
/// whom they know, it learns from them. The configuration comes from peers, so
/// that a zone of 76 that restarts costs the platform at most 76 small reads
/// and, in the usual case, no snapshot. Where the platform does not answer, peers
/// that know this daemon find it, and it does without the read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ColdStart {
    rng: Xoshiro256PlusPlus,
    phase: Phase,
    next: Time,
    under_way: bool,
    failures: u32,
    tries: u32,
    head: Version,
    has_read: bool,
    has_read_wide: bool,
    meet_until: Time,
    candidates: usize,
}

impl ColdStart {
    /// A machine for a daemon that starts at `now`.
    #[must_use]
    pub fn new(now: Time, seed: u64) -> Self {
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
        let next = now + full_jitter(&mut rng, START_SPREAD);
        Self {
            rng,
            phase: Phase::Roster,
            next,
            under_way: false,
            failures: 0,
            tries: 0,
            head: 0,
            has_read: false,
            has_read_wide: false,
            meet_until: Time::ZERO,
            candidates: 0,
        }
    }

    /// Whether the daemon holds what it started to look for.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.phase == Phase::Done
    }

    /// Whether the platform answered once since the start.
    #[must_use]
    pub fn has_read_roster(&self) -> bool {
        self.has_read
    }

    /// The next step, if one is due.
    pub fn tick(&mut self, now: Time, standing: Standing<'_>) -> Option<Step> {
        if self.has_all(standing) {
            self.phase = Phase::Done;
        }
        if self.under_way || now < self.next {
            return None;
        }
        let step = match self.phase {
            Phase::Done => return None,
            Phase::Roster => Step::ReadRoster {
                wide: self.has_read_wide,
            },
            Phase::Peers => self.choose_peer(now, standing)?,
            Phase::Platform => Step::PullPlatform,
        };
        self.under_way = true;
        Some(step)
    }

    fn has_all(&self, standing: Standing<'_>) -> bool {
        let knows_someone = !standing.near.is_empty() || !standing.far.is_empty();
        if self.phase == Phase::Roster {
            return knows_someone && standing.held > 0 && standing.may_serve;
        }
        let is_alone = self.candidates == 0;
        standing.held >= self.head && (knows_someone || is_alone)
    }

    fn choose_peer(&mut self, now: Time, standing: Standing<'_>) -> Option<Step> {
        let Standing { near, far, .. } = standing;
        if near.is_empty() && far.is_empty() {
            return self.meet_someone(now);
        }
        let own_first = self.tries < PEER_TRIES && !near.is_empty();
        let from = if own_first || far.is_empty() {
            near
        } else {
            far
        };
        self.tries += 1;
        if self.tries > 2 * PEER_TRIES {
            self.turn_to_platform(now, near.len() + far.len() + 1);
            return None;
        }
        from.choose(&mut self.rng).copied().map(Step::PullPeer)
    }

    /// Nobody has answered yet. Neighbours' rows outlive a crash, and where all
    /// that were read are of the dead, a daemon that read no further would
    /// stay alone for ever.
    fn meet_someone(&mut self, now: Time) -> Option<Step> {
        if self.candidates > 0 && now < self.meet_until {
            return None;
        }
        if self.candidates > 0 && !self.has_read_wide {
            self.has_read_wide = true;
            return Some(Step::ReadRoster { wide: true });
        }
        self.candidates = 0;
        self.turn_to_platform(now, 1);
        None
    }

    /// Waits so that a fleet which starts as a whole reads its first few
    /// snapshots and passes them on, while the others still wait.
    fn turn_to_platform(&mut self, now: Time, fleet: usize) {
        self.phase = Phase::Platform;
        let fleet = u32::try_from(fleet).unwrap_or(u32::MAX);
        let bound = Time::from_secs_f64(f64::from(fleet) / SNAPSHOTS_PER_S);
        let bound = bound.max(MIN_SNAPSHOT_SPREAD);
        self.next = now + full_jitter(&mut self.rng, bound);
    }

    /// The roster was read: `head` is the newest version, and `candidates` others
    /// announced themselves.
    pub fn roster_read(&mut self, now: Time, head: Version, candidates: usize) {
        self.under_way = false;
        self.has_read = true;
        self.candidates = candidates;
        self.meet_until = now + MEET_WAIT;
        self.failures = 0;
        self.head = head;
        self.phase = Phase::Peers;
        self.next = now;
    }

    /// The platform did not answer. Peers may still find this daemon, and then
    /// what they hold is pulled without it.
    pub fn roster_failed(&mut self, now: Time) {
        self.fail(now);
    }

    /// A pull ended.
    pub fn pulled(&mut self, now: Time, held: Version) {
        if held >= self.head {
            self.under_way = false;
            self.phase = Phase::Done;
        } else if self.phase == Phase::Platform {
            self.phase = Phase::Peers;
            self.tries = self.rng.random_range(0..PEER_TRIES);
            self.fail(now);
        } else {
            self.under_way = false;
            self.next = now + full_jitter(&mut self.rng, PEER_PAUSE);
        }
    }

    fn fail(&mut self, now: Time) {
        self.under_way = false;
        let bound = backoff(FIRST_BACKOFF, self.failures, MAX_BACKOFF);
        self.next = now + full_jitter(&mut self.rng, bound);
        self.failures = self.failures.saturating_add(1);
    }
}
