//! How a daemon without a configuration gets its first one.

use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use stoatstep_membership::{MemberKey, Time};
use stoatstep_resource::Version;

use crate::jitter::{backoff, full_jitter};

/// Upper bound of the random delay before the first read of the platform. With it, a zone of 76
/// daemons that restart at once stays under 100 reads a second.
const START_SPREAD: Time = Time::from_millis(1200);

/// Number of attempts with peers of the own zone, and again with those of other zones, before the
/// platform's snapshot is read.
const PEER_TRIES: u32 = 3;

/// Snapshot reads a second that a fleet may make when all of it starts at once.
const SNAPSHOTS_PER_S: f64 = 50.0;

/// Minimum upper bound of the random delay before the snapshot is read.
const MIN_SNAPSHOT_SPREAD: Time = Time::from_millis(500);

const FIRST_BACKOFF: Time = Time::from_secs(2);
const MAX_BACKOFF: Time = Time::from_secs(8);

/// Upper bound of the random delay between two peers that had nothing newer.
const PEER_DELAY: Time = Time::from_millis(100);

/// Time within which some instance of the roster should have answered.
const CONTACT_TIMEOUT: Time = Time::from_secs(1);

/// What a starting daemon does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ColdStartAction {
    /// Read the platform's head and announcement rows in one read.
    ReadRoster {
        /// Whether to read all rows instead of a few neighbours', because the instances of the rows
        /// that were read first are all gone.
        all_rows: bool,
    },
    /// Request the whole state from this peer.
    PullPeer(MemberKey),
    /// Read the platform's snapshot and the log after it.
    PullPlatform,
}

/// The state of the daemon at a tick of [`ColdStart`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdStartInput<'a> {
    /// The version that the daemon holds.
    pub held: Version,
    /// Whether the daemon knows enough to serve; see [`crate::Serving`].
    pub may_serve: bool,
    /// Peers of the own zone that answered.
    pub own_zone: &'a [MemberKey],
    /// Peers of other zones that answered.
    pub other_zones: &'a [MemberKey],
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Roster,
    Peers,
    Platform,
    Done,
}

/// Brings a starting daemon from nothing to the newest version.
///
/// A single early read of the platform returns the head and a few neighbours; the daemon learns of
/// other members from these. The configuration comes from peers, so that a zone of 76 daemons that
/// restarts costs the platform at most 76 small reads and usually no snapshot. If the platform does
/// not answer, peers that know this daemon contact it, and it starts without the read.
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
    has_read_all_rows: bool,
    contact_deadline: Time,
    candidates: usize,
}

impl ColdStart {
    /// Creates the state machine of a daemon that starts at `now`.
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
            has_read_all_rows: false,
            contact_deadline: Time::ZERO,
            candidates: 0,
        }
    }

    /// Returns whether the cold start has ended.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.phase == Phase::Done
    }

    /// Returns whether the platform has answered since the start.
    #[must_use]
    pub fn has_read_roster(&self) -> bool {
        self.has_read
    }

    /// Returns the next action, if one is due.
    pub fn tick(&mut self, now: Time, input: ColdStartInput<'_>) -> Option<ColdStartAction> {
        if self.is_complete(input) {
            self.phase = Phase::Done;
        }
        if self.under_way || now < self.next {
            return None;
        }
        let action = match self.phase {
            Phase::Done => return None,
            Phase::Roster => ColdStartAction::ReadRoster {
                all_rows: self.has_read_all_rows,
            },
            Phase::Peers => self.choose_peer(now, input)?,
            Phase::Platform => ColdStartAction::PullPlatform,
        };
        self.under_way = true;
        Some(action)
    }

    fn is_complete(&self, input: ColdStartInput<'_>) -> bool {
        let knows_peer = !input.own_zone.is_empty() || !input.other_zones.is_empty();
        if self.phase == Phase::Roster {
            return knows_peer && input.held > 0 && input.may_serve;
        }
        let is_alone = self.candidates == 0;
        input.held >= self.head && (knows_peer || is_alone)
    }

    fn choose_peer(&mut self, now: Time, input: ColdStartInput<'_>) -> Option<ColdStartAction> {
        let ColdStartInput {
            own_zone,
            other_zones,
            ..
        } = input;
        if own_zone.is_empty() && other_zones.is_empty() {
            return self.await_contact(now);
        }
        let own_first = self.tries < PEER_TRIES && !own_zone.is_empty();
        let from = if own_first || other_zones.is_empty() {
            own_zone
        } else {
            other_zones
        };
        self.tries += 1;
        if self.tries > 2 * PEER_TRIES {
            self.schedule_snapshot(now, own_zone.len() + other_zones.len() + 1);
            return None;
        }
        from.choose(&mut self.rng)
            .copied()
            .map(ColdStartAction::PullPeer)
    }

    /// Handles the time in which no peer has answered. The rows of neighbours outlive a crash. If
    /// all rows that were read are of crashed instances, a daemon that read no more rows would stay
    /// alone for ever.
    fn await_contact(&mut self, now: Time) -> Option<ColdStartAction> {
        if self.candidates > 0 && now < self.contact_deadline {
            return None;
        }
        if self.candidates > 0 && !self.has_read_all_rows {
            self.has_read_all_rows = true;
            return Some(ColdStartAction::ReadRoster { all_rows: true });
        }
        self.candidates = 0;
        self.schedule_snapshot(now, 1);
        None
    }

    /// Turns to the platform after a random delay, so that a fleet that starts as a whole reads
    /// only a few snapshots and passes them on while the other daemons still wait.
    fn schedule_snapshot(&mut self, now: Time, fleet: usize) {
        self.phase = Phase::Platform;
        let fleet = u32::try_from(fleet).unwrap_or(u32::MAX);
        let bound = Time::from_secs_f64(f64::from(fleet) / SNAPSHOTS_PER_S);
        let bound = bound.max(MIN_SNAPSHOT_SPREAD);
        self.next = now + full_jitter(&mut self.rng, bound);
    }

    /// Records that the roster was read: `head` is the newest version, and `candidates` other
    /// instances have announcement rows.
    pub fn roster_read(&mut self, now: Time, head: Version, candidates: usize) {
        self.under_way = false;
        self.has_read = true;
        self.candidates = candidates;
        self.contact_deadline = now + CONTACT_TIMEOUT;
        self.failures = 0;
        self.head = head;
        self.phase = Phase::Peers;
        self.next = now;
    }

    /// Records that the platform did not answer. Peers may still contact this daemon, and then it
    /// pulls the configuration from them without the read.
    pub fn roster_failed(&mut self, now: Time) {
        self.fail(now);
    }

    /// Records the end of a pull.
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
            self.next = now + full_jitter(&mut self.rng, PEER_DELAY);
        }
    }

    fn fail(&mut self, now: Time) {
        self.under_way = false;
        let bound = backoff(FIRST_BACKOFF, self.failures, MAX_BACKOFF);
        self.next = now + full_jitter(&mut self.rng, bound);
        self.failures = self.failures.saturating_add(1);
    }
}
