//! The possible next steps.

use std::sync::Arc;

use super::daemon::Daemon;
use super::message::{Message, Payload, damaged};
use super::{SpreadingSpec, SpreadingState, SpreadingStep, index};

type Next = Vec<(SpreadingStep, SpreadingState)>;

impl SpreadingSpec {
    pub(super) fn successors(&self, state: &SpreadingState) -> Next {
        let mut next = Vec::new();
        if state.head < self.bounds.versions {
            let mut accepted = state.clone();
            accepted.head += 1;
            next.push((SpreadingStep::Accept, accepted));
        }
        self.polls(state, &mut next);
        self.sends(state, &mut next);
        self.deliveries(state, &mut next);
        self.pulls(state, &mut next);
        self.service(state, &mut next);
        self.freezes(state, &mut next);
        self.restarts(state, &mut next);
        next
    }

    fn polls(&self, state: &SpreadingState, next: &mut Next) {
        for i in 0..state.daemons.len() {
            let mut polled = state.clone();
            polled.change(i, |daemon| self.poll(daemon, state.head));
            next.push((SpreadingStep::Poll(i), polled));
            if self.bounds.has_platform || self.bounds.restarts == 0 {
                continue;
            }
            let mut failed = state.clone();
            failed.change(i, Daemon::hear_no_head);
            next.push((SpreadingStep::PollFailed(i), failed));
        }
    }

    fn sends(&self, state: &SpreadingState, next: &mut Next) {
        if state.messages.len() == self.bounds.in_flight {
            return;
        }
        for from in 0..state.daemons.len() {
            let held = state.daemons[from].version();
            if held == 0 {
                continue;
            }
            for to in (0..state.daemons.len()).filter(|to| *to != from) {
                for payload in [Payload::Delta(held), Payload::Whole(held)] {
                    send(state, Message { to, payload }, next);
                }
            }
        }
    }

    fn pulls(&self, state: &SpreadingState, next: &mut Next) {
        if self.bounds.in_flight > 0 {
            return;
        }
        for (from, peer) in state.daemons.iter().enumerate() {
            for to in (0..state.daemons.len()).filter(|to| *to != from) {
                let mut pulled = state.clone();
                pulled.change(to, |it| it.take_state(peer.in_force(), self.safeguards));
                next.push((SpreadingStep::Pull(to, from), pulled));
            }
        }
    }

    fn service(&self, state: &SpreadingState, next: &mut Next) {
        if self.bounds.restarts == 0 {
            return;
        }
        for i in 0..state.daemons.len() {
            for j in (0..state.daemons.len()).filter(|j| *j != i) {
                let exchanged = state.exchange(i, j, self.safeguards);
                next.push((SpreadingStep::Exchange(i, j), exchanged));
            }
            let mut served = state.clone();
            let others = state.daemons.len() - 1;
            served.change(i, |it| it.serve(others, self.safeguards));
            next.push((SpreadingStep::Serve(i), served));
        }
    }

    fn deliveries(&self, state: &SpreadingState, next: &mut Next) {
        for message in &state.messages {
            let mut lost = state.clone();
            lost.messages.remove(message);
            let mut delivered = lost.clone();
            delivered.change(message.to, |it| self.take(it, message));
            let mut doubled = delivered.clone();
            next.push((SpreadingStep::Lose(*message), lost));
            next.push((SpreadingStep::Deliver(*message), delivered));
            if state.faults == 0 {
                continue;
            }
            doubled.messages.insert(*message);
            doubled.faults -= 1;
            next.push((SpreadingStep::Double(*message), doubled));
            self.damage(state, *message, next);
        }
    }

    fn damage(&self, state: &SpreadingState, message: Message, next: &mut Next) {
        for delta in damaged(message.payload, &self.states, &self.deltas) {
            let mut damaged = state.clone();
            damaged.messages.remove(&message);
            damaged.faults -= 1;
            let delta = Arc::new(delta);
            damaged.change(message.to, |it| it.take_delta(&delta, self.safeguards));
            next.push((SpreadingStep::Damage(message), damaged));
        }
    }

    fn take(&self, daemon: &mut Daemon, message: &Message) {
        match message.payload {
            Payload::Delta(version) => {
                let delta = &self.deltas[index(version - 1)];
                daemon.take_delta(delta, self.safeguards);
            }
            Payload::Whole(version) => {
                daemon.take_state(&self.states[index(version)], self.safeguards);
            }
        }
    }

    fn freezes(&self, state: &SpreadingState, next: &mut Next) {
        if self.bounds.freezes == 0 {
            return;
        }
        for i in 0..state.daemons.len() {
            let mut alone = state.clone();
            alone.change(i, Daemon::serve_alone);
            next.push((SpreadingStep::ServeAlone(i), alone));
            if state.freezes > 0 {
                let mut woke = state.clone();
                woke.change(i, Daemon::wake);
                woke.freezes -= 1;
                next.push((SpreadingStep::Wake(i), woke));
            }
        }
    }

    fn restarts(&self, state: &SpreadingState, next: &mut Next) {
        if state.restarts == 0 {
            return;
        }
        for i in 0..state.daemons.len() {
            let mut restarted = state.clone();
            restarted.change(i, Daemon::restart);
            restarted.restarts -= 1;
            if self.bounds.has_platform || restarted.is_remembered() {
                next.push((SpreadingStep::Restart(i), restarted));
            }
        }
    }
}

fn send(state: &SpreadingState, message: Message, next: &mut Next) {
    let mut sent = state.clone();
    if sent.messages.insert(message) {
        next.push((SpreadingStep::Send(message), sent));
    }
}
