//! The table of idempotency keys at their home.

mod restore;

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use super::config::IdempotencyConfig;
use super::key::IdempotencyKey;
use crate::answer::Answer;
use crate::fingerprint::Fingerprint;
use crate::ids::{AttemptId, WallTime};
use crate::refusal::{Reason, Refusal};

/// Time after which a caller may retry when the table is full.
const FULL_RETRY_AFTER: Duration = Duration::from_secs(1);

/// What the home does with a request that has an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum KeyDecision {
    /// Run the request. The table has recorded the key as running under this attempt.
    Run,
    /// A request with the same key is running under this attempt. Wait until it ends.
    Wait(AttemptId),
    /// The request ran, and this is its complete answer.
    Replay(Arc<Answer>),
    /// The request is not run, and there is no answer to replay.
    Refused(Refusal),
}

/// What a previous home replies about a key.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum HomeAnswer {
    /// The key never ran there and never will.
    Never,
    /// The request of the key is queued or running there.
    Running,
    /// The request of the key ran there, with this answer.
    Done(Arc<Answer>),
    /// The request of the key may have run there.
    Unknown,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Run {
    Running(AttemptId),
    Done(Arc<Answer>),
    DoneWithoutAnswer,
    Unknown,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Record {
    fingerprint: Fingerprint,
    expires: WallTime,
    run: Run,
}

/// The keys that ran, may have run or are running at this executor.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct IdempotencyTable {
    cfg: IdempotencyConfig,
    /// The table decides only about keys that were made after this time.
    since: WallTime,
    records: BTreeMap<IdempotencyKey, Record>,
    expiry: BTreeMap<WallTime, Vec<IdempotencyKey>>,
    /// Keys whose answers are kept, oldest first.
    answer_order: VecDeque<IdempotencyKey>,
    kept_bytes: usize,
}

impl IdempotencyTable {
    /// Creates an empty table for a process that started at `started`.
    ///
    /// The table is authoritative for keys made more than the maximum clock skew after
    /// the start. They were made while this process was running, so no earlier process
    /// can have run them.
    #[must_use]
    pub fn new(started: WallTime, cfg: IdempotencyConfig) -> Self {
        Self {
            cfg,
            since: started + cfg.skew,
            records: BTreeMap::new(),
            expiry: BTreeMap::new(),
            answer_order: VecDeque::new(),
            kept_bytes: 0,
        }
    }

    /// Returns the number of keys.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether the table has no keys.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns what the table already knows about a key, or `None` if it knows
    /// nothing. Never returns [`KeyDecision::Run`].
    ///
    /// Must be called before any previous home is asked. For a key that ran here, the
    /// table alone decides; otherwise an unreachable previous home would cause a retry
    /// to be told "not run" about a request that did run.
    #[must_use]
    pub fn lookup(&self, key: &IdempotencyKey, fingerprint: Fingerprint) -> Option<KeyDecision> {
        let record = self.records.get(key)?;
        Some(record.decide(fingerprint))
    }

    /// Decides about a request whose key has this executor as its home.
    ///
    /// If the key states no creation time and the result is [`KeyDecision::Run`], the request
    /// may run only after this attempt has written the claim row of the key.
    pub fn begin(
        &mut self,
        key: &IdempotencyKey,
        fingerprint: Fingerprint,
        attempt: AttemptId,
        now: WallTime,
    ) -> KeyDecision {
        if let Some(known) = self.lookup(key, fingerprint) {
            return known;
        }
        if let Err(refusal) = self.check_age(key, now) {
            return KeyDecision::Refused(refusal);
        }
        if self.records.len() >= self.cfg.keys {
            return KeyDecision::Refused(Refusal::retry(Reason::MemoryFull, FULL_RETRY_AFTER));
        }
        self.insert(key, fingerprint, attempt, now);
        KeyDecision::Run
    }

    fn check_age(&self, key: &IdempotencyKey, now: WallTime) -> Result<(), Refusal> {
        let Some(created) = key.key.created() else {
            return Ok(());
        };
        if created > now + self.cfg.skew {
            // It would still be accepted after its record has expired by our clock.
            return Err(Refusal::permanent(Reason::KeyFromFuture));
        }
        // At equality, a previous home whose clock is ahead by the maximum skew has
        // just dropped its record.
        if created + self.cfg.retention <= now {
            return Err(Refusal::permanent(Reason::KeyExpired));
        }
        if !self.is_authoritative_for(created) {
            return Err(Refusal::permanent(Reason::KeyUnsettled));
        }
        Ok(())
    }

    /// Returns whether no earlier process can have run a key made at `created`.
    ///
    /// At equality, the key may have been made at the moment of this start, by a clock
    /// that is ahead by the maximum skew, and an earlier process may have run it.
    fn is_authoritative_for(&self, created: WallTime) -> bool {
        created > self.since
    }

    /// Removes the key, because the attempt that held it did not run.
    pub fn release(&mut self, key: &IdempotencyKey, attempt: AttemptId) {
        if self.runs_under(key, attempt) {
            self.records.remove(key);
        }
    }

    /// Records that the attempt ran, with its complete answer.
    pub fn done(&mut self, key: &IdempotencyKey, attempt: AttemptId, answer: Arc<Answer>) {
        if !self.runs_under(key, attempt) {
            return;
        }
        self.kept_bytes += answer.memory_size();
        self.set_run(key, Run::Done(answer));
        self.answer_order.push_back(key.clone());
        self.evict_answers();
    }

    /// Records that the attempt ran and that its answer was too large to keep.
    pub fn done_without_answer(&mut self, key: &IdempotencyKey, attempt: AttemptId) {
        if self.runs_under(key, attempt) {
            self.set_run(key, Run::DoneWithoutAnswer);
        }
    }

    /// Records that the connection to the target broke while the attempt ran. The key
    /// is not released, because another run could be the second one.
    pub fn lost(&mut self, key: &IdempotencyKey, attempt: AttemptId) {
        if self.runs_under(key, attempt) {
            self.set_run(key, Run::Unknown);
        }
    }

    /// Returns what this executor knows about a key whose home has moved to another
    /// executor. Must be called only after the version that moved it was applied here.
    #[must_use]
    pub fn status_for_new_home(&self, key: &IdempotencyKey) -> HomeAnswer {
        let Some(record) = self.records.get(key) else {
            let created = key.key.created();
            // A second run of a key without a creation time is prevented by its claim row.
            let never_ran = created.is_none_or(|created| self.is_authoritative_for(created));
            return if never_ran {
                HomeAnswer::Never
            } else {
                HomeAnswer::Unknown
            };
        };
        match &record.run {
            Run::Running(_) => HomeAnswer::Running,
            Run::Done(answer) => HomeAnswer::Done(Arc::clone(answer)),
            Run::DoneWithoutAnswer | Run::Unknown => HomeAnswer::Unknown,
        }
    }

    /// Drops keys that are so old that they are not accepted any more.
    pub fn tick(&mut self, now: WallTime) {
        while let Some(entry) = self.expiry.first_entry() {
            if *entry.key() > now {
                break;
            }
            for key in entry.remove() {
                self.expire(key, now);
            }
        }
    }

    fn expire(&mut self, key: IdempotencyKey, now: WallTime) {
        let Some(record) = self.records.get_mut(&key) else {
            return;
        };
        if record.expires > now {
            // The key was released and used again. It has a later expiry of its own.
            return;
        }
        match &record.run {
            Run::Running(_) => {
                record.expires = now + self.cfg.retention;
                self.expiry.entry(record.expires).or_default().push(key);
                return;
            }
            Run::Done(answer) => self.kept_bytes -= answer.memory_size(),
            Run::DoneWithoutAnswer | Run::Unknown => {}
        }
        self.records.remove(&key);
        self.prune_answer_order();
    }

    /// Removes keys without a kept answer from the front of the eviction order, which
    /// would otherwise keep growing.
    fn prune_answer_order(&mut self) {
        let records = &self.records;
        let has_answer = |key: &IdempotencyKey| {
            let done = |it: &Record| matches!(it.run, Run::Done(_));
            records.get(key).is_some_and(done)
        };
        while self
            .answer_order
            .front()
            .is_some_and(|key| !has_answer(key))
        {
            self.answer_order.pop_front();
        }
    }

    fn insert(
        &mut self,
        key: &IdempotencyKey,
        fingerprint: Fingerprint,
        attempt: AttemptId,
        now: WallTime,
    ) {
        let created = key.key.created().unwrap_or(now);
        let expires = created + self.cfg.retention + self.cfg.skew;
        let run = Run::Running(attempt);
        let record = Record {
            fingerprint,
            expires,
            run,
        };
        self.expiry.entry(expires).or_default().push(key.clone());
        self.records.insert(key.clone(), record);
    }

    fn runs_under(&self, key: &IdempotencyKey, attempt: AttemptId) -> bool {
        let running = |record: &Record| record.run == Run::Running(attempt);
        self.records.get(key).is_some_and(running)
    }

    fn set_run(&mut self, key: &IdempotencyKey, run: Run) {
        if let Some(record) = self.records.get_mut(key) {
            record.run = run;
        }
    }

    fn evict_answers(&mut self) {
        while self.kept_bytes > self.cfg.answer_bytes {
            let Some(oldest) = self.answer_order.pop_front() else {
                return;
            };
            let Some(record) = self.records.get_mut(&oldest) else {
                continue;
            };
            if let Run::Done(answer) = &record.run {
                self.kept_bytes -= answer.memory_size();
                record.run = Run::DoneWithoutAnswer;
            }
        }
    }
}

impl Record {
    fn decide(&self, fingerprint: Fingerprint) -> KeyDecision {
        if self.fingerprint != fingerprint {
            return KeyDecision::Refused(Refusal::permanent(Reason::KeyReused));
        }
        match &self.run {
            Run::Running(attempt) => KeyDecision::Wait(*attempt),
            Run::Done(answer) => KeyDecision::Replay(Arc::clone(answer)),
            Run::DoneWithoutAnswer => {
                KeyDecision::Refused(Refusal::permanent(Reason::AnswerTooLarge))
            }
            Run::Unknown => KeyDecision::Refused(Refusal::permanent(Reason::LostAnswer)),
        }
    }
}
