//! Quarantine of requests that crash their targets.
//!
//! A request may crash every target process that runs it. Its callers send it again with
//! other ids and through other entries, and each repeat crashes another target together
//! with everything that the target is running. Limits on attempts and retry budgets cannot
//! stop that, because they count each repeat as a new call. Requests are therefore
//! identified by their content, the [`Fingerprint`]. Daemons tell each other what a target
//! was running when its process ended. A request that [`CRASH_THRESHOLD`] targets were
//! running when they ended, and that no target has answered, is refused as not run.
//!
//! The alternatives are compared in `docs/design/quarantine.md`.

mod finding;
mod recent;
mod record;
mod stored;

use std::collections::HashMap;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::fingerprint::Fingerprint;
use crate::ids::Time;
use record::{Record, Suspected};

pub use finding::{FindingEffect, QuarantineFinding};
pub use recent::RecentAnswers;
pub use stored::QuarantinedRequest;

/// Identifies one generation of a target, that is, one run of its process from start to
/// end, in the findings that daemons exchange.
pub type GenerationHash = u64;

/// Computes the [`GenerationHash`] of the target generation with the id `upstream`.
#[must_use]
pub fn generation_hash(upstream: &str) -> GenerationHash {
    xxh3_64(upstream.as_bytes())
}

/// Number of target generations that have to crash while they run a request before it is
/// refused. With two, a harmless request that runs at two targets of a rack when the rack
/// fails would be refused. With four, each request that does crash targets takes one more.
pub const CRASH_THRESHOLD: usize = 3;

/// Maximum number of crashed generations recorded for one request.
const MAX_CRASHES: usize = 8;

/// Time for which a request is refused after the latest crash. The targets have to be
/// repaired in this time. It doubles with each further crash after the request may run
/// again.
const BASE_QUARANTINE: Duration = Duration::from_mins(10);

/// Maximum number of times that [`BASE_QUARANTINE`] is doubled.
const MAX_DOUBLINGS: usize = 4;

/// Time for which a request stays suspected without enough crashes for a quarantine. A
/// request that crashes targets less often does no more harm than any other cause of
/// crashes.
const SUSPICION_TTL: Duration = Duration::from_mins(10);

/// Time for which an answer clears a request of suspicion. A request that many callers send
/// runs at most targets of a rack when the rack fails, and its recent answers show that it
/// did not cause the failure. If this were much longer, a request that starts to crash
/// targets after a change of data would be cleared for as long.
pub const ANSWER_VALIDITY: Duration = Duration::from_secs(10);

/// Time for which a change is included in gossip. Every daemon exchanges gossip with a peer
/// each second, so after this time all members have received it.
const GOSSIP_TTL: Duration = Duration::from_secs(15);

/// Maximum number of requests that are recorded. A target that crashes adds one for each of
/// its occupied slots, so this is enough for some dozens of crashes.
const MAX_REQUESTS: usize = 1024;

/// Maximum number of findings in one gossip exchange.
const MAX_GOSSIPED: usize = 64;

/// What one daemon knows about requests that may have crashed targets.
#[derive(Clone, Debug)]
pub struct Quarantine {
    /// Number of crashes after which a request is refused.
    threshold: usize,
    records: HashMap<Fingerprint, Record>,
}

impl Default for Quarantine {
    fn default() -> Self {
        Self::with_threshold(CRASH_THRESHOLD)
    }
}

impl Quarantine {
    /// Creates a quarantine that refuses a request after `threshold` crashes. The default
    /// is [`CRASH_THRESHOLD`].
    #[must_use]
    pub fn with_threshold(threshold: usize) -> Self {
        Self {
            threshold,
            records: HashMap::new(),
        }
    }

    /// Returns whether nothing is recorded. No fingerprint has to be computed then.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns how long a request is still refused, or `None` if it may run.
    #[must_use]
    pub fn refused_for(&self, request: Fingerprint, now: Time) -> Option<Duration> {
        match self.records.get(&request)? {
            Record::Suspected(it) => it.left(self.threshold, now),
            Record::Answered(_) => None,
        }
    }

    /// Returns all requests that are refused.
    pub fn quarantined(&self, now: Time) -> impl Iterator<Item = Fingerprint> {
        let requests = self.records.keys().copied();
        requests.filter(move |it| self.refused_for(*it, now).is_some())
    }

    /// Returns how many target generations are known to have crashed while they ran a
    /// request.
    #[must_use]
    pub fn crash_count(&self, request: Fingerprint) -> usize {
        match self.records.get(&request) {
            Some(Record::Suspected(it)) => it.crashed.len(),
            Some(Record::Answered(_)) | None => 0,
        }
    }

    /// Returns whether a request is refused, or would be after one more crash.
    #[must_use]
    pub fn is_near_threshold(&self, request: Fingerprint) -> bool {
        self.crash_count(request) + 1 >= self.threshold
    }

    /// Applies a finding of this daemon or of a peer, and returns what it changed.
    pub fn apply(&mut self, finding: &QuarantineFinding, now: Time) -> FindingEffect {
        match finding {
            QuarantineFinding::Ended {
                request,
                lives,
                ago,
            } => self.record_crashes(*request, lives, *ago, now),
            QuarantineFinding::Answered { request, ago } => self.record_answer(*request, *ago, now),
        }
    }

    /// Returns what is known about a request as a finding for peers.
    #[must_use]
    pub fn finding(&self, request: Fingerprint, now: Time) -> Option<QuarantineFinding> {
        let record = self.records.get(&request)?;
        Some(record.finding(request, now))
    }

    /// Returns the findings for a gossip exchange: those that changed recently, and all
    /// requests that are refused, for daemons that have just started.
    #[must_use]
    pub fn gossip(&self, now: Time) -> Vec<QuarantineFinding> {
        let is_gossiped = |it: &Record| match it {
            Record::Suspected(it) => {
                it.left(self.threshold, now).is_some()
                    || now.saturating_sub(it.changed) < GOSSIP_TTL
            }
            Record::Answered(_) => !it.is_expired(self.threshold, now),
        };
        let mut gossiped: Vec<_> = self
            .records
            .iter()
            .filter(|(_, it)| is_gossiped(it))
            .collect();
        gossiped.sort_by_key(|(_, it)| std::cmp::Reverse(it.priority()));
        gossiped.truncate(MAX_GOSSIPED);
        let findings = gossiped.into_iter();
        findings.map(|(key, it)| it.finding(*key, now)).collect()
    }

    /// Drops expired records.
    pub fn tick(&mut self, now: Time) {
        let threshold = self.threshold;
        self.records.retain(|_, it| !it.is_expired(threshold, now));
    }

    fn record_crashes(
        &mut self,
        request: Fingerprint,
        crashed: &[GenerationHash],
        ago: Duration,
        now: Time,
    ) -> FindingEffect {
        let was_quarantined = self.refused_for(request, now).is_some();
        match self.records.get(&request) {
            Some(Record::Suspected(_)) => {}
            Some(answered) if !answered.is_expired(self.threshold, now) => {
                return FindingEffect::Nothing;
            }
            _ => {
                self.make_room();
                let suspected = Suspected::new(ago, now);
                self.records.insert(request, Record::Suspected(suspected));
            }
        }
        let Some(Record::Suspected(suspected)) = self.records.get_mut(&request) else {
            return FindingEffect::Nothing;
        };
        if !suspected.add(crashed, ago, now) {
            return FindingEffect::Nothing;
        }
        match suspected.left(self.threshold, now) {
            Some(left) if !was_quarantined => FindingEffect::Quarantined(left),
            _ => FindingEffect::Suspicion,
        }
    }

    fn record_answer(&mut self, request: Fingerprint, ago: Duration, now: Time) -> FindingEffect {
        let at = now.saturating_sub(ago);
        let was_quarantined = self.refused_for(request, now).is_some();
        match self.records.get_mut(&request) {
            Some(Record::Answered(known)) => {
                *known = at.max(*known);
                FindingEffect::Nothing
            }
            Some(record) => {
                *record = Record::Answered(at);
                FindingEffect::Cleared { was_quarantined }
            }
            // The crash reports that this answer refutes may arrive after it.
            None => {
                self.make_room();
                self.records.insert(request, Record::Answered(at));
                FindingEffect::Nothing
            }
        }
    }

    fn make_room(&mut self) {
        if self.records.len() < MAX_REQUESTS {
            return;
        }
        let least = self.records.iter().min_by_key(|(_, it)| it.priority());
        if let Some(request) = least.map(|(key, _)| *key) {
            self.records.remove(&request);
        }
    }
}

/// Returns for how long a request is refused after the last of `crashes` crashes, or `None`
/// if there are fewer than `threshold`.
fn quarantine_time(crashes: usize, threshold: usize) -> Option<Duration> {
    let later = crashes.checked_sub(threshold)?;
    let doublings = u32::try_from(later.min(MAX_DOUBLINGS)).unwrap_or_default();
    Some(BASE_QUARANTINE * 2_u32.pow(doublings))
}
