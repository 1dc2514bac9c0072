//! Pulls of versions that no push has delivered.

use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use stoatstep_membership::{ConfigId, MemberKey, Time};

use crate::jitter::{backoff, full_jitter};

/// Maximum delay after a peer reported a newer version. Usually the push is on its way, and an
/// immediate pull would transfer the change twice.
const MAX_PULL_DELAY: Time = Time::from_millis(300);

/// Time after which a pull without a result counts as failed.
const PULL_TIMEOUT: Time = Time::from_secs(5);

const FIRST_BACKOFF: Time = Time::from_millis(200);
const MAX_BACKOFF: Time = Time::from_secs(5);

/// Where to pull from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PullSource {
    /// A peer that reported a newer version.
    Peer(MemberKey),
    /// The platform.
    Platform,
}

/// A pull that is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pull {
    /// Where to pull from.
    pub source: PullSource,
    /// Whether to request the whole state instead of the missing deltas.
    pub whole: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Candidate {
    peer: MemberKey,
    config_id: ConfigId,
    due: Time,
}

/// Decides when to pull and from which source. At most one pull is under way, so that a daemon that
/// is far behind does not ask all its peers at once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Repair {
    rng: Xoshiro256PlusPlus,
    candidate: Option<Candidate>,
    ask_platform: Option<Time>,
    under_way: Option<Time>,
    not_before: Time,
    failures: u32,
}

impl Repair {
    /// Creates a repair that draws its random delays from `seed`.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            candidate: None,
            ask_platform: None,
            under_way: None,
            not_before: Time::ZERO,
            failures: 0,
        }
    }

    /// Records the configuration that a peer reported.
    pub fn peer_holds(&mut self, now: Time, peer: MemberKey, theirs: ConfigId, mine: ConfigId) {
        if theirs.version <= mine.version {
            return;
        }
        if self
            .candidate
            .is_some_and(|it| it.config_id.version >= theirs.version)
        {
            return;
        }
        let due = match self.candidate {
            Some(candidate) => candidate.due,
            None => now + full_jitter(&mut self.rng, MAX_PULL_DELAY),
        };
        let config_id = theirs;
        self.candidate = Some(Candidate {
            peer,
            config_id,
            due,
        });
    }

    /// Schedules a pull from the platform, which alone can tell which of two states is right and
    /// has what no peer could deliver.
    pub fn ask_platform(&mut self, now: Time) {
        if self.ask_platform.is_none() {
            self.ask_platform = Some(now + full_jitter(&mut self.rng, MAX_BACKOFF));
        }
    }

    /// Returns the pull that is due now, if any.
    pub fn tick(&mut self, now: Time, mine: ConfigId, needs_state: bool) -> Option<Pull> {
        if self
            .under_way
            .is_some_and(|since| since + PULL_TIMEOUT <= now)
        {
            self.failed(now);
        }
        if self
            .candidate
            .is_some_and(|it| it.config_id.version <= mine.version)
        {
            self.candidate = None;
        }
        if self.under_way.is_some() || now < self.not_before {
            return None;
        }
        let source = self.due_source(now)?;
        self.under_way = Some(now);
        Some(Pull {
            source,
            whole: needs_state,
        })
    }

    fn due_source(&mut self, now: Time) -> Option<PullSource> {
        if self.ask_platform.is_some_and(|due| due <= now) {
            self.ask_platform = None;
            return Some(PullSource::Platform);
        }
        let candidate = self.candidate.filter(|it| it.due <= now)?;
        Some(PullSource::Peer(candidate.peer))
    }

    /// Records that the pull succeeded, whether or not it brought anything new.
    pub fn succeeded(&mut self) {
        self.under_way = None;
        self.candidate = None;
        self.failures = 0;
    }

    /// Records that the pull failed or brought something that was refused. The next pull goes to
    /// another source after a delay.
    pub fn failed(&mut self, now: Time) {
        self.under_way = None;
        self.candidate = None;
        let bound = backoff(FIRST_BACKOFF, self.failures, MAX_BACKOFF);
        self.not_before = now + full_jitter(&mut self.rng, bound);
        self.failures = self.failures.saturating_add(1);
        if self.failures >= 3 && self.rng.random_bool(0.25) {
            self.ask_platform(now);
        }
    }
}
