//! The home's memory of keys.

mod handover;

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use super::config::IntentConfig;
use super::key::IntentKey;
use crate::answer::Answer;
use crate::fingerprint::Fingerprint;
use crate::ids::{AttemptId, Wall};
use crate::refusal::{Reason, Refusal};

/// Pause asked for while no more keys can be remembered.
const FULL_RETRY: Duration = Duration::from_secs(1);

/// What the home does with a key.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Begin {
    /// Run it: the table now has it as running under this attempt.
    Run,
    /// The same key runs under this attempt: wait for its end.
    Wait(AttemptId),
    /// It ran: this is its whole answer.
    Replay(Arc<Answer>),
    /// Neither runs it nor has its answer.
    Refused(Refusal),
}

/// What a previous home says about a key.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum HomeAnswer {
    /// It never ran there and never will.
    Never,
    /// It is in a queue or with the target there.
    Running,
    /// It ran there.
    Done(Arc<Answer>),
    /// It may have run there.
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
struct Intent {
    fingerprint: Fingerprint,
    expires: Wall,
    run: Run,
}

/// Table of keys by scope and text.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct IntentTable {
    cfg: IntentConfig,
    since: Wall,
    intents: BTreeMap<IntentKey, Intent>,
    expiry: BTreeMap<Wall, Vec<IntentKey>>,
    answers: VecDeque<IntentKey>,
    bytes: usize,
}

impl IntentTable {
    /// An empty table of a process that started at `started`.
    ///
    /// It has authority over keys made one skew bound after the start: made by a
    /// clock at most that far off, they were made while this process lived, so
    /// no earlier process can have run them.
    #[must_use]
    pub fn new(started: Wall, cfg: IntentConfig) -> Self {
        Self {
            cfg,
            since: started + cfg.skew,
            intents: BTreeMap::new(),
            expiry: BTreeMap::new(),
            answers: VecDeque::new(),
            bytes: 0,
        }
    }

    /// Number of keys remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.intents.len()
    }

    /// Whether no key is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.intents.is_empty()
    }

    /// What this memory already says about a key; `None` where it knows nothing,
    /// never [`Begin::Run`].
    ///
    /// To be looked at before any previous home is asked. A key that ran here is
    /// settled here, and a previous home that can't be reached would otherwise
    /// turn its caller's retry into "not run" for a claim that did run.
    #[must_use]
    pub fn recall(&self, key: &IntentKey, fingerprint: Fingerprint) -> Option<Begin> {
        let intent = self.intents.get(key)?;
        Some(intent.meet(fingerprint))
    }

    /// Decides about a key that this executor is the home of.
    ///
    /// For a key that states no time, `Run` holds only once its claim row was
    /// written by this attempt.
    pub fn begin(
        &mut self,
        key: &IntentKey,
        fingerprint: Fingerprint,
        attempt: AttemptId,
        now: Wall,
    ) -> Begin {
        if let Some(known) = self.recall(key, fingerprint) {
            return known;
        }
        if let Err(refusal) = self.check_age(key, now) {
            return Begin::Refused(refusal);
        }
        if self.intents.len() >= self.cfg.keys {
            return Begin::Refused(Refusal::retry(Reason::MemoryFull, FULL_RETRY));
        }
        self.insert(key, fingerprint, attempt, now);
        Begin::Run
    }

    fn check_age(&self, key: &IntentKey, now: Wall) -> Result<(), Refusal> {
        let Some(created) = key.key.created() else {
            return Ok(());
        };
        if created > now + self.cfg.skew {
            // It would outlive its record: the record goes by our clock.
            return Err(Refusal::permanent(Reason::KeyFromFuture));
        }
        // At equality a previous home whose clock is ahead by the whole bound has
        // just dropped its record.
        if created + self.cfg.retention <= now {
            return Err(Refusal::permanent(Reason::KeyExpired));
        }
        if !self.has_authority_over(created) {
            return Err(Refusal::permanent(Reason::KeyUnsettled));
        }
        Ok(())
    }

    /// At equality a maker whose clock is ahead by the whole bound made the key in
    /// the moment of this start, and an earlier process may have run it.
    fn has_authority_over(&self, created: Wall) -> bool {
        created > self.since
    }

    /// The attempt that held the key did not run: the key is free again.
    pub fn release(&mut self, key: &IntentKey, attempt: AttemptId) {
        if self.runs_under(key, attempt) {
            self.intents.remove(key);
        }
    }

    /// The attempt ran, and this is its whole answer.
    pub fn done(&mut self, key: &IntentKey, attempt: AttemptId, answer: Arc<Answer>) {
        if !self.runs_under(key, attempt) {
            return;
        }
        self.bytes += answer.weight();
        self.set(key, Run::Done(answer));
        self.answers.push_back(key.clone());
        self.shed_answers();
    }

    /// The attempt ran, and its answer was too large to keep.
    pub fn done_without_answer(&mut self, key: &IntentKey, attempt: AttemptId) {
        if self.runs_under(key, attempt) {
            self.set(key, Run::DoneWithoutAnswer);
        }
    }

    /// The target's connection broke while it ran. The key stays taken: another
    /// run could be the second one.
    pub fn lost(&mut self, key: &IntentKey, attempt: AttemptId) {
        if self.runs_under(key, attempt) {
            self.set(key, Run::Unknown);
        }
    }

    /// What this executor knows of a key whose home has moved away from it. Only
    /// for use after the version that moved it was applied here.
    #[must_use]
    pub fn hand_over(&self, key: &IntentKey) -> HomeAnswer {
        let Some(intent) = self.intents.get(key) else {
            let created = key.key.created();
            // A key without a time is fenced by its claim row instead.
            let settled = created.is_none_or(|created| self.has_authority_over(created));
            return if settled {
                HomeAnswer::Never
            } else {
                HomeAnswer::Unknown
            };
        };
        match &intent.run {
            Run::Running(_) => HomeAnswer::Running,
            Run::Done(answer) => HomeAnswer::Done(Arc::clone(answer)),
            Run::DoneWithoutAnswer | Run::Unknown => HomeAnswer::Unknown,
        }
    }

    /// Drops keys that are too old to be accepted again.
    pub fn tick(&mut self, now: Wall) {
        while let Some(entry) = self.expiry.first_entry() {
            if *entry.key() > now {
                break;
            }
            for key in entry.remove() {
                self.expire(key, now);
            }
        }
    }

    fn expire(&mut self, key: IntentKey, now: Wall) {
        let Some(intent) = self.intents.get_mut(&key) else {
            return;
        };
        if intent.expires > now {
            // A released key was taken again: a later entry stands for it.
            return;
        }
        match &intent.run {
            Run::Running(_) => {
                intent.expires = now + self.cfg.retention;
                self.expiry.entry(intent.expires).or_default().push(key);
                return;
            }
            Run::Done(answer) => self.bytes -= answer.weight(),
            Run::DoneWithoutAnswer | Run::Unknown => {}
        }
        self.intents.remove(&key);
        self.forget_dropped_answers();
    }

    /// Keeps the order of answers from growing with keys that are gone.
    fn forget_dropped_answers(&mut self) {
        let intents = &self.intents;
        let held = |key: &IntentKey| {
            let done = |it: &Intent| matches!(it.run, Run::Done(_));
            intents.get(key).is_some_and(done)
        };
        while self.answers.front().is_some_and(|key| !held(key)) {
            self.answers.pop_front();
        }
    }

    fn insert(&mut self, key: &IntentKey, fingerprint: Fingerprint, attempt: AttemptId, now: Wall) {
        let created = key.key.created().unwrap_or(now);
        let expires = created + self.cfg.retention + self.cfg.skew;
        let run = Run::Running(attempt);
        let intent = Intent {
            fingerprint,
            expires,
            run,
        };
        self.expiry.entry(expires).or_default().push(key.clone());
        self.intents.insert(key.clone(), intent);
    }

    fn runs_under(&self, key: &IntentKey, attempt: AttemptId) -> bool {
        let running = |intent: &Intent| intent.run == Run::Running(attempt);
        self.intents.get(key).is_some_and(running)
    }

    fn set(&mut self, key: &IntentKey, run: Run) {
        if let Some(intent) = self.intents.get_mut(key) {
            intent.run = run;
        }
    }

    fn shed_answers(&mut self) {
        while self.bytes > self.cfg.answer_bytes {
            let Some(oldest) = self.answers.pop_front() else {
                return;
            };
            let Some(intent) = self.intents.get_mut(&oldest) else {
                continue;
            };
            if let Run::Done(answer) = &intent.run {
                self.bytes -= answer.weight();
                intent.run = Run::DoneWithoutAnswer;
            }
        }
    }
}

impl Intent {
    fn meet(&self, fingerprint: Fingerprint) -> Begin {
        if self.fingerprint != fingerprint {
            return Begin::Refused(Refusal::permanent(Reason::KeyReused));
        }
        match &self.run {
            Run::Running(attempt) => Begin::Wait(*attempt),
            Run::Done(answer) => Begin::Replay(Arc::clone(answer)),
            Run::DoneWithoutAnswer => Begin::Refused(Refusal::permanent(Reason::AnswerTooLarge)),
            Run::Unknown => Begin::Refused(Refusal::permanent(Reason::LostAnswer)),
        }
    }
}
