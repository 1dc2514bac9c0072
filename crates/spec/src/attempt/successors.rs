//! The possible next steps.

use stoatstep_calls::{AttemptId, Ticket};

use super::entry::Call;
use super::executor::{Executor, StartResult};
use super::message::{AttemptOutcome, Message, attempt_id};
use super::{AttemptSpec, AttemptState, AttemptStep, ticks};
use crate::safeguard::Safeguard;

type Successors = Vec<(AttemptStep, AttemptState)>;

impl AttemptSpec {
    pub(super) fn successors(&self, state: &AttemptState) -> Successors {
        let mut next = Vec::new();
        for number in 0..self.bounds.calls {
            self.call_steps(state, number, &mut next);
        }
        for message in &state.messages {
            self.message_steps(state, *message, &mut next);
        }
        for number in 0..self.bounds.executors {
            self.executor_steps(state, number, &mut next);
        }
        if state.now < self.bounds.ticks {
            let mut later = state.clone();
            later.now += 1;
            next.push((AttemptStep::Tick, later));
        }
        next
    }

    fn call_steps(&self, state: &AttemptState, number: u8, next: &mut Successors) {
        let call = &state.calls[usize::from(number)];
        if call.is_ready() {
            next.push((AttemptStep::Send(number), self.send(state, number)));
        }
        if call.is_waiting() && state.faults > 0 {
            let broken = state.fault(|it| it.call(number).abandon_connection());
            next.push((AttemptStep::Break(number), broken));
        }
        if !call.is_settling() {
            return;
        }
        next.push((
            AttemptStep::Revoke(number),
            self.revoke(state, number, true),
        ));
        if state.faults > 0 {
            let unanswered = self.revoke(state, number, false).fault(|_| ());
            next.push((AttemptStep::RevokeUnheard(number), unanswered));
            let given_up = state.fault(|it| it.call(number).abandon());
            next.push((AttemptStep::GiveUp(number), given_up));
        }
    }

    /// Index of the executor to which a call's attempt goes.
    fn executor_of(&self, attempt: u8) -> u8 {
        (attempt - 1) % self.bounds.executors
    }

    fn send(&self, state: &AttemptState, number: u8) -> AttemptState {
        let mut next = state.clone();
        next.call(number).send();
        let made = next.call(number).attempts_made();
        let to = self.executor_of(made);
        let ticket = next.tickets[usize::from(to)];
        let message = Message::attempt(attempt_id(number, made), to, ticket);
        next.call(number).set_ticket(ticket);
        next.messages.insert(message);
        next
    }

    fn revoke(&self, state: &AttemptState, number: u8, is_answered: bool) -> AttemptState {
        let mut next = state.clone();
        let call = next.call(number);
        let (made, ticket) = (call.attempts_made(), call.ticket());
        let (now, safeguards) = (state.now, self.safeguards);
        let revoke =
            |it: &mut Executor| it.revoke(attempt_id(number, made), ticket, now, safeguards);
        let settled = next.executor(self.executor_of(made), revoke);
        if is_answered {
            let allowed = self.bounds.attempts;
            next.call(number)
                .settle(number, &settled, allowed, safeguards);
        }
        next
    }

    fn message_steps(&self, state: &AttemptState, message: Message, next: &mut Successors) {
        let mut removed = state.clone();
        removed.messages.remove(&message);
        let delivered = self.deliver(&removed, message);
        next.push((AttemptStep::Deliver(message), delivered.clone()));
        if state.faults > 0 {
            let mut duplicate = delivered.fault(|_| ());
            duplicate.messages.insert(message.duplicate());
            next.push((AttemptStep::Double(message), duplicate));
            next.push((AttemptStep::Lose(message), removed.fault(|_| ())));
        }
    }

    fn deliver(&self, state: &AttemptState, message: Message) -> AttemptState {
        let mut next = state.clone();
        match message {
            Message::Attempt {
                id,
                to,
                incarnation,
                stamp,
                copy,
            } => {
                let stamp = ticks(stamp);
                let ticket = Ticket { incarnation, stamp };
                let (now, safeguards) = (state.now, self.safeguards);
                let end = next.executor(to, |it| it.arrive(id, ticket, now, safeguards));
                next.reply(id, end.filter(|_| !copy));
            }
            Message::Reply { id, end } => self.deliver_reply(&mut next, id, end),
        }
        next
    }

    /// Delivers a reply to the call whose current attempt has its id.
    fn deliver_reply(&self, next: &mut AttemptState, id: AttemptId, end: AttemptOutcome) {
        let by_id = self.safeguards.has(Safeguard::AnswerId);
        let mut numbers = 0..self.bounds.calls;
        let accepts = |number: &u8| {
            let call = &next.calls[usize::from(*number)];
            call.is_waiting() && (!by_id || call.is_current(*number, id))
        };
        let Some(number) = numbers.find(accepts) else {
            return;
        };
        let to = usize::from(self.executor_of(next.call(number).attempts_made()));
        next.tickets[to] = next.executors[to].ticket(next.now);
        let (allowed, safeguards) = (self.bounds.attempts, self.safeguards);
        next.call(number)
            .handle_reply(number, end, allowed, safeguards);
    }

    fn executor_steps(&self, state: &AttemptState, number: u8, next: &mut Successors) {
        let executor = &state.executors[usize::from(number)];
        for id in executor.waiting() {
            next.push((
                AttemptStep::Start(number, id),
                self.start_run(state, number, id),
            ));
            if let Some(shed) = self.shed(state, number, id) {
                next.push((AttemptStep::Shed(number, id), shed));
            }
        }
        for id in executor.running() {
            let mut finished = state.clone();
            let end = finished.executor(number, |it| it.finish(id));
            finished.reply(id, Some(end));
            next.push((AttemptStep::Finish(number, id), finished));
            if state.faults > 0 {
                let mut lost = state.fault(|it| it.executor(number, |it| it.target_lost(id)));
                lost.reply(id, Some(AttemptOutcome::Unknown));
                next.push((AttemptStep::TargetLost(number, id), lost));
            }
        }
        self.process_steps(state, number, next);
    }

    fn process_steps(&self, state: &AttemptState, number: u8, next: &mut Successors) {
        let mut cleaned = state.clone();
        cleaned.executor(number, |it| it.clean(state.now, self.safeguards));
        next.push((AttemptStep::Clean(number), cleaned));
        if state.restarts > 0 {
            let mut restarted = state.clone();
            restarted.executor(number, Executor::restart);
            restarted.restarts -= 1;
            next.push((AttemptStep::Restart(number), restarted));
        }
    }

    fn start_run(&self, state: &AttemptState, number: u8, id: AttemptId) -> AttemptState {
        let mut next = state.clone();
        let (now, safeguards) = (state.now, self.safeguards);
        match next.executor(number, |it| it.start_queued(id, now, safeguards)) {
            StartResult::Started { late } => {
                *next.run_counts.entry(id).or_default() += 1;
                next.started_late |= late;
            }
            StartResult::Dropped => next.reply(id, Some(AttemptOutcome::NotRun)),
        }
        next
    }

    fn shed(&self, state: &AttemptState, number: u8, id: AttemptId) -> Option<AttemptState> {
        let mut next = state.clone();
        let (now, safeguards) = (state.now, self.safeguards);
        let turn = next.executor(number, |it| it.start_queued(id, now, safeguards));
        next.executor(number, |it| it.shed(id));
        next.reply(id, Some(AttemptOutcome::NotRun));
        (turn != StartResult::Dropped).then_some(next)
    }
}

impl AttemptState {
    fn call(&mut self, number: u8) -> &mut Call {
        &mut self.calls[usize::from(number)]
    }

    fn executor<R>(&mut self, number: u8, change: impl FnOnce(&mut Executor) -> R) -> R {
        let executor = &mut self.executors[usize::from(number)];
        let (changed, result) = executor.changed(change);
        *executor = changed;
        result
    }

    fn fault(&self, change: impl FnOnce(&mut Self)) -> Self {
        let mut next = self.clone();
        next.faults -= 1;
        change(&mut next);
        next
    }

    fn reply(&mut self, id: AttemptId, end: Option<AttemptOutcome>) {
        let message = end.map(|end| Message::Reply { id, end });
        self.messages.extend(message);
    }
}
