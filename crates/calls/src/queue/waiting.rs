//! Calls in the queue: how long they wait, and which of them are refused.

use std::time::Duration;

use super::{MIN_RETRY_AFTER, Queue, QueueRequest};
use crate::admission::Dispatch;
use crate::ids::Time;
use crate::late_band::{Band, forecast_wait};
use crate::refusal::{Reason, Refusal};

/// A call in the queue.
#[derive(Clone, Debug)]
pub(super) struct Waiting {
    pub(super) request: QueueRequest,
    /// Time by which it is to be answered if it waits for the target's limit: its objective, or
    /// its deadline if its objective had passed when it came.
    pub(super) answer_by: Time,
    /// The band in which it was admitted.
    pub(super) band: Band,
}

/// Estimated time until a call starts, and what it waits for.
#[derive(Clone, Copy, Debug)]
pub(super) struct Wait {
    pub(super) time: Duration,
    reason: Reason,
}

impl Wait {
    pub(super) fn refusal(self) -> Refusal {
        Refusal::retry(self.reason, self.time.max(MIN_RETRY_AFTER))
    }
}

impl Queue {
    pub(super) fn count_waiting(&self, band: Band) -> usize {
        self.waiting.iter().filter(|it| it.band == band).count()
    }

    /// Estimated time until a call starts that is queued in this band.
    pub(super) fn wait_of(&self, request: &QueueRequest, band: Band, now: Time) -> Wait {
        let position = self.position(request, band, now);
        let goes_first = |it: &&Waiting| self.position(&it.request, it.band, now) <= position;
        let ahead = self.waiting.iter().filter(goes_first);
        self.queue_wait(ahead.map(|it| &it.request), now)
    }

    /// Checks whether the calls in time leave a late call a slot before its deadline.
    ///
    /// # Errors
    ///
    /// Returns the refusal of a call for which they don't.
    pub(super) fn check_late(&self, request: &QueueRequest, now: Time) -> Result<(), Refusal> {
        let wait = self.wait_of(request, Band::Late, now);
        let left = request.expires.saturating_sub(now);
        let service = self.service(&request.kind);
        match forecast_wait(wait.time, self.in_time_share(request.rank, now)) {
            Some(time) if time + service < request.late_wait.longest(left) => Ok(()),
            Some(time) => Err(Wait { time, ..wait }.refusal()),
            None => Err(wait.refusal()),
        }
    }

    /// Share of the slots that calls of this rank or a more urgent one take in time.
    fn in_time_share(&self, rank: u8, now: Time) -> f64 {
        let loads = self.in_time.range(..=rank);
        let slots: f64 = loads.map(|(_, it)| it.expected_per_second(now)).sum();
        slots / f64::from(self.slots.max(1))
    }

    /// Estimated time until a call starts that goes after `ahead`.
    pub(super) fn queue_wait<'a>(
        &self,
        ahead: impl Iterator<Item = &'a QueueRequest>,
        now: Time,
    ) -> Wait {
        let (mut count, mut service) = (0, Duration::ZERO);
        for request in ahead {
            count += 1;
            service += self.service(&request.kind);
        }
        self.wait_after(count, service, now)
    }

    /// Estimated time until a call starts that goes after `count` calls with a total run time
    /// of `service`: until a slot is free and the target's limit allows it.
    fn wait_after(&self, count: usize, service: Duration, now: Time) -> Wait {
        let for_slot = if self.running.len() + count < self.slots as usize {
            Duration::ZERO
        } else {
            (service + self.kinds.mean()) / self.slots.max(1)
        };
        let for_limit = self.limiter.wait(count, now);
        if for_limit > for_slot {
            Wait {
                time: for_limit,
                reason: Reason::Limited,
            }
        } else {
            Wait {
                time: for_slot,
                reason: Reason::Overload,
            }
        }
    }

    /// Refuses the calls that can no longer meet their deadline after a more urgent call
    /// was queued. They are refused now rather than when their deadline has passed, so
    /// that their callers can still retry elsewhere. Calls that wait for the target's limit are
    /// refused if they can no longer meet their objective: the limit allows a number of calls
    /// and not of runs, so a late answer would take the place of one in time.
    pub(super) fn refuse_displaced(&mut self, now: Time) -> Vec<Dispatch> {
        let mut order: Vec<usize> = (0..self.waiting.len()).collect();
        order.sort_by_key(|index| {
            let waiting = &self.waiting[*index];
            self.position(&waiting.request, waiting.band, now)
        });
        let (mut count, mut ahead) = (0, Duration::ZERO);
        let mut out = Vec::new();
        for index in order {
            let Waiting {
                request, answer_by, ..
            } = &self.waiting[index];
            let service = self.service(&request.kind);
            let wait = self.wait_after(count, ahead, now);
            let bound = match wait.reason {
                Reason::Limited => *answer_by,
                _ => request.expires,
            };
            if now + wait.time + service < bound {
                count += 1;
                ahead += service;
            } else {
                out.push((request.attempt, wait));
            }
        }
        let displaced = |it: &Waiting| out.iter().any(|(id, _)| *id == it.request.attempt);
        self.waiting.retain(|it| !displaced(it));
        let refused = |(attempt, wait): (_, Wait)| Dispatch::Refused(attempt, wait.refusal());
        out.into_iter().map(refused).collect()
    }

    pub(super) fn refuse_expired(&mut self, now: Time) -> Vec<Dispatch> {
        let late: Vec<_> = self
            .waiting
            .iter()
            .map(|it| &it.request)
            .filter(|request| now + self.service(&request.kind) >= request.expires)
            .map(|request| request.attempt)
            .collect();
        self.waiting
            .retain(|it| !late.contains(&it.request.attempt));
        let refusal = Refusal::retry(Reason::Deadline, MIN_RETRY_AFTER);
        let refused = |attempt| Dispatch::Refused(attempt, refusal);
        late.into_iter().map(refused).collect()
    }
}
