//! What an executor runs, lets wait and refuses.
//!
//! Slots are few and the queue in front of them is short on purpose: work that
//! waits until its caller has gone costs a slot and helps nobody, and under
//! overload nearly all work would end up like that. So a call that cannot
//! finish in time is refused when it comes, while another executor may still
//! have time for it. See `docs/design/calls.md`.

mod active;
mod shares;
mod types;

use std::collections::BTreeMap;
use std::time::Duration;

use stoatstep_resource::CustomerName;

use crate::class::Class;
use crate::estimate::Estimate;
use crate::ids::{AttemptId, Time};
use crate::refusal::{Reason, Refusal};
use active::Active;
use shares::Shares;

pub use types::{AdmissionConfig, Ask, Dispatch, Load, Verdict};

/// Least time after which coming back is worthwhile.
const LEAST_RETRY_AFTER: Duration = Duration::from_millis(10);

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
    waiting: Vec<Ask>,
    shares: Shares,
    active: Active,
    service: BTreeMap<Class, Estimate>,
}

impl Admission {
    /// An idle executor.
    #[must_use]
    pub fn new(cfg: AdmissionConfig) -> Self {
        Self {
            cfg,
            running: BTreeMap::new(),
            waiting: Vec::new(),
            shares: Shares::default(),
            active: Active::default(),
            service: BTreeMap::new(),
        }
    }

    /// Takes new bounds; what runs and waits stays.
    pub fn set_config(&mut self, cfg: AdmissionConfig) {
        self.cfg = cfg;
    }

    /// Current load.
    #[must_use]
    pub fn load(&self) -> Load {
        Load {
            running: u32::try_from(self.running.len()).unwrap_or(u32::MAX),
            queued: u32::try_from(self.waiting.len()).unwrap_or(u32::MAX),
            slots: self.cfg.slots,
        }
    }

    /// Decides about an attempt at once.
    pub fn offer(&mut self, ask: Ask, now: Time) -> (Verdict, Vec<Dispatch>) {
        self.active.see(&ask.tenant, ask.weight, now);
        let service = self.service_time(ask.class);
        if now + service >= ask.expires && !self.may_probe(&ask, now) {
            let refusal = Refusal::retry(Reason::Deadline, LEAST_RETRY_AFTER);
            return (Verdict::Refused(refusal), Vec::new());
        }
        if self.waiting.is_empty() && self.may_run(&ask) {
            self.start(ask, now);
            return (Verdict::Run, Vec::new());
        }
        let wait = self.expected_wait(&ask);
        if now + wait + service >= ask.expires || self.holds_its_share(&ask) {
            let refusal = overload(wait);
            return (Verdict::Refused(refusal), Vec::new());
        }
        self.enqueue(ask, wait)
    }

    /// The attempt's run ended, or it has left before running.
    pub fn release(&mut self, attempt: AttemptId, now: Time) {
        if let Some(run) = self.running.remove(&attempt) {
            let took = now.saturating_sub(run.started);
            self.service.entry(run.class).or_default().record(took);
        }
        self.cancel(attempt);
    }

    /// The attempt's run ended without telling how long a run takes: the target
    /// refused it, or its caller cancelled it.
    pub fn release_unmeasured(&mut self, attempt: AttemptId) {
        self.running.remove(&attempt);
        self.cancel(attempt);
    }

    /// Takes a waiting attempt out of the queue.
    pub fn cancel(&mut self, attempt: AttemptId) {
        self.waiting.retain(|it| it.attempt != attempt);
    }

    /// Fills free slots and refuses what can no longer finish in time. To be
    /// called after each release and on each tick.
    pub fn next(&mut self, now: Time) -> Vec<Dispatch> {
        let mut out = self.refuse_late(now);
        while let Some(index) = self.choose() {
            let ask = self.waiting.swap_remove(index);
            out.push(Dispatch::Run(ask.attempt));
            self.start(ask, now);
        }
        out
    }

    /// Empties the queue after a freeze. Callers may have given up long ago, and
    /// deadlines passed on clocks that did not stop; starting the whole queue
    /// now would run work that its entries are about to revoke.
    pub fn flush(&mut self, reason: Reason) -> Vec<Dispatch> {
        let refusal = Refusal::retry(reason, LEAST_RETRY_AFTER);
        let refused = |ask: Ask| Dispatch::Refused(ask.attempt, refusal);
        self.waiting.drain(..).map(refused).collect()
    }

    fn service_time(&self, class: Class) -> Duration {
        self.service
            .get(&class)
            .map(Estimate::mean)
            .unwrap_or_default()
    }

    /// An idle executor takes a call whatever the estimate says. Refusing all of
    /// them would leave the estimate as it is for ever: one slow minute of the
    /// target, and its daemon never sends it a call again.
    fn may_probe(&self, ask: &Ask, now: Time) -> bool {
        self.running.is_empty() && self.waiting.is_empty() && now < ask.expires
    }

    fn may_run(&self, ask: &Ask) -> bool {
        let free = self.running.len() < self.cfg.slots as usize;
        free && self.below_concurrency(ask)
    }

    fn below_concurrency(&self, ask: &Ask) -> bool {
        let Some(limit) = ask.concurrency else {
            return true;
        };
        let same = |run: &&Running| run.tenant == ask.tenant;
        self.running.values().filter(same).count() < limit as usize
    }

    fn start(&mut self, ask: Ask, now: Time) {
        self.shares.charge(ask.class, &ask.tenant, ask.weight);
        let run = Running {
            tenant: ask.tenant,
            class: ask.class,
            started: now,
        };
        self.running.insert(ask.attempt, run);
    }

    /// The waiting attempt that is next: the class that is furthest behind its
    /// share, in it the tenant furthest behind its own, and of that tenant's
    /// calls the one with the earliest deadline.
    fn choose(&self) -> Option<usize> {
        if self.running.len() >= self.cfg.slots as usize {
            return None;
        }
        let indexed = self.waiting.iter().enumerate();
        let eligible = indexed.filter(|(_, ask)| self.below_concurrency(ask));
        let next = eligible.min_by_key(|(_, ask)| {
            let (class, tenant) = self.shares.position(ask.class, &ask.tenant);
            (class, ask.class, tenant, &ask.tenant, ask.expires)
        });
        next.map(|(index, _)| index)
    }

    fn refuse_late(&mut self, now: Time) -> Vec<Dispatch> {
        let service = &self.service;
        let late = |ask: &mut Ask| {
            let needed = service.get(&ask.class).map(Estimate::mean);
            now + needed.unwrap_or_default() >= ask.expires
        };
        let refusal = Refusal::permanent(Reason::Deadline);
        let refused = |ask: Ask| Dispatch::Refused(ask.attempt, refusal);
        self.waiting.extract_if(.., late).map(refused).collect()
    }

    /// Time until `ask` would start: either all that waits in its class and
    /// above goes first, or its own tenant's share brings it forward.
    fn expected_wait(&self, ask: &Ask) -> Duration {
        let ahead = self.waiting.iter().filter(|it| it.class <= ask.class);
        let all = ahead.count();
        let own = self.waiting.iter().filter(|it| it.tenant == ask.tenant);
        let own = own.count() + 1;
        let fair = own * self.active_weight(ask) / ask.weight.max(1) as usize;
        let turns = u32::try_from((all + 1).min(fair)).unwrap_or(u32::MAX);
        self.service_time(ask.class) * turns / self.cfg.slots.max(1)
    }

    /// Whether the tenant holds all of the queue that is its share among those
    /// that were here lately. Calls that it would only lose its places with, as
    /// soon as the others come back, are better refused at the door than after
    /// they waited.
    fn holds_its_share(&self, ask: &Ask) -> bool {
        let same = |it: &&Ask| it.tenant == ask.tenant;
        let held = self.waiting.iter().filter(same).count();
        held >= self.active.places(ask.weight, self.cfg.queue)
    }

    fn active_weight(&self, ask: &Ask) -> usize {
        let mut weights: BTreeMap<&CustomerName, u32> = BTreeMap::new();
        for it in &self.waiting {
            weights.insert(&it.tenant, it.weight);
        }
        weights.insert(&ask.tenant, ask.weight);
        weights.values().map(|&weight| weight.max(1) as usize).sum()
    }

    fn enqueue(&mut self, ask: Ask, wait: Duration) -> (Verdict, Vec<Dispatch>) {
        if self.waiting.len() < self.cfg.queue {
            self.waiting.push(ask);
            return (Verdict::Wait, Vec::new());
        }
        let refusal = overload(wait);
        // Without this, one tenant's flood fills the queue and every call of the
        // others is refused at the door, whatever their shares are.
        let Some(index) = self.worse_than(&ask) else {
            return (Verdict::Refused(refusal), Vec::new());
        };
        let pushed_out = std::mem::replace(&mut self.waiting[index], ask);
        let out = Dispatch::Refused(pushed_out.attempt, refusal);
        (Verdict::Wait, vec![out])
    }

    /// A waiting attempt that should make room: of the least urgent class, then
    /// of the tenant that holds the most of the queue for its weight, and of
    /// that tenant's the one with the latest deadline.
    fn worse_than(&self, ask: &Ask) -> Option<usize> {
        let indexed = self.waiting.iter().enumerate();
        let rank = |it: &Ask, extra: usize| (it.class, self.queue_share(it, extra));
        let worst = indexed.max_by_key(|(_, it)| (rank(it, 0), it.expires))?;
        let (index, victim) = worst;
        let same = victim.tenant == ask.tenant && victim.class == ask.class;
        (!same && rank(victim, 0) > rank(ask, 1)).then_some(index)
    }

    /// The tenant's part of the queue for its weight, in thousandths of a call.
    fn queue_share(&self, ask: &Ask, extra: usize) -> usize {
        let same = |it: &&Ask| it.tenant == ask.tenant;
        let held = self.waiting.iter().filter(same).count() + extra;
        held * 1000 / ask.weight.max(1) as usize
    }
}

fn overload(wait: Duration) -> Refusal {
    Refusal::retry(Reason::Overload, wait.max(LEAST_RETRY_AFTER))
}
