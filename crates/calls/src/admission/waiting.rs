//! How long attempts wait, and which of them the target's limit leaves no time for.

use std::time::Duration;

use super::{Admission, AdmissionRequest, Dispatch, MIN_RETRY_AFTER};
use crate::ids::Time;
use crate::refusal::{Reason, Refusal};

impl Admission {
    /// Refuses the waiting attempts that the target's limit leaves no time for. The limit may
    /// have fallen since they were queued.
    pub(super) fn refuse_limited(&mut self, now: Time) -> Vec<Dispatch> {
        if !self.limiter.is_active(now) {
            return Vec::new();
        }
        let is_late = |(index, request): &(usize, &AdmissionRequest)| {
            let earlier = self.waiting[..*index].iter();
            let more_urgent = self.waiting.iter().filter(|it| it.class < request.class);
            let ahead = earlier.filter(|it| it.class == request.class).count();
            let wait = self.limiter.wait(ahead + more_urgent.count(), now);
            now + wait + self.service_time(request.class) >= request.expires
        };
        let late: Vec<_> = self.waiting.iter().enumerate().filter(is_late).collect();
        let late: Vec<_> = late.into_iter().map(|(_, it)| it.attempt).collect();
        let refusal = limited(self.limiter.wait(self.waiting.len(), now));
        self.waiting.retain(|it| !late.contains(&it.attempt));
        let refused = |attempt| Dispatch::Refused(attempt, refusal);
        late.into_iter().map(refused).collect()
    }

    /// Calls after which `request` starts, itself included. It goes after all that waits in its
    /// class and in more urgent ones, unless its tenant's share lets it start earlier.
    pub(super) fn turns_until(&self, request: &AdmissionRequest) -> usize {
        let ahead = self.waiting.iter().filter(|it| it.class <= request.class);
        let all = ahead.count();
        let own = self.waiting.iter().filter(|it| it.tenant == request.tenant);
        let own = own.count() + 1;
        let fair = own * self.queued_weight(request) / request.weight.max(1) as usize;
        (all + 1).min(fair)
    }

    /// Estimated time until `request` starts after this number of turns.
    pub(super) fn expected_wait(
        &self,
        request: &AdmissionRequest,
        turns: usize,
        now: Time,
    ) -> Duration {
        let for_limit = self.limiter.wait(turns.saturating_sub(1), now);
        self.wait_for_slot(request, turns).max(for_limit)
    }

    fn wait_for_slot(&self, request: &AdmissionRequest, turns: usize) -> Duration {
        let turns = u32::try_from(turns).unwrap_or(u32::MAX);
        self.service_time(request.class) * turns / self.cfg.slots.max(1)
    }

    /// The refusal of `request` if it would wait for this number of turns.
    pub(super) fn refusal(&self, request: &AdmissionRequest, turns: usize, now: Time) -> Refusal {
        let for_slot = self.wait_for_slot(request, turns);
        let for_limit = self.limiter.wait(turns.saturating_sub(1), now);
        if for_limit > for_slot {
            limited(for_limit)
        } else {
            overload(for_slot)
        }
    }
}

fn limited(wait: Duration) -> Refusal {
    Refusal::retry(Reason::Limited, wait.max(MIN_RETRY_AFTER))
}

fn overload(wait: Duration) -> Refusal {
    Refusal::retry(Reason::Overload, wait.max(MIN_RETRY_AFTER))
}
