//! State of the local target, the one that runs beside this daemon.
//!
//! There is no list of targets: each one reports itself to its daemon. Heartbeats can be
//! delayed, so that one of an earlier generation arrives after those of a later one, and
//! another program may send some. So no single message decides for good which generation
//! is running:
//!
//! - A departure is final for the generation that announced it, whatever is believed of it.
//! - The target's answer to a request says which generation it is, and outranks heartbeats.
//! - Of two generations with one id, the one with the later start time is current.
//! - A heartbeat that nothing of this contradicts makes its sender current. It gets calls only
//!   after the target itself has confirmed it.
//!
//! All but the first hold for as long as heartbeats renew them.

mod view;

use std::collections::VecDeque;
use std::time::Duration;

use smol_str::SmolStr;

use crate::generation::{StartMillis, generation_id, precedes, target_id_of};
use crate::heartbeat::{Contradiction, Heartbeat, HeartbeatOutcome};
use crate::member::Time;
use crate::reported::Generation;

/// Intervals without a heartbeat after which the target counts as gone. One heartbeat
/// may be lost and one be late by nearly two seconds.
const MAX_SILENT_INTERVALS: u32 = 3;

/// Number of other generations that are remembered. It suffices to recognise all late
/// heartbeats of a target that restarts every second for a minute.
const MAX_OTHER_GENERATIONS: usize = 64;

/// The local target, as it reported itself.
#[derive(Clone, Debug)]
pub struct LocalTarget {
    interval: Duration,
    current: Option<Generation>,
    /// A generation that reported itself while the confirmed one was live.
    challenger: Option<Generation>,
    /// Other generations that reported themselves, the last one at the back.
    others: VecDeque<Generation>,
    /// Generations that announced their departure. Some may have no heartbeat on record,
    /// since this process may have started after their last one.
    departed: VecDeque<SmolStr>,
}

impl LocalTarget {
    /// Creates the state before the first heartbeat of a target that sends one every
    /// `interval`.
    #[must_use]
    pub fn new(interval: Duration) -> Self {
        Self {
            interval,
            current: None,
            challenger: None,
            others: VecDeque::new(),
            departed: VecDeque::new(),
        }
    }

    /// Processes a heartbeat.
    pub fn record_heartbeat(&mut self, heartbeat: Heartbeat, now: Time) -> HeartbeatOutcome {
        let Some(contradiction) = self.contradiction(&heartbeat, now) else {
            self.accept(heartbeat, now);
            return HeartbeatOutcome::Accepted;
        };
        if heartbeat.draining {
            // The sender takes the answer for an acknowledgement, whatever is believed of it.
            self.record_departure(&heartbeat.upstream);
            return HeartbeatOutcome::Stale;
        }
        if !matches!(contradiction, Contradiction::Generation(_)) {
            return HeartbeatOutcome::Stale;
        }
        let challenger = self.renewed(heartbeat, now);
        if let Some(former) = self.challenger.replace(challenger) {
            self.remember(former);
        }
        HeartbeatOutcome::Disputed
    }

    /// Returns what is known that contradicts a heartbeat, if anything.
    #[must_use]
    pub fn contradiction(&self, heartbeat: &Heartbeat, now: Time) -> Option<Contradiction> {
        let upstream = &heartbeat.upstream;
        if self.departed.contains(upstream) {
            return Some(Contradiction::Departed);
        }
        let sender = self.known().find(|it| it.is(upstream));
        let sender = sender.filter(|it| self.is_live(it, now));
        if let Some(sender) = sender.filter(|it| heartbeat.sequence <= it.heartbeat.sequence) {
            return Some(Contradiction::Sequence(sender.heartbeat.sequence));
        }
        let current = self.live_generation(now);
        let known = current.map(|it| it.heartbeat.upstream.clone());
        if sender.is_some_and(|it| it.is_ruled_out) {
            return Some(Contradiction::RuledOut(known));
        }
        let current = current.filter(|it| !it.is(upstream))?;
        if current.supersedes(heartbeat) {
            return Some(Contradiction::StartTime(current.heartbeat.born));
        }
        let is_disputed = current.is_confirmed && !current.has_target_id(target_id_of(upstream));
        known.filter(|_| is_disputed).map(Contradiction::Generation)
    }

    fn accept(&mut self, heartbeat: Heartbeat, now: Time) {
        let current = self.current.as_ref();
        let Some(current) = current.filter(|it| it.is(&heartbeat.upstream)) else {
            let generation = self.renewed(heartbeat, now);
            self.replace(Some(generation));
            return;
        };
        // A lower number was sent by another run of the target, which has confirmed nothing.
        let is_same_run = heartbeat.sequence > current.heartbeat.sequence;
        let is_confirmed = current.is_confirmed && is_same_run;
        let generation = self.renewed(heartbeat, now);
        self.current = Some(Generation {
            is_confirmed,
            ..generation
        });
    }

    /// Returns the unconfirmed state of the generation that sent `heartbeat`.
    ///
    /// Calls that are sent after a drain was acknowledged fail, so a generation that has
    /// begun to drain never gets calls again.
    fn renewed(&mut self, mut heartbeat: Heartbeat, now: Time) -> Generation {
        let sender = self.known().find(|it| it.is(&heartbeat.upstream));
        heartbeat.draining |= sender.is_some_and(|it| it.heartbeat.draining);
        self.others.retain(|it| !it.is(&heartbeat.upstream));
        self.challenger.take_if(|it| it.is(&heartbeat.upstream));
        Generation::new(heartbeat, now)
    }

    /// All generations that reported themselves, the current one first, then from the last
    /// one on.
    fn known(&self) -> impl Iterator<Item = &Generation> {
        let current = self.current.iter().chain(&self.challenger);
        current.chain(self.others.iter().rev())
    }

    /// Returns the last heartbeat of a live generation that is yet to be confirmed, so that
    /// the target has to be asked about it.
    #[must_use]
    pub fn unconfirmed(&self, now: Time) -> Option<&Heartbeat> {
        let mut generations = self.challenger.iter().chain(&self.current);
        let generation = generations.find(|it| self.awaits_confirmation(it, now));
        generation.map(|it| &it.heartbeat)
    }

    fn awaits_confirmation(&self, generation: &Generation, now: Time) -> bool {
        self.is_live(generation, now) && !generation.is_confirmed && self.accepts_calls(generation)
    }

    /// Returns the generation that a departure notice under this target id refers to. A
    /// notice without a start time refers to the last generation with this id that reported
    /// itself, since a former one can no longer send it.
    #[must_use]
    pub fn departing_generation(&self, id: &str, born: Option<StartMillis>) -> SmolStr {
        let sender = self
            .known()
            .find(|it| born.is_none() && it.has_target_id(id));
        let sender = sender.map(|it| it.heartbeat.upstream.clone());
        sender.unwrap_or_else(|| generation_id(id, born))
    }

    /// Records that a generation is departing, and returns whether this was unknown.
    ///
    /// The departure is final whatever else arrives from this generation, and does not
    /// affect a later one with the same target id. The target may still finish the calls
    /// that it runs.
    pub fn record_departure(&mut self, upstream: &str) -> bool {
        if self.departed.iter().any(|it| it == upstream) {
            return false;
        }
        self.departed.push_back(upstream.into());
        if self.departed.len() > MAX_OTHER_GENERATIONS {
            self.departed.pop_front();
        }
        self.end_predecessors(upstream);
        true
    }

    /// Ends what is believed of former generations with the target id of `upstream`: calls for
    /// them would reach `upstream`, since targets know only their id.
    fn end_predecessors(&mut self, upstream: &str) {
        let is_former = |it: &Generation| precedes(&it.heartbeat.upstream, upstream);
        if self.current.as_ref().is_some_and(is_former) {
            self.replace(None);
        }
        if let Some(former) = self.challenger.take_if(|it| is_former(it)) {
            self.remember(former);
        }
        for former in self.others.iter_mut().filter(|it| is_former(it)) {
            former.is_confirmed = false;
            former.is_ruled_out = true;
        }
    }

    fn is_current(&self, upstream: &str) -> bool {
        self.current.as_ref().is_some_and(|it| it.is(upstream))
    }

    fn is_challenger(&self, upstream: &str) -> bool {
        self.challenger.as_ref().is_some_and(|it| it.is(upstream))
    }

    fn accepts_calls(&self, generation: &Generation) -> bool {
        !self.departed.contains(&generation.heartbeat.upstream) && !generation.heartbeat.draining
    }

    /// Records that the target answered a request for generation `asked` with the target
    /// id `actual`, so that all other generations that had reported themselves have ended.
    ///
    /// If another generation has reported itself since the request, the answer is outdated
    /// and ignored.
    pub fn record_answer(&mut self, asked: &str, actual: &str) {
        let is_asked_current = self.is_current(asked);
        let is_outdated = !is_asked_current && !self.is_challenger(asked);
        if is_outdated || is_asked_current && target_id_of(asked) == actual {
            return;
        }
        if let Some(challenger) = self.challenger.take() {
            self.remember(Generation {
                is_ruled_out: challenger.is(asked),
                ..challenger
            });
        }
        if self
            .current
            .as_ref()
            .is_some_and(|it| it.has_target_id(actual))
        {
            return;
        }
        let known = self.others.iter().rposition(|it| it.has_target_id(actual));
        let generation = known.and_then(|at| self.others.remove(at));
        self.replace(generation.map(|it| Generation {
            is_ruled_out: false,
            ..it
        }));
        if let Some(former) = self.others.back_mut() {
            former.is_ruled_out = true;
        }
    }

    /// Records the target's answer that it is the generation with the id `confirmed` and
    /// accepts calls. The answer went to this process, so a later drain or departure notice
    /// reaches it too.
    ///
    /// Without the confirmation, a restarted daemon would accept a late heartbeat and send
    /// calls to a target whose departure the previous process acknowledged. The target's
    /// answer is sufficient: it stops reporting itself ready when it begins to leave, which
    /// is before any acknowledgement.
    pub fn confirm(&mut self, confirmed: &str) {
        self.record_answer(confirmed, target_id_of(confirmed));
        let generation = self.current.as_mut();
        if let Some(generation) = generation.filter(|it| it.is(confirmed)) {
            generation.is_confirmed = true;
        }
    }

    fn live_generation(&self, now: Time) -> Option<&Generation> {
        self.current.as_ref().filter(|it| self.is_live(it, now))
    }

    fn is_live(&self, generation: &Generation, now: Time) -> bool {
        let bound = self.interval * MAX_SILENT_INTERVALS;
        now.saturating_sub(generation.received_at) <= bound
    }

    /// Makes this generation the current one, or none.
    fn replace(&mut self, generation: Option<Generation>) {
        let challenger = self.challenger.take();
        let former = std::mem::replace(&mut self.current, generation);
        challenger
            .into_iter()
            .chain(former)
            .for_each(|it| self.remember(it));
    }

    fn remember(&mut self, generation: Generation) {
        self.others.push_back(generation);
        if self.others.len() > MAX_OTHER_GENERATIONS {
            self.others.pop_front();
        }
    }
}
