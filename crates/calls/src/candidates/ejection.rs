//! Ejection of upstreams after failures, and its duration.

use std::time::Duration;

use crate::ids::Time;

/// Successes in a row after which earlier ejections no longer count.
const RESET_AFTER: u32 = 20;

/// Upper bound on the doublings, which keeps the shift inside its type. Every longest
/// duration is reached with fewer.
const MAX_DOUBLINGS: u32 = 16;

/// Range of the durations of ejections.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EjectionDurations {
    /// Duration of the first ejection; each further one doubles it.
    pub(crate) first: Duration,
    /// Upper bound of the duration.
    pub(crate) longest: Duration,
}

/// Ejections of one upstream. The router or the placement decides when to eject it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Ejection {
    successes: u32,
    count: u32,
    until: Option<Time>,
}

impl Ejection {
    pub(crate) fn is_ejected(&self, now: Time) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// When the last ejection ends or ended, for the slow start after it.
    pub(crate) fn ended(&self) -> Option<Time> {
        self.until
    }

    pub(crate) fn succeeded(&mut self) {
        self.successes = self.successes.saturating_add(1);
        if self.successes >= RESET_AFTER {
            self.count = 0;
        }
    }

    pub(crate) fn failed(&mut self) {
        self.successes = 0;
    }

    /// Ejects the upstream from now on, and returns the duration.
    pub(crate) fn eject(&mut self, durations: EjectionDurations, now: Time) -> Duration {
        let doublings = self.count.min(MAX_DOUBLINGS);
        let duration = (durations.first * (1 << doublings)).min(durations.longest);
        self.until = Some(now + duration);
        self.count += 1;
        duration
    }
}

/// Whether one more of these upstreams may be ejected: at most half may be. If the failures
/// have a common cause, such as a faulty network card of the entry's own host or a request
/// that crashes targets, ejecting all upstreams would cause an outage.
pub(super) fn may_eject(are_ejected: impl Iterator<Item = bool>) -> bool {
    let (mut all, mut ejected) = (0_usize, 0_usize);
    for is_ejected in are_ejected {
        all += 1;
        ejected += usize::from(is_ejected);
    }
    (ejected + 1) * 2 <= all
}
