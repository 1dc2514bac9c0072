//! The possible next steps.

use stoatstep_calls::{AttemptId, Ticket};

use super::entry::Call;
use super::executor::{Executor, Turn};
use super::message::{End, Message, id};
use super::{AttemptSpec, AttemptState, AttemptStep, ticks};
use crate::safeguard::Safeguard;

type Next = Vec<(AttemptStep, AttemptState)>;

impl AttemptSpec {
    pub(super) fn successors(&self, state: &AttemptState) -> Next {
        let mut next = Vec::new();
        for number in 0..self.bounds.calls {
            self.of_call(state, number, &mut next);
        }
        for message in &state.messages {
            self.of_message(state, *message, &mut next);
        }
        for number in 0..self.bounds.executors {
            self.of_executor(state, number, &mut next);
        }
        if state.now < self.bounds.ticks {
            let mut later = state.clone();
            later.now += 1;
            next.push((AttemptStep::Tick, later));
        }
        next
    }

    fn of_call(&self, state: &AttemptState, number: u8, next: &mut Next) {
        let call = &state.calls[usize::from(number)];
        if call.is_ready() {
            next.push((AttemptStep::Send(number), self.send(state, number)));
        }
        if call.waits() && state.faults > 0 {
            let broken = state.fault(|it| it.call(number).break_off());
            next.push((AttemptStep::Break(number), broken));
        }
        if !call.settles() {
            return;
        }
        next.push((
            AttemptStep::Revoke(number),
            self.revoke(state, number, true),
        ));
        if state.faults > 0 {
            let unheard = self.revoke(state, number, false).fault(|_| ());
            next.push((AttemptStep::RevokeUnheard(number), unheard));
            let given_up = state.fault(|it| it.call(number).give_up());
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
        let made = next.call(number).made();
        let to = self.executor_of(made);
        let ticket = next.tickets[usize::from(to)];
        let message = Message::attempt(id(number, made), to, ticket);
        next.call(number).sent_under(ticket);
        next.messages.insert(message);
        next
    }

    fn revoke(&self, state: &AttemptState, number: u8, heard: bool) -> AttemptState {
        let mut next = state.clone();
        let call = next.call(number);
        let (made, ticket) = (call.made(), call.ticket());
        let (now, safeguards) = (state.now, self.safeguards);
        let revoke = |it: &mut Executor| it.revoke(id(number, made), ticket, now, safeguards);
        let settled = next.executor(self.executor_of(made), revoke);
        if heard {
            let allowed = self.bounds.attempts;
            next.call(number)
                .settle(number, &settled, allowed, safeguards);
        }
        next
    }

    fn of_message(&self, state: &AttemptState, message: Message, next: &mut Next) {
        let mut gone = state.clone();
        gone.messages.remove(&message);
        let delivered = self.deliver(&gone, message);
        next.push((AttemptStep::Deliver(message), delivered.clone()));
        if state.faults > 0 {
            let mut doubled = delivered.fault(|_| ());
            doubled.messages.insert(message.doubled());
            next.push((AttemptStep::Double(message), doubled));
            next.push((AttemptStep::Lose(message), gone.fault(|_| ())));
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
            Message::Reply { id, end } => self.hear(&mut next, id, end),
        }
        next
    }

    /// Delivers a reply to the call whose current attempt has its id.
    fn hear(&self, next: &mut AttemptState, id: AttemptId, end: End) {
        let by_id = self.safeguards.has(Safeguard::AnswerId);
        let mut numbers = 0..self.bounds.calls;
        let fits = |number: &u8| {
            let call = &next.calls[usize::from(*number)];
            call.waits() && (!by_id || call.is_under_way(*number, id))
        };
        let Some(number) = numbers.find(fits) else {
            return;
        };
        let to = usize::from(self.executor_of(next.call(number).made()));
        next.tickets[to] = next.executors[to].ticket(next.now);
        let (allowed, safeguards) = (self.bounds.attempts, self.safeguards);
        next.call(number).hear(number, end, allowed, safeguards);
    }

    fn of_executor(&self, state: &AttemptState, number: u8, next: &mut Next) {
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
                let mut lost = state.fault(|it| it.executor(number, |it| it.lose(id)));
                lost.reply(id, Some(End::Unknown));
                next.push((AttemptStep::TargetLost(number, id), lost));
            }
        }
        self.of_process(state, number, next);
    }

    fn of_process(&self, state: &AttemptState, number: u8, next: &mut Next) {
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
        match next.executor(number, |it| it.take_turn(id, now, safeguards)) {
            Turn::Started { late } => {
                *next.ran.entry(id).or_default() += 1;
                next.started_late |= late;
            }
            Turn::Dropped => next.reply(id, Some(End::NotRun)),
        }
        next
    }

    fn shed(&self, state: &AttemptState, number: u8, id: AttemptId) -> Option<AttemptState> {
        let mut next = state.clone();
        let (now, safeguards) = (state.now, self.safeguards);
        let turn = next.executor(number, |it| it.take_turn(id, now, safeguards));
        next.executor(number, |it| it.shed(id));
        next.reply(id, Some(End::NotRun));
        (turn != Turn::Dropped).then_some(next)
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

    fn reply(&mut self, id: AttemptId, end: Option<End>) {
        let message = end.map(|end| Message::Reply { id, end });
        self.messages.extend(message);
    }
}
