//! The possible next steps.

use std::sync::Arc;

use super::daemon::Daemon;
use super::message::{Message, Payload, damaged_deltas};
use super::{DistributionSpec, DistributionState, DistributionStep, index};

type Successors = Vec<(DistributionStep, DistributionState)>;

impl DistributionSpec {
    pub(super) fn successors(&self, state: &DistributionState) -> Successors {
        let mut next = Vec::new();
        if state.head < self.bounds.versions {
            let mut accepted = state.clone();
            accepted.head += 1;
            next.push((DistributionStep::Accept, accepted));
        }
        self.poll_steps(state, &mut next);
        self.send_steps(state, &mut next);
        self.delivery_steps(state, &mut next);
        self.pull_steps(state, &mut next);
        self.serving_steps(state, &mut next);
        self.freeze_steps(state, &mut next);
        self.restart_steps(state, &mut next);
        next
    }

    fn poll_steps(&self, state: &DistributionState, next: &mut Successors) {
        for i in 0..state.daemons.len() {
            let mut polled = state.clone();
            polled.change(i, |daemon| self.poll(daemon, state.head));
            next.push((DistributionStep::Poll(i), polled));
            if self.bounds.has_platform || self.bounds.restarts == 0 {
                continue;
            }
            let mut failed = state.clone();
            failed.change(i, Daemon::handle_failed_read);
            next.push((DistributionStep::PollFailed(i), failed));
        }
    }

    fn send_steps(&self, state: &DistributionState, next: &mut Successors) {
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

    fn pull_steps(&self, state: &DistributionState, next: &mut Successors) {
        if self.bounds.in_flight > 0 {
            return;
        }
        for (from, peer) in state.daemons.iter().enumerate() {
            for to in (0..state.daemons.len()).filter(|to| *to != from) {
                let mut pulled = state.clone();
                pulled.change(to, |it| it.apply_state(peer.in_force(), self.safeguards));
                next.push((DistributionStep::Pull(to, from), pulled));
            }
        }
    }

    fn serving_steps(&self, state: &DistributionState, next: &mut Successors) {
        if self.bounds.restarts == 0 {
            return;
        }
        for i in 0..state.daemons.len() {
            for j in (0..state.daemons.len()).filter(|j| *j != i) {
                let exchanged = state.exchange(i, j, self.safeguards);
                next.push((DistributionStep::Exchange(i, j), exchanged));
            }
            let mut served = state.clone();
            let others = state.daemons.len() - 1;
            served.change(i, |it| it.serve(others, self.safeguards));
            next.push((DistributionStep::Serve(i), served));
        }
    }

    fn delivery_steps(&self, state: &DistributionState, next: &mut Successors) {
        for message in &state.messages {
            let mut lost = state.clone();
            lost.messages.remove(message);
            let mut delivered = lost.clone();
            delivered.change(message.to, |it| self.apply_message(it, message));
            let mut duplicated = delivered.clone();
            next.push((DistributionStep::Lose(*message), lost));
            next.push((DistributionStep::Deliver(*message), delivered));
            if state.faults == 0 {
                continue;
            }
            duplicated.messages.insert(*message);
            duplicated.faults -= 1;
            next.push((DistributionStep::Double(*message), duplicated));
            self.damage_steps(state, *message, next);
        }
    }

    fn damage_steps(&self, state: &DistributionState, message: Message, next: &mut Successors) {
        for delta in damaged_deltas(message.payload, &self.states, &self.deltas) {
            let mut damaged = state.clone();
            damaged.messages.remove(&message);
            damaged.faults -= 1;
            let delta = Arc::new(delta);
            damaged.change(message.to, |it| it.apply_delta(&delta, self.safeguards));
            next.push((DistributionStep::Damage(message), damaged));
        }
    }

    fn apply_message(&self, daemon: &mut Daemon, message: &Message) {
        match message.payload {
            Payload::Delta(version) => {
                let delta = &self.deltas[index(version - 1)];
                daemon.apply_delta(delta, self.safeguards);
            }
            Payload::Whole(version) => {
                daemon.apply_state(&self.states[index(version)], self.safeguards);
            }
        }
    }

    fn freeze_steps(&self, state: &DistributionState, next: &mut Successors) {
        if self.bounds.freezes == 0 {
            return;
        }
        for i in 0..state.daemons.len() {
            let mut served = state.clone();
            served.change(i, Daemon::serve_alone);
            next.push((DistributionStep::ServeAlone(i), served));
            if state.freezes > 0 {
                let mut resumed = state.clone();
                resumed.change(i, Daemon::resume);
                resumed.freezes -= 1;
                next.push((DistributionStep::Wake(i), resumed));
            }
        }
    }

    fn restart_steps(&self, state: &DistributionState, next: &mut Successors) {
        if state.restarts == 0 {
            return;
        }
        for i in 0..state.daemons.len() {
            let mut restarted = state.clone();
            restarted.change(i, Daemon::restart);
            restarted.restarts -= 1;
            if self.bounds.has_platform || restarted.served_versions_are_known() {
                next.push((DistributionStep::Restart(i), restarted));
            }
        }
    }
}

fn send(state: &DistributionState, message: Message, next: &mut Successors) {
    let mut sent = state.clone();
    if sent.messages.insert(message) {
        next.push((DistributionStep::Send(message), sent));
    }
}
