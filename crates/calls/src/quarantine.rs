//! Requests under which targets end, and which are not run any more.
//!
//! Some request may end each target's process that begins to run it. Its callers send it
//! again under other ids, at any entry, and each repeat takes a target with all that the
//! target runs. Attempts and retry budgets can't stop that: to them each repeat is another
//! call. So what counts is what a request asks for, its [`Fingerprint`]: daemons tell each
//! other what a target ran when its process ended, and a request that [`LIVES`] targets
//! ran when they ended, and that none has answered, is refused as not run.
//!
//! How the ways were weighed is in `docs/design/quarantine.md`.

mod finding;
mod kept;
mod recent;
mod record;

use std::collections::HashMap;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::fingerprint::Fingerprint;
use crate::ids::Time;
use record::{Record, Suspected};

pub use finding::{Finding, Learned};
pub use kept::KeptRequest;
pub use recent::RecentAnswers;

/// Names a life of a target that ended.
pub type LifeMark = u64;

/// Names a life of a target in what daemons tell each other.
#[must_use]
pub fn life_mark(upstream: &str) -> LifeMark {
    xxh3_64(upstream.as_bytes())
}

/// Lives that ended while they ran a request before it is refused. With two, a request
/// that happens to run at two targets of a rack as both end would be refused; with four,
/// each request that does end targets takes one more.
pub const LIVES: usize = 3;

/// Lives remembered for one request.
const MAX_LIVES: usize = 8;

/// Time for which a request is refused, from the end of the last target. Somebody has to
/// mend the targets meanwhile; it doubles with each life that ends under a later trial.
const HOLD: Duration = Duration::from_mins(10);

/// Doublings of that time at most.
const MAX_DOUBLINGS: usize = 4;

/// Time for which a request stays suspected that has not ended enough targets. One that
/// comes less often takes a target now and then, as any other cause does.
const SUSPECTED_FOR: Duration = Duration::from_mins(10);

/// Time for which an answer speaks for a request. A request that many callers send runs at
/// most targets of a rack that ends at once; each of its answers says that it did no harm.
/// Much longer, and one that becomes lethal by a change of data would go on for as long.
pub const ANSWERED_FOR: Duration = Duration::from_secs(10);

/// Time for which peers are told of what is new. Every daemon exchanges words with some
/// peer each second, so by then all have heard of it that take part.
const TOLD_FOR: Duration = Duration::from_secs(15);

/// Requests remembered. A target names as many as it has slots when it ends, so these are
/// the ends of some dozens.
const MAX_REQUESTS: usize = 1024;

/// Requests of which a peer is told at a time.
const MAX_TOLD: usize = 64;

/// What one daemon knows of requests under which targets ended.
#[derive(Clone, Debug)]
pub struct Quarantine {
    /// Lives that have to end before a request is refused.
    needed: usize,
    records: HashMap<Fingerprint, Record>,
}

impl Default for Quarantine {
    fn default() -> Self {
        Self::refusing_after(LIVES)
    }
}

impl Quarantine {
    /// Refuses a request after so many lives ended under it; [`LIVES`] unless said.
    #[must_use]
    pub fn refusing_after(needed: usize) -> Self {
        Self {
            needed,
            records: HashMap::new(),
        }
    }

    /// Whether nothing is suspected, so that no fingerprint has to be computed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Time for which a request is still refused; `None` where it may run.
    #[must_use]
    pub fn holds(&self, request: Fingerprint, now: Time) -> Option<Duration> {
        match self.records.get(&request)? {
            Record::Suspected(it) => it.left(self.needed, now),
            Record::Answered(_) => None,
        }
    }

    /// Every request that is refused.
    pub fn held(&self, now: Time) -> impl Iterator<Item = Fingerprint> {
        let requests = self.records.keys().copied();
        requests.filter(move |it| self.holds(*it, now).is_some())
    }

    /// Lives of targets that are known to have ended under a request.
    #[must_use]
    pub fn lives(&self, request: Fingerprint) -> usize {
        match self.records.get(&request) {
            Some(Record::Suspected(it)) => it.lives.len(),
            Some(Record::Answered(_)) | None => 0,
        }
    }

    /// Whether a request is refused, or would be after one more end.
    #[must_use]
    pub fn is_near(&self, request: Fingerprint) -> bool {
        self.lives(request) + 1 >= self.needed
    }

    /// Takes in a finding, one's own or a peer's.
    pub fn hear(&mut self, finding: &Finding, now: Time) -> Learned {
        match finding {
            Finding::Ended {
                request,
                lives,
                ago,
            } => self.ended(*request, lives, *ago, now),
            Finding::Answered { request, ago } => self.answered(*request, *ago, now),
        }
    }

    /// What is known of a request, for others.
    #[must_use]
    pub fn finding(&self, request: Fingerprint, now: Time) -> Option<Finding> {
        let record = self.records.get(&request)?;
        Some(record.finding(request, now))
    }

    /// What peers are told in the regular exchanges: what changed lately, and whatever is
    /// refused, for those that have just started.
    #[must_use]
    pub fn news(&self, now: Time) -> Vec<Finding> {
        let is_told = |it: &Record| match it {
            Record::Suspected(it) => {
                it.left(self.needed, now).is_some() || now.saturating_sub(it.changed) < TOLD_FOR
            }
            Record::Answered(_) => !it.is_over(self.needed, now),
        };
        let mut told: Vec<_> = self.records.iter().filter(|(_, it)| is_told(it)).collect();
        told.sort_by_key(|(_, it)| std::cmp::Reverse(it.weight()));
        told.truncate(MAX_TOLD);
        let findings = told.into_iter();
        findings.map(|(key, it)| it.finding(*key, now)).collect()
    }

    /// Forgets what is over.
    pub fn tick(&mut self, now: Time) {
        let needed = self.needed;
        self.records.retain(|_, it| !it.is_over(needed, now));
    }

    fn ended(
        &mut self,
        request: Fingerprint,
        lives: &[LifeMark],
        ago: Duration,
        now: Time,
    ) -> Learned {
        let was_held = self.holds(request, now).is_some();
        match self.records.get(&request) {
            Some(Record::Suspected(_)) => {}
            Some(answered) if !answered.is_over(self.needed, now) => return Learned::Nothing,
            _ => {
                self.make_room();
                let suspected = Suspected::new(ago, now);
                self.records.insert(request, Record::Suspected(suspected));
            }
        }
        let Some(Record::Suspected(suspected)) = self.records.get_mut(&request) else {
            return Learned::Nothing;
        };
        if !suspected.add(lives, ago, now) {
            return Learned::Nothing;
        }
        match suspected.left(self.needed, now) {
            Some(left) if !was_held => Learned::Held(left),
            _ => Learned::Suspicion,
        }
    }

    fn answered(&mut self, request: Fingerprint, ago: Duration, now: Time) -> Learned {
        let at = now.saturating_sub(ago);
        let was_held = self.holds(request, now).is_some();
        match self.records.get_mut(&request) {
            Some(Record::Answered(known)) => {
                *known = at.max(*known);
                Learned::Nothing
            }
            Some(record) => {
                *record = Record::Answered(at);
                Learned::Cleared { was_held }
            }
            // Word of what it speaks against may be on its way.
            None => {
                self.make_room();
                self.records.insert(request, Record::Answered(at));
                Learned::Nothing
            }
        }
    }

    fn make_room(&mut self) {
        if self.records.len() < MAX_REQUESTS {
            return;
        }
        let least = self.records.iter().min_by_key(|(_, it)| it.weight());
        if let Some(request) = least.map(|(key, _)| *key) {
            self.records.remove(&request);
        }
    }
}

/// For how long a request is refused from the end of the last of so many lives on.
fn hold(lives: usize, needed: usize) -> Option<Duration> {
    let later = lives.checked_sub(needed)?;
    let doublings = u32::try_from(later.min(MAX_DOUBLINGS)).unwrap_or_default();
    Some(HOLD * 2_u32.pow(doublings))
}
