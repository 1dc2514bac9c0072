//! The queue of an executor whose calls have ranks and latency objectives.
//!
//! It answers the load that asks for more than the target has: there, whatever
//! waits makes something else wait. Three things follow.
//!
//! * A call is worth its full price until its objective and a fraction of it
//!   afterwards, while its run costs the same. So a call is only taken where it
//!   would most likely still meet its objective; otherwise it is refused when it
//!   comes, and its caller can come back when there is room.
//! * The more urgent rank goes first. Within a rank, those that can still meet
//!   their objective go before those that can't, then the kind of which least
//!   was taken lately, and then the earlier deadline.
//! * What a call costs is told by its kind: kinds of calls to one target differ
//!   several times in their run times.
//!
//! See `docs/design/platform.md`.

mod kinds;

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::admission::{Dispatch, Verdict};
use crate::ids::{AttemptId, Time};
use crate::refusal::{Reason, Refusal};
use kinds::Kinds;

/// Share of the time to its objective that a call may spend waiting. Run times
/// vary by more than their mean: at a third, a call whose run takes twice its
/// mean still meets an objective of three times the mean.
const WAIT_SHARE: f64 = 0.3;

/// Least time after which coming back is worthwhile.
const LEAST_RETRY_AFTER: Duration = Duration::from_millis(10);

/// A call that asks for a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueueAsk {
    /// The attempt.
    pub attempt: AttemptId,
    /// What it is a call of; calls of one kind take about the same time.
    pub kind: SmolStr,
    /// Rank among other calls, 0 the most urgent.
    pub rank: u8,
    /// Until when an answer is worth its full price; the deadline where the
    /// operator states no objective.
    pub objective: Time,
    /// When its caller stops waiting.
    pub expires: Time,
}

/// How occupied an executor is, as its answers carry it to the entries.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Occupancy {
    /// Calls that have a slot.
    pub running: u32,
    /// Calls that wait.
    pub queued: u32,
    /// Slots.
    pub slots: u32,
    /// Mean time of a run, over all kinds; zero before the first.
    pub service: Duration,
    /// Time in which the large answers that are under way from there leave its link.
    pub link_backlog: Duration,
    /// Bytes a second that its link carries; zero where nothing holds answers up.
    pub link_bytes_per_s: u32,
}

#[derive(Clone, Debug)]
struct Running {
    kind: SmolStr,
    started: Time,
}

/// Slots and queue of one executor.
#[derive(Clone, Debug)]
pub struct Queue {
    slots: u32,
    running: BTreeMap<AttemptId, Running>,
    waiting: Vec<QueueAsk>,
    kinds: Kinds,
}

impl Queue {
    /// An idle executor of a target with `slots`.
    #[must_use]
    pub fn new(slots: u32) -> Self {
        Self {
            slots,
            running: BTreeMap::new(),
            waiting: Vec::new(),
            kinds: Kinds::default(),
        }
    }

    /// The target has another number of slots; what runs and waits stays.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots;
    }

    /// How occupied it is.
    #[must_use]
    pub fn occupancy(&self) -> Occupancy {
        Occupancy {
            running: count(self.running.len()),
            queued: count(self.waiting.len()),
            slots: self.slots,
            service: self.kinds.mean(),
            link_backlog: Duration::ZERO,
            link_bytes_per_s: 0,
        }
    }

    /// Decides about a call at once. Others that wait may have to make room.
    pub fn offer(&mut self, ask: QueueAsk, now: Time) -> (Verdict, Vec<Dispatch>) {
        self.kinds.asked(&ask.kind, now);
        let service = self.service(&ask.kind);
        if now + service >= ask.expires && !self.is_idle() {
            let refusal = Refusal::retry(Reason::Deadline, LEAST_RETRY_AFTER);
            return (Verdict::Refused(refusal), Vec::new());
        }
        if self.waiting.is_empty() && self.has_free_slot() {
            self.start(&ask, now);
            return (Verdict::Run, Vec::new());
        }
        let ahead = self
            .waiting
            .iter()
            .filter(|it| self.goes_first(it, &ask, now));
        let wait = self.wait_behind(ahead);
        if !self.is_in_time(&ask, wait, now) {
            return (Verdict::Refused(overload(wait)), Vec::new());
        }
        self.waiting.push(ask);
        (Verdict::Wait, self.refuse_crowded_out(now))
    }

    /// The attempt's run ended by itself: its time counts.
    pub fn release(&mut self, attempt: AttemptId, now: Time) {
        if let Some(run) = self.running.remove(&attempt) {
            let took = now.saturating_sub(run.started);
            self.kinds.ran(&run.kind, took);
        }
        self.cancel(attempt);
    }

    /// The attempt's run ended without telling how long a run takes, or it left
    /// before it ran.
    pub fn release_unmeasured(&mut self, attempt: AttemptId) {
        self.running.remove(&attempt);
        self.cancel(attempt);
    }

    /// Fills free slots and refuses what can no longer finish in time. To be
    /// called after each release and on each tick.
    pub fn next(&mut self, now: Time) -> Vec<Dispatch> {
        let mut out = self.refuse_late(now);
        while self.has_free_slot()
            && let Some(index) = self.first(now)
        {
            let ask = self.waiting.swap_remove(index);
            out.push(Dispatch::Run(ask.attempt));
            self.start(&ask, now);
        }
        out
    }

    /// Empties the queue.
    pub fn flush(&mut self, reason: Reason) -> Vec<Dispatch> {
        let refusal = Refusal::retry(reason, LEAST_RETRY_AFTER);
        let refused = |ask: QueueAsk| Dispatch::Refused(ask.attempt, refusal);
        self.waiting.drain(..).map(refused).collect()
    }

    fn cancel(&mut self, attempt: AttemptId) {
        self.waiting.retain(|it| it.attempt != attempt);
    }

    fn service(&self, kind: &str) -> Duration {
        self.kinds.service(kind)
    }

    /// An idle executor takes a call whatever the estimate says. Refusing all of
    /// them would leave the estimate as it is for ever: one slow minute of the
    /// target, and its daemon never sends it a call again.
    fn is_idle(&self) -> bool {
        self.running.is_empty() && self.waiting.is_empty()
    }

    fn has_free_slot(&self) -> bool {
        self.running.len() < self.slots as usize
    }

    fn start(&mut self, ask: &QueueAsk, now: Time) {
        self.kinds.taken(&ask.kind);
        let run = Running {
            kind: ask.kind.clone(),
            started: now,
        };
        self.running.insert(ask.attempt, run);
    }

    fn goes_first(&self, one: &QueueAsk, other: &QueueAsk, now: Time) -> bool {
        self.position(one, now) <= self.position(other, now)
    }

    fn position(&self, ask: &QueueAsk, now: Time) -> (u8, bool, u8, Time) {
        let is_late = now + self.service(&ask.kind) > ask.objective;
        let share = self.kinds.share(&ask.kind);
        (ask.rank, is_late, share, ask.expires)
    }

    fn first(&self, now: Time) -> Option<usize> {
        let indexed = self.waiting.iter().enumerate();
        let first = indexed.min_by_key(|(_, ask)| self.position(ask, now));
        first.map(|(index, _)| index)
    }

    /// Time until a slot is free for a call behind `ahead`.
    fn wait_behind<'a>(&self, ahead: impl Iterator<Item = &'a QueueAsk>) -> Duration {
        let ahead: Duration = ahead.map(|it| self.service(&it.kind)).sum();
        let first = self.kinds.mean();
        (ahead + first) / self.slots.max(1)
    }

    /// Whether a call that waits for so long is worth waiting. One that can't
    /// meet its objective any more only has its deadline left to meet.
    fn is_in_time(&self, ask: &QueueAsk, wait: Duration, now: Time) -> bool {
        let done = now + wait + self.service(&ask.kind);
        if now >= ask.objective {
            return done < ask.expires;
        }
        let room = ask.objective.saturating_sub(now).mul_f64(WAIT_SHARE);
        done < ask.expires && wait <= room
    }

    /// Refuses those that a newcomer of a more urgent rank leaves without a
    /// chance, now and not once their time has passed.
    fn refuse_crowded_out(&mut self, now: Time) -> Vec<Dispatch> {
        let mut order: Vec<usize> = (0..self.waiting.len()).collect();
        order.sort_by_key(|index| self.position(&self.waiting[*index], now));
        let mut ahead = Duration::ZERO;
        let first = self.kinds.mean();
        let mut out = Vec::new();
        for index in order {
            let ask = &self.waiting[index];
            let service = self.service(&ask.kind);
            let wait = (ahead + first) / self.slots.max(1);
            if now + wait + service < ask.expires {
                ahead += service;
            } else {
                out.push((ask.attempt, wait));
            }
        }
        let crowded_out = |ask: &QueueAsk| out.iter().any(|it| it.0 == ask.attempt);
        self.waiting.retain(|ask| !crowded_out(ask));
        let refused = |(attempt, wait)| Dispatch::Refused(attempt, overload(wait));
        out.into_iter().map(refused).collect()
    }

    fn refuse_late(&mut self, now: Time) -> Vec<Dispatch> {
        let late: Vec<_> = self
            .waiting
            .iter()
            .filter(|ask| now + self.service(&ask.kind) >= ask.expires)
            .map(|ask| ask.attempt)
            .collect();
        self.waiting.retain(|ask| !late.contains(&ask.attempt));
        let refusal = Refusal::retry(Reason::Deadline, LEAST_RETRY_AFTER);
        let refused = |attempt| Dispatch::Refused(attempt, refusal);
        late.into_iter().map(refused).collect()
    }
}

fn overload(wait: Duration) -> Refusal {
    Refusal::retry(Reason::Overload, wait.max(LEAST_RETRY_AFTER))
}

fn count(len: usize) -> u32 {
    u32::try_from(len).unwrap_or(u32::MAX)
}
