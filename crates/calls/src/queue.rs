//! Priority queue of an executor whose calls have ranks and latency objectives.
//!
//! It is designed for overload, where each call that is admitted delays others:
//!
//! * An answer has its full value until the call's objective and a fraction of it
//!   afterwards, while the run costs the same. A call is therefore admitted only if it
//!   will most likely meet its objective. Otherwise it is refused on arrival, and its
//!   caller can retry when there is room.
//! * A call that [may be late](QueueRequest::late_wait) can wait behind those in time
//!   instead, as long as they are forecast to leave it a slot before its deadline.
//! * The more urgent rank goes first. Within a rank, calls that can still meet their
//!   objective go before those that can't, then the customer that was served least, then
//!   the kind with the smallest admitted share of its recent calls, then the earlier
//!   deadline.
//! * Run times are estimated for each kind of call, which is its route, because the kinds
//!   of calls to one target differ several times in their run times.
//! * Calls start no faster than the limit that the target states allows. The time until
//!   they may start counts as waiting time, so those that the limit leaves no room for are
//!   refused like those for which no slot will be free.
//!
//! See `docs/design/platform.md`.

mod kinds;
mod order;
mod waiting;

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::admission::{AdmissionDecision, Dispatch};
use crate::customer_usage::UsageLevel;
use crate::ids::{AttemptId, Time};
use crate::late_band::{Band, LateWait};
use crate::recent_load::RecentLoad;
use crate::refusal::{Reason, Refusal};
use crate::target_limiter::{LimitReport, TargetLimiter};
use kinds::Kinds;
use waiting::Waiting;

/// Lower bound of the retry delay that a refusal states.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(10);

/// A call that requests a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueueRequest {
    /// The attempt.
    pub attempt: AttemptId,
    /// Kind of the call, which is its route; calls of one kind have similar run times.
    pub kind: SmolStr,
    /// Rank among other calls, 0 the most urgent.
    pub rank: u8,
    /// Time until which an answer has its full value; the deadline if the operator
    /// states no objective.
    pub objective: Time,
    /// Deadline: when its caller stops waiting.
    pub expires: Time,
    /// Whether it may wait past its objective.
    pub late_wait: LateWait,
    /// What its customer was served lately; 0 if it has none.
    pub usage: UsageLevel,
}

/// Load that an executor which queues calls by rank and latency objective ([`Queue`])
/// reports to the entries in its answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Occupancy {
    /// Calls that have a slot.
    pub running: u32,
    /// Calls that wait and go before a call in time.
    pub queued: u32,
    /// Calls that wait behind those in time.
    pub late: u32,
    /// Calls that the target can run at a time.
    pub slots: u32,
    /// Mean run time over all kinds; zero before the first run.
    pub service: Duration,
    /// Time that its link needs to send the pending large answers.
    pub link_backlog: Duration,
    /// Rate of its link in bytes per second; zero if the link does not limit answers.
    pub link_bytes_per_s: u32,
    /// The limit that the target states, and when one more call may start by it.
    pub limit: LimitReport,
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
    waiting: Vec<Waiting>,
    kinds: Kinds,
    /// Run time of the calls that were admitted in time, by rank.
    in_time: BTreeMap<u8, RecentLoad>,
    limiter: TargetLimiter,
}

impl Queue {
    /// Creates the queue of an idle executor whose target has `slots`.
    #[must_use]
    pub fn new(slots: u32) -> Self {
        Self {
            slots,
            running: BTreeMap::new(),
            waiting: Vec::new(),
            kinds: Kinds::default(),
            in_time: BTreeMap::new(),
            limiter: TargetLimiter::default(),
        }
    }

    /// Changes the number of slots. Running and waiting calls are kept.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots;
    }

    /// The limiter of the requests to the target.
    #[must_use]
    pub fn limiter(&self) -> &TargetLimiter {
        &self.limiter
    }

    /// The limiter of the requests to the target, for what the target states. If that changes
    /// the limit, [`next`](Self::next) must be called.
    pub fn limiter_mut(&mut self) -> &mut TargetLimiter {
        &mut self.limiter
    }

    /// Returns the current load. The fields about the link are zero.
    #[must_use]
    pub fn occupancy(&self, now: Time) -> Occupancy {
        Occupancy {
            running: to_u32(self.running.len()),
            queued: to_u32(self.count_waiting(Band::InTime)),
            late: to_u32(self.count_waiting(Band::Late)),
            slots: self.slots,
            service: self.kinds.mean(),
            link_backlog: Duration::ZERO,
            link_bytes_per_s: 0,
            limit: self.limiter.report(self.waiting.len(), now),
        }
    }

    /// Decides about a call at once. Also returns the waiting calls that are refused
    /// because this one goes before them.
    pub fn offer(
        &mut self,
        request: QueueRequest,
        now: Time,
    ) -> (AdmissionDecision, Vec<Dispatch>) {
        self.kinds.record_request(&request.kind, now);
        let service = self.service(&request.kind);
        if now + service >= request.expires && !self.is_idle() {
            let refusal = Refusal::retry(Reason::Deadline, MIN_RETRY_AFTER);
            return (AdmissionDecision::Refused(refusal), Vec::new());
        }
        if self.waiting.is_empty() && self.can_start(now) {
            self.record_admitted(&request, now);
            self.start(&request, now);
            return (AdmissionDecision::Run, Vec::new());
        }
        let wait = self.wait_of(&request, Band::InTime, now);
        let is_late = now >= request.objective;
        let band = if is_late && request.late_wait.is_allowed() {
            Band::Late
        } else if self.is_worth_queueing(&request, wait.time, now) {
            Band::InTime
        } else if request.late_wait.is_allowed() {
            Band::Late
        } else {
            return (AdmissionDecision::Refused(wait.refusal()), Vec::new());
        };
        if band == Band::Late
            && let Err(refusal) = self.check_late(&request, now)
        {
            return (AdmissionDecision::Refused(refusal), Vec::new());
        }
        if band == Band::InTime {
            self.record_admitted(&request, now);
        }
        let answer_by = if is_late {
            request.expires
        } else {
            request.objective
        };
        let attempt = request.attempt;
        self.waiting.push(Waiting {
            request,
            answer_by,
            band,
        });
        let mut displaced = self.refuse_displaced(now);
        let own = |it: &mut Dispatch| matches!(it, Dispatch::Refused(id, _) if *id == attempt);
        let decision = match displaced.extract_if(.., own).next() {
            Some(Dispatch::Refused(_, refusal)) => AdmissionDecision::Refused(refusal),
            Some(Dispatch::Run(_)) | None => AdmissionDecision::Wait,
        };
        (decision, displaced)
    }

    /// The attempt's run ended by itself. Records its run time and frees its slot.
    pub fn release(&mut self, attempt: AttemptId, now: Time) {
        if let Some(run) = self.running.remove(&attempt) {
            let took = now.saturating_sub(run.started);
            self.kinds.record_run(&run.kind, took);
        }
        self.cancel(attempt);
    }

    /// The attempt ended before it ran, or in a way that says nothing about run times.
    /// Frees its slot without recording a run time.
    pub fn release_unmeasured(&mut self, attempt: AttemptId) {
        self.running.remove(&attempt);
        self.cancel(attempt);
    }

    /// Fills free slots and refuses calls that can no longer finish before their
    /// deadline. Must be called after each release, on each tick and after the time of
    /// [`next_start`](Self::next_start).
    pub fn next(&mut self, now: Time) -> Vec<Dispatch> {
        let mut out = self.refuse_expired(now);
        if self.limiter.is_active(now) {
            // The limit may have fallen since these calls were queued.
            out.extend(self.refuse_displaced(now));
        }
        while self.can_start(now)
            && let Some(index) = self.next_index(now)
        {
            let Waiting { request, .. } = self.waiting.swap_remove(index);
            out.push(Dispatch::Run(request.attempt));
            self.start(&request, now);
        }
        out
    }

    /// Time until the target's limit allows the next waiting call to start. `None` if no call
    /// waits for that alone.
    #[must_use]
    pub fn next_start(&self, now: Time) -> Option<Duration> {
        let waits = !self.waiting.is_empty() && self.has_free_slot();
        waits.then(|| self.limiter.wait(0, now))
    }

    /// Makes the deadline of a waiting call earlier. [`next`](Self::next) must be called
    /// afterwards.
    pub fn expire_by(&mut self, attempt: AttemptId, expires: Time) {
        let mut waiting = self.waiting.iter_mut().map(|it| &mut it.request);
        if let Some(request) = waiting.find(|it| it.attempt == attempt) {
            request.expires = request.expires.min(expires);
        }
    }

    /// Refuses all waiting calls with `reason`.
    pub fn flush(&mut self, reason: Reason) -> Vec<Dispatch> {
        let refusal = Refusal::retry(reason, MIN_RETRY_AFTER);
        let refused = |it: Waiting| Dispatch::Refused(it.request.attempt, refusal);
        self.waiting.drain(..).map(refused).collect()
    }

    fn cancel(&mut self, attempt: AttemptId) {
        self.waiting.retain(|it| it.request.attempt != attempt);
    }

    fn service(&self, kind: &str) -> Duration {
        self.kinds.service(kind)
    }

    /// An idle executor admits a call whatever the run-time estimate says. The estimate
    /// only changes when calls run: if all were refused after one slow minute of the
    /// target, it would never get a call again.
    fn is_idle(&self) -> bool {
        self.running.is_empty() && self.waiting.is_empty()
    }

    fn has_free_slot(&self) -> bool {
        self.running.len() < self.slots as usize
    }

    fn can_start(&self, now: Time) -> bool {
        self.has_free_slot() && self.limiter.wait(0, now).is_zero()
    }

    fn start(&mut self, request: &QueueRequest, now: Time) {
        self.limiter.record_sent(now);
        self.kinds.record_start(&request.kind);
        let run = Running {
            kind: request.kind.clone(),
            started: now,
        };
        self.running.insert(request.attempt, run);
    }

    /// Counts a call that can be in time, for the forecast of what such calls leave.
    fn record_admitted(&mut self, request: &QueueRequest, now: Time) {
        if now < request.objective {
            let service = self.service(&request.kind).as_secs_f64();
            let load = self.in_time.entry(request.rank).or_default();
            load.record(service, now);
        }
    }
}

fn to_u32(len: usize) -> u32 {
    u32::try_from(len).unwrap_or(u32::MAX)
}
