//! State of one executor: its table of idempotency keys, and the attempts that it has received.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use stoatstep_calls::{
    Answer, AttemptId, Fingerprint, HomeAnswer, HomeCheck, HomeHistory, HomeQuery,
    IdempotencyConfig, IdempotencyKey, IdempotencyTable, KeyDecision, UpstreamSetId, WallTime,
    upstream_set_id,
};
use stoatstep_resource::{UpstreamName, Version};

use super::{RETENTION, SKEW, UPSTREAMS, ticks};
use crate::safeguard::{Safeguard, Safeguards};

/// Fingerprint of the request, the same for all attempts with the key.
const REQUEST: Fingerprint = Fingerprint(1);

/// Progress of an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) enum Phase {
    /// Previous homes have to be asked, one after the other.
    Asking(Vec<HomeQuery>),
    /// The answer to the last question is in flight.
    AnswerInFlight(Vec<HomeQuery>, Version, HomeAnswer),
    /// The attempt holds the key and waits for a slot.
    Waiting,
    /// The target runs the attempt.
    Running,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct KeyAttempt {
    set: UpstreamSetId,
    pub(super) phase: Phase,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Executor {
    table: IdempotencyTable,
    homes: HomeHistory,
    pub(super) version: u8,
    pub(super) attempts: BTreeMap<AttemptId, KeyAttempt>,
}

impl Executor {
    pub(super) fn new(
        number: usize,
        started: WallTime,
        version: u8,
        set: BTreeSet<UpstreamName>,
        safeguards: Safeguards,
    ) -> Self {
        let me = UPSTREAMS[number].into();
        let homes = HomeHistory::new(me, ticks(SKEW), ticks(RETENTION));
        let mut executor = Self {
            table: table(started, safeguards),
            homes,
            version,
            attempts: BTreeMap::new(),
        };
        executor.apply(version, set, true, started);
        executor
    }

    /// The process that follows this one after a planned restart.
    pub(super) fn restart_as_planned(
        &self,
        number: usize,
        now: WallTime,
        set: BTreeSet<UpstreamName>,
        safeguards: Safeguards,
    ) -> Self {
        let mut next = Self::new(number, now, self.version, set, safeguards);
        if let Some(snapshot) = self.table.snapshot() {
            next.table.restore(snapshot);
            if safeguards.has(Safeguard::MembersHandedOver) {
                next.homes.restore(self.homes.known_members());
            }
        }
        next
    }

    pub(super) fn apply(
        &mut self,
        version: u8,
        set: BTreeSet<UpstreamName>,
        follows: bool,
        now: WallTime,
    ) {
        self.version = version;
        let service = "floatdesk".into();
        self.homes
            .apply_set(&service, set, version.into(), follows, now);
    }

    pub(super) fn arrive(
        &mut self,
        key: &IdempotencyKey,
        id: AttemptId,
        set: &BTreeSet<UpstreamName>,
        now: WallTime,
        safeguards: Safeguards,
    ) {
        if self.table.lookup(key, REQUEST).is_some() {
            return;
        }
        let mut set = upstream_set_id(set);
        if !safeguards.has(Safeguard::SetIdCheck) {
            set = self.homes.current_id(&key.service).unwrap_or(set);
        }
        match self.homes.check(key, set) {
            HomeCheck::Mine => self.begin(key, id, set, now, safeguards),
            HomeCheck::Ask(_) if !safeguards.has(Safeguard::HomeConfirm) => {
                self.begin(key, id, set, now, safeguards);
            }
            HomeCheck::Ask(questions) => {
                let phase = Phase::Asking(questions);
                self.attempts.insert(id, KeyAttempt { set, phase });
            }
            HomeCheck::Unsettled | HomeCheck::StaleConfig | HomeCheck::NotMine => {}
        }
    }

    fn begin(
        &mut self,
        key: &IdempotencyKey,
        id: AttemptId,
        set: UpstreamSetId,
        now: WallTime,
        safeguards: Safeguards,
    ) {
        let now = with_checks_disabled(key, now, safeguards);
        if self.table.begin(key, REQUEST, id, now) == KeyDecision::Run {
            let phase = Phase::Waiting;
            self.attempts.insert(id, KeyAttempt { set, phase });
        }
    }

    /// The answer of this executor to a new home.
    pub(super) fn answer(
        &self,
        key: &IdempotencyKey,
        asker: &UpstreamName,
        safeguards: Safeguards,
    ) -> (Version, HomeAnswer) {
        let checks = safeguards.has(Safeguard::AskerCheck);
        if checks && !self.homes.is_home(key, asker) {
            return (0, HomeAnswer::Running);
        }
        (self.version.into(), self.table.status_for_new_home(key))
    }

    /// Handles the answer of a previous home.
    pub(super) fn handle_answer(
        &mut self,
        key: &IdempotencyKey,
        id: AttemptId,
        now: WallTime,
        safeguards: Safeguards,
    ) {
        let Some(KeyAttempt { set, phase }) = self.attempts.remove(&id) else {
            return;
        };
        let Phase::AnswerInFlight(mut questions, version, answer) = phase else {
            return;
        };
        let Some(question) = questions.pop() else {
            return;
        };
        if version < question.version {
            return;
        }
        self.homes.confirm(&question.upstream, version, now);
        if answer != HomeAnswer::Never {
            return;
        }
        if !questions.is_empty() {
            let phase = Phase::Asking(questions);
            self.attempts.insert(id, KeyAttempt { set, phase });
            return;
        }
        let unchanged = self.homes.current_id(&key.service) == Some(set);
        if unchanged || !safeguards.has(Safeguard::RecheckAfterAsk) {
            self.begin(key, id, set, now, safeguards);
        }
    }

    /// Records that the previous homes which this attempt waits for were deleted.
    pub(super) fn mark_homes_deleted(&mut self, id: AttemptId, now: WallTime) {
        let attempt = self.attempts.remove(&id);
        if let Some(Phase::Asking(questions)) = attempt.map(|it| it.phase) {
            for question in questions {
                self.homes
                    .mark_deleted(&question.upstream, question.version, now);
            }
        }
    }

    /// Stops the process for good, while its target continues to run.
    pub(super) fn stop(&mut self) {
        self.attempts
            .retain(|_, attempt| attempt.phase == Phase::Running);
    }

    pub(super) fn set_phase(&mut self, id: AttemptId, phase: Phase) {
        if let Some(attempt) = self.attempts.get_mut(&id) {
            attempt.phase = phase;
        }
    }

    pub(super) fn refuse(&mut self, key: &IdempotencyKey, id: AttemptId) {
        self.attempts.remove(&id);
        self.table.release(key, id);
    }

    pub(super) fn finish(&mut self, key: &IdempotencyKey, id: AttemptId) {
        self.attempts.remove(&id);
        let answer = Answer {
            status: 201,
            headers: Vec::new(),
            body: Vec::new().into(),
        };
        self.table.done(key, id, Arc::new(answer));
    }

    pub(super) fn target_lost(
        &mut self,
        key: &IdempotencyKey,
        id: AttemptId,
        safeguards: Safeguards,
    ) {
        self.attempts.remove(&id);
        if safeguards.has(Safeguard::LostKeyKept) {
            self.table.lost(key, id);
        } else {
            self.table.release(key, id);
        }
    }

    pub(super) fn clean(&mut self, now: WallTime) {
        self.table.tick(now);
        self.homes.tick(now);
    }
}

fn table(started: WallTime, safeguards: Safeguards) -> IdempotencyTable {
    let cfg = IdempotencyConfig::default()
        .skew(ticks(SKEW))
        .retention(ticks(RETENTION));
    let mut authority_from = started;
    if !safeguards.has(Safeguard::AuthoritySince) {
        authority_from = WallTime::ZERO;
    }
    if !safeguards.has(Safeguard::SkewMargin) {
        authority_from = started.saturating_sub(ticks(SKEW));
    }
    IdempotencyTable::new(authority_from, cfg)
}

/// The time altered so that the key passes a check of the table that is switched off.
fn with_checks_disabled(key: &IdempotencyKey, now: WallTime, safeguards: Safeguards) -> WallTime {
    let created = key.key.created().unwrap_or(now);
    if !safeguards.has(Safeguard::FutureKeyCheck) {
        return now.max(created);
    }
    if !safeguards.has(Safeguard::KeyExpiry) {
        return now.min(created + ticks(RETENTION) / 2);
    }
    now
}
