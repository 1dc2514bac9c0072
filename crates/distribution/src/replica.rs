//! The configuration that a daemon holds, and the checks that every new version has to pass.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use stoatstep_membership::{ConfigId, Time};
use stoatstep_resource::{ApplyError, Delta, Digest, State, Version};

use crate::quarantine::{Quarantine, QuarantinedVersion, RefusalReason};
use crate::short_digest;

/// Default number of deltas that are kept for peers and watches that are a little behind.
const DEFAULT_TAIL: usize = 256;

/// Maximum number of deltas that arrived out of order and are kept until the gap closes.
const MAX_PENDING: usize = 64;

/// The result of offering a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OfferOutcome {
    /// These versions came into force, in this order.
    Applied(Vec<Arc<Delta>>),
    /// A whole state came into force.
    Replaced(Version),
    /// The version is not newer than the one in force.
    AlreadyHeld,
    /// The version is kept until the versions before it arrive.
    Waiting {
        /// The first version that is missing.
        missing: Version,
    },
    /// The version was refused as a whole; the old one stays in force.
    Refused(QuarantinedVersion),
}

/// The configuration that a daemon holds.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Replica {
    state: Arc<State>,
    digest: Digest,
    since: Time,
    tail: VecDeque<Arc<Delta>>,
    tail_capacity: usize,
    pending: BTreeMap<Version, Arc<Delta>>,
    quarantine: Quarantine,
    head: Option<(Version, Digest)>,
    needs_state: bool,
}

impl Default for Replica {
    fn default() -> Self {
        let state = Arc::new(State::default());
        Self {
            digest: state.digest(),
            state,
            since: Time::ZERO,
            tail: VecDeque::new(),
            tail_capacity: DEFAULT_TAIL,
            pending: BTreeMap::new(),
            quarantine: Quarantine::default(),
            head: None,
            needs_state: false,
        }
    }
}

impl Replica {
    /// Sets the number of deltas that are kept for others. Default 256. With more, peers and
    /// watches that were away for longer can catch up without the full state.
    #[must_use]
    pub fn tail_capacity(mut self, capacity: usize) -> Self {
        self.tail_capacity = capacity;
        self
    }

    /// Returns the state in force. It is immutable, so its holder keeps one consistent view
    /// whatever comes into force later.
    #[must_use]
    pub fn state(&self) -> &Arc<State> {
        &self.state
    }

    /// Returns the version in force.
    #[must_use]
    pub fn version(&self) -> Version {
        self.state.version()
    }

    /// Returns the version and digest in force, in the form that peers exchange.
    #[must_use]
    pub fn config_id(&self) -> ConfigId {
        ConfigId {
            version: self.version(),
            digest: short_digest(&self.digest),
        }
    }

    /// Returns the time at which the version in force came into force.
    #[must_use]
    pub fn since(&self) -> Time {
        self.since
    }

    /// Returns the refused versions that no valid one has replaced.
    #[must_use]
    pub fn quarantine(&self) -> &[QuarantinedVersion] {
        self.quarantine.entries()
    }

    /// Returns whether deltas are no longer enough, so that a whole state must be requested.
    #[must_use]
    pub fn needs_state(&self) -> bool {
        self.needs_state
    }

    /// Records the platform's newest version and its digest. From then on, any other state under
    /// that version's number is refused.
    pub fn record_head(&mut self, version: Version, digest: Digest) {
        if self.head.is_none_or(|(known, _)| known < version) {
            self.head = Some((version, digest));
        }
    }

    /// Offers the next version or a later one.
    pub fn offer_delta(&mut self, now: Time, delta: Arc<Delta>) -> OfferOutcome {
        if delta.version <= self.version() {
            return OfferOutcome::AlreadyHeld;
        }
        let missing = self.version() + 1;
        if delta.version > missing {
            self.keep_pending(delta);
            return OfferOutcome::Waiting { missing };
        }
        if let Err(reason) = self.apply(now, delta.clone()) {
            return self.refuse(now, delta.version, Some(delta.digest), reason);
        }
        let mut applied = vec![delta];
        self.apply_pending(now, &mut applied);
        OfferOutcome::Applied(applied)
    }

    /// Offers several versions, oldest first, such as a part of the log. Stops at the first
    /// refusal.
    pub fn offer_deltas(&mut self, now: Time, deltas: Vec<Arc<Delta>>) -> OfferOutcome {
        let mut all = Vec::new();
        let mut last = OfferOutcome::AlreadyHeld;
        for delta in deltas {
            match self.offer_delta(now, delta) {
                OfferOutcome::Applied(applied) => all.extend(applied),
                OfferOutcome::Refused(refused) => {
                    last = OfferOutcome::Refused(refused);
                    break;
                }
                other => last = other,
            }
        }
        if all.is_empty() {
            last
        } else {
            OfferOutcome::Applied(all)
        }
    }

    /// Offers a whole state, whose digest was checked when it was decoded.
    pub fn offer_state(&mut self, now: Time, state: State) -> OfferOutcome {
        // Without this check, a snapshot that was delayed in transit would replace a newer version,
        // and callers would see a removed route come back.
        if state.version() <= self.version() {
            return OfferOutcome::AlreadyHeld;
        }
        let (version, digest) = (state.version(), state.digest());
        let checked = state
            .check_references()
            .map_err(RefusalReason::Apply)
            .and_then(|()| self.check_head(version, digest));
        if let Err(reason) = checked {
            return self.refuse(now, version, Some(digest), reason);
        }
        self.tail.clear();
        self.put_in_force(now, state);
        let mut applied = Vec::new();
        self.apply_pending(now, &mut applied);
        OfferOutcome::Replaced(self.version())
    }

    /// Records that a peer holds another digest for the same version. One of the two is wrong, and
    /// only the platform can tell which.
    pub fn record_fork(&mut self, now: Time, theirs: ConfigId) -> Option<QuarantinedVersion> {
        let mine = self.config_id();
        if theirs.version != mine.version || theirs.digest == mine.digest {
            return None;
        }
        let refused = QuarantinedVersion {
            version: theirs.version,
            digest: None,
            reason: RefusalReason::Forked {
                held: mine.digest,
                theirs: theirs.digest,
            },
            since: now,
        };
        self.quarantine.add(refused.clone());
        Some(refused)
    }

    /// Ends the quarantine of a fork if the platform's digest for this version is the one held
    /// here, so that the peer's was the wrong one.
    pub fn resolve_fork(&mut self, version: Version, digest: Digest) {
        if version == self.version() && digest == self.digest {
            self.quarantine.release(version);
        }
    }

    /// Returns the deltas after `version`, oldest first; `None` if some of them are no longer kept.
    #[must_use]
    pub fn deltas_after(&self, version: Version) -> Option<Vec<Arc<Delta>>> {
        let first = self
            .tail
            .front()
            .map_or(self.version() + 1, |it| it.version);
        if version + 1 < first {
            return None;
        }
        let newer = self.tail.iter().filter(|it| it.version > version);
        Some(newer.cloned().collect())
    }

    fn keep_pending(&mut self, delta: Arc<Delta>) {
        if self.pending.len() < MAX_PENDING {
            self.pending.insert(delta.version, delta);
        }
    }

    fn apply_pending(&mut self, now: Time, applied: &mut Vec<Arc<Delta>>) {
        let held = self.version();
        self.pending.retain(|version, _| *version > held);
        while let Some(delta) = self.pending.remove(&(self.version() + 1)) {
            let (version, digest) = (delta.version, delta.digest);
            match self.apply(now, delta.clone()) {
                Ok(()) => applied.push(delta),
                Err(reason) => {
                    self.refuse(now, version, Some(digest), reason);
                    return;
                }
            }
        }
    }

    fn apply(&mut self, now: Time, delta: Arc<Delta>) -> Result<(), RefusalReason> {
        self.check_head(delta.version, delta.digest)?;
        let next = self.state.apply(&delta).map_err(RefusalReason::Apply)?;
        self.tail.push_back(delta);
        if self.tail.len() > self.tail_capacity {
            self.tail.pop_front();
        }
        self.put_in_force(now, next);
        Ok(())
    }

    fn check_head(&self, version: Version, found: Digest) -> Result<(), RefusalReason> {
        match self.head {
            Some((head, expected)) if head == version && expected != found => {
                Err(RefusalReason::HeadMismatch { expected, found })
            }
            _ => Ok(()),
        }
    }

    fn put_in_force(&mut self, now: Time, state: State) {
        self.digest = state.digest();
        self.state = Arc::new(state);
        self.since = now;
        self.needs_state = false;
        self.quarantine.release(self.version());
    }

    /// Keeps the old version, records the reason and requests a whole state: either the delta or
    /// the state that it was applied to may be corrupt.
    fn refuse(
        &mut self,
        now: Time,
        version: Version,
        digest: Option<Digest>,
        reason: RefusalReason,
    ) -> OfferOutcome {
        debug_assert!(!matches!(
            reason,
            RefusalReason::Apply(ApplyError::OutOfOrder { .. })
        ));
        let refused = QuarantinedVersion {
            version,
            digest,
            reason,
            since: now,
        };
        self.quarantine.add(refused.clone());
        self.needs_state = true;
        OfferOutcome::Refused(refused)
    }
}
