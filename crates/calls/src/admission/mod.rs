//! Admission control of an executor: which calls run, wait or are refused.
//!
//! Slots are few and the queue in front of them is short on purpose. Work that starts
//! after its caller has given up occupies a slot for nothing, and with a long queue
//! nearly all work would end like that under overload. A call that cannot finish before
//! its deadline is therefore refused on arrival, when another executor may still have
//! time for it. See `docs/design/calls.md`.
//!
//! Calls start no faster than the limit that the target states allows, and the time until
//! they may start counts as waiting time.

mod active_tenants;
mod shares;
mod types;
mod waiting;

use std::collections::BTreeMap;
use std::time::Duration;

use stoatstep_resource::CustomerName;

use crate::class::Class;
use crate::estimate::Estimate;
use crate::ids::{AttemptId, Time};
use crate::refusal::{Reason, Refusal};
use crate::target_limiter::TargetLimiter;
use active_tenants::ActiveTenants;
use shares::Shares;

pub use types::{AdmissionConfig, AdmissionDecision, AdmissionRequest, Dispatch, Load};

/// Lower bound of the retry delay that a refusal states.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(10);

#[derive(Clone, Debug)]
struct Running {
    tenant: CustomerName,
    class: Class,
    started: Time,
}

/// Slots and queue of one executor.
#[derive(Clone, Debug)]
pub struct Admission {
    cfg: AdmissionConfig,
    running: BTreeMap<AttemptId, Running>,
    waiting: Vec<AdmissionRequest>,
    shares: Shares,
    active_tenants: ActiveTenants,
    service: BTreeMap<Class, Estimate>,
    limiter: TargetLimiter,
}

impl Admission {
    /// Creates the admission control of an idle executor.
    #[must_use]
    pub fn new(cfg: AdmissionConfig) -> Self {
        Self {
            cfg,
            running: BTreeMap::new(),
            waiting: Vec::new(),
            shares: Shares::default(),
            active_tenants: ActiveTenants::default(),
            service: BTreeMap::new(),
            limiter: TargetLimiter::default(),
        }
    }

    /// Replaces the limits. Running and waiting calls are kept.
    pub fn set_config(&mut self, cfg: AdmissionConfig) {
        self.cfg = cfg;
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

    /// Returns the current load.
    #[must_use]
    pub fn load(&self, now: Time) -> Load {
        Load {
            running: u32::try_from(self.running.len()).unwrap_or(u32::MAX),
            queued: u32::try_from(self.waiting.len()).unwrap_or(u32::MAX),
            slots: self.cfg.slots,
            limit: self.limiter.report(self.waiting.len(), now),
        }
    }

    /// Decides about an attempt at once. Also returns the waiting attempt that is refused
    /// to make room for it, if any.
    pub fn offer(
        &mut self,
        request: AdmissionRequest,
        now: Time,
    ) -> (AdmissionDecision, Vec<Dispatch>) {
        self.active_tenants
            .record(&request.tenant, request.weight, now);
        let service = self.service_time(request.class);
        if now + service >= request.expires && !self.may_probe(&request, now) {
            let refusal = Refusal::retry(Reason::Deadline, MIN_RETRY_AFTER);
            return (AdmissionDecision::Refused(refusal), Vec::new());
        }
        if self.waiting.is_empty() && self.may_run(&request, now) {
            self.start(request, now);
            return (AdmissionDecision::Run, Vec::new());
        }
        let turns = self.turns_until(&request);
        let refusal = self.refusal(&request, turns, now);
        let wait = self.expected_wait(&request, turns, now);
        if now + wait + service >= request.expires || self.has_used_queue_share(&request) {
            return (AdmissionDecision::Refused(refusal), Vec::new());
        }
        self.enqueue(request, refusal)
    }

    /// The attempt ended. If it had a slot, records its run time and frees the slot;
    /// otherwise takes it out of the queue.
    pub fn release(&mut self, attempt: AttemptId, now: Time) {
        if let Some(run) = self.running.remove(&attempt) {
            let took = now.saturating_sub(run.started);
            self.service.entry(run.class).or_default().record(took);
        }
        self.cancel(attempt);
    }

    /// The attempt ended in a way that says nothing about run times: the target refused
    /// it, or its caller cancelled it. Frees its slot without recording a run time.
    pub fn release_unmeasured(&mut self, attempt: AttemptId) {
        self.running.remove(&attempt);
        self.cancel(attempt);
    }

    /// Removes a waiting attempt from the queue.
    pub fn cancel(&mut self, attempt: AttemptId) {
        self.waiting.retain(|it| it.attempt != attempt);
    }

    /// Fills free slots and refuses attempts that can no longer finish before their
    /// deadline. Must be called after each release and on each tick.
    pub fn next(&mut self, now: Time) -> Vec<Dispatch> {
        let mut out = self.refuse_expired(now);
        out.extend(self.refuse_limited(now));
        while let Some(index) = self.next_index(now) {
            let request = self.waiting.swap_remove(index);
            out.push(Dispatch::Run(request.attempt));
            self.start(request, now);
        }
        out
    }

    /// Refuses all waiting attempts, for example after the process was frozen. Callers
    /// may have given up during the freeze, while their clocks kept running; starting
    /// the whole queue would run work that its entries are about to revoke.
    pub fn flush(&mut self, reason: Reason) -> Vec<Dispatch> {
        let refusal = Refusal::retry(reason, MIN_RETRY_AFTER);
        let refused = |request: AdmissionRequest| Dispatch::Refused(request.attempt, refusal);
        self.waiting.drain(..).map(refused).collect()
    }

    fn service_time(&self, class: Class) -> Duration {
        self.service
            .get(&class)
            .map(Estimate::mean)
            .unwrap_or_default()
    }

    /// An idle executor admits a call whatever the run-time estimate says. The estimate
    /// only changes when calls run: if all were refused after one slow minute of the
    /// target, it would never get a call again.
    fn may_probe(&self, request: &AdmissionRequest, now: Time) -> bool {
        self.running.is_empty() && self.waiting.is_empty() && now < request.expires
    }

    fn may_run(&self, request: &AdmissionRequest, now: Time) -> bool {
        self.can_start(now) && self.is_below_concurrency(request)
    }

    /// Whether a slot is free and the target's limit lets a call start.
    fn can_start(&self, now: Time) -> bool {
        let is_free = self.running.len() < self.cfg.slots as usize;
        is_free && self.limiter.wait(0, now).is_zero()
    }

    fn is_below_concurrency(&self, request: &AdmissionRequest) -> bool {
        let Some(limit) = request.concurrency else {
            return true;
        };
        let same = |run: &&Running| run.tenant == request.tenant;
        self.running.values().filter(same).count() < limit as usize
    }

    fn start(&mut self, request: AdmissionRequest, now: Time) {
        self.limiter.record_sent(now);
        self.shares
            .charge(request.class, &request.tenant, request.weight);
        let run = Running {
            tenant: request.tenant,
            class: request.class,
            started: now,
        };
        self.running.insert(request.attempt, run);
    }

    /// The waiting attempt to start next: from the class that is furthest behind its
    /// share, in it the tenant that is furthest behind its own, and of that tenant the
    /// attempt with the earliest deadline.
    fn next_index(&self, now: Time) -> Option<usize> {
        if !self.can_start(now) {
            return None;
        }
        let indexed = self.waiting.iter().enumerate();
        let eligible = indexed.filter(|(_, request)| self.is_below_concurrency(request));
        let next = eligible.min_by_key(|(_, request)| {
            let (class, tenant) = self.shares.position(request.class, &request.tenant);
            (
                class,
                request.class,
                tenant,
                &request.tenant,
                request.expires,
            )
        });
        next.map(|(index, _)| index)
    }

    fn refuse_expired(&mut self, now: Time) -> Vec<Dispatch> {
        let service = &self.service;
        let late = |request: &mut AdmissionRequest| {
            let needed = service.get(&request.class).map(Estimate::mean);
            now + needed.unwrap_or_default() >= request.expires
        };
        let refusal = Refusal::permanent(Reason::Deadline);
        let refused = |request: AdmissionRequest| Dispatch::Refused(request.attempt, refusal);
        self.waiting.extract_if(.., late).map(refused).collect()
    }

    /// Whether the tenant already uses its whole share of the queue, among the recently
    /// active tenants. A call beyond the share would be evicted as soon as the other
    /// tenants send calls again; it is better refused on arrival than after a wait.
    fn has_used_queue_share(&self, request: &AdmissionRequest) -> bool {
        let same = |it: &&AdmissionRequest| it.tenant == request.tenant;
        let held = self.waiting.iter().filter(same).count();
        held >= self
            .active_tenants
            .queue_places(request.weight, self.cfg.queue)
    }

    fn queued_weight(&self, request: &AdmissionRequest) -> usize {
        let mut weights: BTreeMap<&CustomerName, u32> = BTreeMap::new();
        for it in &self.waiting {
            weights.insert(&it.tenant, it.weight);
        }
        weights.insert(&request.tenant, request.weight);
        weights.values().map(|&weight| weight.max(1) as usize).sum()
    }

    fn enqueue(
        &mut self,
        request: AdmissionRequest,
        refusal: Refusal,
    ) -> (AdmissionDecision, Vec<Dispatch>) {
        if self.waiting.len() < self.cfg.queue {
            self.waiting.push(request);
            return (AdmissionDecision::Wait, Vec::new());
        }
        // Without eviction, a tenant that floods the queue would cause every call of the
        // others to be refused on arrival, whatever their shares are.
        let Some(index) = self.eviction_candidate(&request) else {
            return (AdmissionDecision::Refused(refusal), Vec::new());
        };
        let evicted = std::mem::replace(&mut self.waiting[index], request);
        let out = Dispatch::Refused(evicted.attempt, refusal);
        (AdmissionDecision::Wait, vec![out])
    }

    /// The waiting attempt to evict for `request`, if there is one: from the least urgent
    /// class, in it the tenant that uses most of the queue for its weight, and of that
    /// tenant the attempt with the latest deadline.
    fn eviction_candidate(&self, request: &AdmissionRequest) -> Option<usize> {
        let indexed = self.waiting.iter().enumerate();
        let rank = |it: &AdmissionRequest, extra: usize| (it.class, self.queue_share(it, extra));
        let worst = indexed.max_by_key(|(_, it)| (rank(it, 0), it.expires))?;
        let (index, victim) = worst;
        let same = victim.tenant == request.tenant && victim.class == request.class;
        (!same && rank(victim, 0) > rank(request, 1)).then_some(index)
    }

    /// Places of the queue that the tenant uses, divided by its weight, in thousandths.
    /// `extra` is added to the places.
    fn queue_share(&self, request: &AdmissionRequest, extra: usize) -> usize {
        let same = |it: &&AdmissionRequest| it.tenant == request.tenant;
        let held = self.waiting.iter().filter(same).count() + extra;
        held * 1000 / request.weight.max(1) as usize
    }
}
