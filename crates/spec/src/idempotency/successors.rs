//! The possible next steps.

use stoatstep_calls::{AttemptId, WallTime};

use super::home::{Executor, KeyAttempt, Phase};
use super::{IdempotencySpec, IdempotencyState, IdempotencyStep, Removal, UPSTREAMS, wall};

type Successors = Vec<(IdempotencyStep, IdempotencyState)>;

impl IdempotencySpec {
    pub(super) fn successors(&self, state: &IdempotencyState) -> Successors {
        let mut next = Vec::new();
        if state.now >= self.bounds.created_at && state.sent < self.bounds.attempts {
            for version in 1..=state.head {
                next.push((IdempotencyStep::Send(version), sent(state, version)));
            }
        }
        for (id, version) in &state.messages {
            next.push((
                IdempotencyStep::Arrive(*id),
                self.arrived(state, *id, *version),
            ));
        }
        let alive = if state.stopped {
            1
        } else {
            state.executors.len()
        };
        for number in 0..alive {
            for (id, attempt) in &state.executors[number].attempts {
                self.attempt_steps(state, number, *id, attempt, &mut next);
            }
            self.version_steps(state, number, &mut next);
            self.process_steps(state, number, &mut next);
        }
        self.environment_steps(state, &mut next);
        next
    }

    fn wall(&self, state: &IdempotencyState, executor: usize) -> WallTime {
        wall(state.now, self.clock_of(executor))
    }

    fn arrived(&self, state: &IdempotencyState, id: AttemptId, version: u8) -> IdempotencyState {
        let mut next = state.clone();
        next.messages.remove(&id);
        let home = self.home_at(version);
        let now = self.wall(state, home);
        let set = self.set_at(version);
        if state.stopped && home == 1 {
            return next;
        }
        next.change(home, |it| {
            it.arrive(&self.key, id, set, now, self.safeguards);
        });
        next
    }

    fn attempt_steps(
        &self,
        state: &IdempotencyState,
        number: usize,
        id: AttemptId,
        attempt: &KeyAttempt,
        next: &mut Successors,
    ) {
        let key = &self.key;
        let with = |change: &dyn Fn(&mut Executor)| {
            let mut changed = state.clone();
            changed.change(number, change);
            changed
        };
        match &attempt.phase {
            Phase::Asking(_) if state.stopped => {
                let now = self.wall(state, number);
                let deleted = with(&|it| it.mark_homes_deleted(id, now));
                next.push((IdempotencyStep::Gone(number, id), deleted));
            }
            Phase::Asking(questions) => {
                let asked = questions.last().map(|it| &it.upstream);
                let other = UPSTREAMS
                    .iter()
                    .position(|it| asked.is_some_and(|asked| asked == it));
                let other = &state.executors[other.unwrap_or_default()];
                let me = UPSTREAMS[number].into();
                let (version, answer) = other.answer(key, &me, self.safeguards);
                let phase = Phase::AnswerInFlight(questions.clone(), version, answer);
                let answered = with(&|it| it.set_phase(id, phase.clone()));
                next.push((IdempotencyStep::Ask(number, id), answered));
            }
            Phase::AnswerInFlight(..) => {
                let now = self.wall(state, number);
                let handled = with(&|it| it.handle_answer(key, id, now, self.safeguards));
                next.push((IdempotencyStep::Hear(number, id), handled));
            }
            Phase::Waiting => {
                let mut started = with(&|it| it.set_phase(id, Phase::Running));
                started.runs += 1;
                next.push((IdempotencyStep::Start(number, id), started));
                next.push((
                    IdempotencyStep::Refuse(number, id),
                    with(&|it| it.refuse(key, id)),
                ));
            }
            Phase::Running => {
                next.push((
                    IdempotencyStep::Finish(number, id),
                    with(&|it| it.finish(key, id)),
                ));
                if state.lost_answers > 0 {
                    let mut lost = with(&|it| it.target_lost(key, id, self.safeguards));
                    lost.lost_answers -= 1;
                    next.push((IdempotencyStep::Lose(number, id), lost));
                }
            }
        }
    }

    fn version_steps(&self, state: &IdempotencyState, number: usize, next: &mut Successors) {
        let version = state.executors[number].version;
        if version == state.head {
            return;
        }
        next.push((
            IdempotencyStep::Apply(number),
            self.applied(state, number, version + 1),
        ));
        if version + 1 < state.head && self.bounds.skips {
            next.push((
                IdempotencyStep::Skip(number),
                self.applied(state, number, state.head),
            ));
        }
    }

    fn applied(&self, state: &IdempotencyState, number: usize, version: u8) -> IdempotencyState {
        let mut next = state.clone();
        let follows = version == state.executors[number].version + 1;
        let (set, now) = (self.set_at(version).clone(), self.wall(state, number));
        next.change(number, |it| it.apply(version, set, follows, now));
        next
    }

    fn process_steps(&self, state: &IdempotencyState, number: usize, next: &mut Successors) {
        let now = self.wall(state, number);
        let mut cleaned = state.clone();
        cleaned.change(number, |it| it.clean(now));
        next.push((IdempotencyStep::Clean(number), cleaned));
        if state.planned_restarts > 0 && state.executors[number].attempts.is_empty() {
            let mut handed_over = state.clone();
            handed_over.planned_restarts -= 1;
            handed_over.change(number, |it| {
                let set = self.set_at(it.version).clone();
                *it = it.restart_as_planned(number, now, set, self.safeguards);
            });
            next.push((IdempotencyStep::HandOver(number), handed_over));
        }
        if state.restarts == 0 {
            return;
        }
        let mut restarted = state.clone();
        restarted.restarts -= 1;
        restarted.change(number, |it| {
            let set = self.set_at(it.version).clone();
            *it = Executor::new(number, now, it.version, set, self.safeguards);
        });
        next.push((IdempotencyStep::Restart(number), restarted));
    }

    fn environment_steps(&self, state: &IdempotencyState, next: &mut Successors) {
        if state.head < self.bounds.versions {
            let mut accepted = state.clone();
            accepted.head += 1;
            if accepted.head == 3 && self.bounds.removal == Removal::Stopped {
                accepted.change(1, Executor::stop);
                accepted.stopped = true;
            }
            next.push((IdempotencyStep::Accept, accepted));
        }
        if state.now < self.bounds.ticks {
            let mut later = state.clone();
            later.now += 1;
            next.push((IdempotencyStep::Tick, later));
        }
    }
}

impl IdempotencyState {
    fn change(&mut self, number: usize, change: impl FnOnce(&mut Executor)) {
        self.executors[number] = self.executors[number].changed(change).0;
    }
}

fn sent(state: &IdempotencyState, version: u8) -> IdempotencyState {
    let mut next = state.clone();
    next.sent += 1;
    next.messages.insert(next.sent.into(), version);
    next
}
