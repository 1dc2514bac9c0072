//! Pulling what pushes did not bring.

use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use stoatstep_membership::{ConfigId, MemberKey, Time};

use crate::jitter::{backoff, full_jitter};

/// Longest wait after a peer showed a newer version. Most often the push is on
/// its way, and pulling at once would bring everything twice.
const MAX_PATIENCE: Time = Time::from_millis(300);

/// Time after which a pull without an end counts as failed.
const PULL_TIMEOUT: Time = Time::from_secs(5);

const FIRST_BACKOFF: Time = Time::from_millis(200);
const MAX_BACKOFF: Time = Time::from_secs(5);

/// Where to pull from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// A peer that showed a newer version.
    Peer(MemberKey),
    /// The platform.
    Platform,
}

/// A pull that is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pull {
    /// From whom.
    pub source: Source,
    /// Whether to ask for the whole state.
    pub whole: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Lead {
    peer: MemberKey,
    mark: ConfigId,
    due: Time,
}

/// Decides when to pull and from whom; at most one pull is under way, so that
/// a daemon that is far behind does not ask everyone at once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Repair {
    rng: Xoshiro256PlusPlus,
    lead: Option<Lead>,
    ask_platform: Option<Time>,
    under_way: Option<Time>,
    not_before: Time,
    failures: u32,
}

impl Repair {
    /// A machine with randomness from `seed`.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            lead: None,
            ask_platform: None,
            under_way: None,
            not_before: Time::ZERO,
            failures: 0,
        }
    }

    /// A peer showed what it holds.
    pub fn peer_holds(&mut self, now: Time, peer: MemberKey, theirs: ConfigId, mine: ConfigId) {
        if theirs.version <= mine.version {
            return;
        }
        if self
            .lead
            .is_some_and(|it| it.mark.version >= theirs.version)
        {
            return;
        }
        let due = match self.lead {
            Some(lead) => lead.due,
            None => now + full_jitter(&mut self.rng, MAX_PATIENCE),
        };
        let mark = theirs;
        self.lead = Some(Lead { peer, mark, due });
    }

    /// Only the platform can tell which of two states is right, or has what no
    /// peer could give.
    pub fn ask_platform(&mut self, now: Time) {
        if self.ask_platform.is_none() {
            self.ask_platform = Some(now + full_jitter(&mut self.rng, MAX_BACKOFF));
        }
    }

    /// The pull that is due now, if any.
    pub fn tick(&mut self, now: Time, mine: ConfigId, needs_state: bool) -> Option<Pull> {
        if self
            .under_way
            .is_some_and(|since| since + PULL_TIMEOUT <= now)
        {
            self.failed(now);
        }
        if self.lead.is_some_and(|it| it.mark.version <= mine.version) {
            self.lead = None;
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

    fn due_source(&mut self, now: Time) -> Option<Source> {
        if self.ask_platform.is_some_and(|due| due <= now) {
            self.ask_platform = None;
            return Some(Source::Platform);
        }
        let lead = self.lead.filter(|it| it.due <= now)?;
        Some(Source::Peer(lead.peer))
    }

    /// The pull ended well, whether or not it brought anything.
    pub fn succeeded(&mut self) {
        self.under_way = None;
        self.lead = None;
        self.failures = 0;
    }

    /// The pull failed or brought something that was refused. The next one asks
    /// someone else, later.
    pub fn failed(&mut self, now: Time) {
        self.under_way = None;
        self.lead = None;
        let bound = backoff(FIRST_BACKOFF, self.failures, MAX_BACKOFF);
        self.not_before = now + full_jitter(&mut self.rng, bound);
        self.failures = self.failures.saturating_add(1);
        if self.failures >= 3 && self.rng.random_bool(0.25) {
            self.ask_platform(now);
        }
    }
}
