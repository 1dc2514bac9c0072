//! Which upstreams are left out after failures, and for how long.

use std::time::Duration;

use crate::ids::Time;

/// Failures in a row that eject.
const FAILURES: u32 = 3;

/// First ejection; each further one doubles it.
const FIRST: Duration = Duration::from_millis(500);

/// Longest ejection.
const LONGEST: Duration = Duration::from_secs(30);

/// Answers in a row after which earlier ejections are forgotten.
const FORGIVEN_AFTER: u32 = 20;

/// One upstream's record.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Ejection {
    failures: u32,
    successes: u32,
    times: u32,
    until: Option<Time>,
}

impl Ejection {
    pub(super) fn is_ejected(&self, now: Time) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// When the last ejection ended, for the slow start after it.
    pub(super) fn ended(&self) -> Option<Time> {
        self.until
    }

    pub(super) fn succeeded(&mut self) {
        self.failures = 0;
        self.successes = self.successes.saturating_add(1);
        if self.successes >= FORGIVEN_AFTER {
            self.times = 0;
        }
    }

    pub(super) fn failed(&mut self, may_eject: bool, now: Time) {
        self.successes = 0;
        self.failures = self.failures.saturating_add(1);
        if self.failures < FAILURES || !may_eject || self.is_ejected(now) {
            return;
        }
        let doublings = self.times.min(16);
        let length = (FIRST * (1 << doublings)).min(LONGEST);
        self.until = Some(now + length);
        self.times += 1;
        self.failures = 0;
    }
}

/// Whether one more of these may be ejected: at most half are. A signal that is
/// wrong for all of them (a bad network card of our own, a poisonous request)
/// would otherwise eject everyone and turn into an outage.
pub(crate) fn may_eject(are_ejected: impl Iterator<Item = bool>) -> bool {
    let (mut all, mut ejected) = (0_usize, 0_usize);
    for is_ejected in are_ejected {
        all += 1;
        ejected += usize::from(is_ejected);
    }
    (ejected + 1) * 2 <= all
}
