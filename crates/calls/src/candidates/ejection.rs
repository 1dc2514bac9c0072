//! For how long an upstream is left out after failures.

use std::time::Duration;

use crate::ids::Time;

/// Calls in a row without a failure after which earlier ejections are forgotten.
const FORGIVEN_AFTER: u32 = 20;

/// Doublings after which a length no longer grows; all longest ones are reached
/// sooner, and the shift stays inside its type.
const MAX_DOUBLINGS: u32 = 16;

/// How long ejections last.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Lengths {
    /// The first; each further one doubles it.
    pub(crate) first: Duration,
    /// The longest.
    pub(crate) longest: Duration,
}

/// One upstream's record. When to eject is up to whoever saw the failures.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Ejection {
    successes: u32,
    times: u32,
    until: Option<Time>,
}

impl Ejection {
    pub(crate) fn is_ejected(&self, now: Time) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// When the last ejection ended, for the slow start after it.
    pub(crate) fn ended(&self) -> Option<Time> {
        self.until
    }

    pub(crate) fn succeeded(&mut self) {
        self.successes = self.successes.saturating_add(1);
        if self.successes >= FORGIVEN_AFTER {
            self.times = 0;
        }
    }

    pub(crate) fn failed(&mut self) {
        self.successes = 0;
    }

    /// Leaves it out from now on, and gives the time for which.
    pub(crate) fn eject(&mut self, lengths: Lengths, now: Time) -> Duration {
        let doublings = self.times.min(MAX_DOUBLINGS);
        let length = (lengths.first * (1 << doublings)).min(lengths.longest);
        self.until = Some(now + length);
        self.times += 1;
        length
    }
}

/// Whether one more of these may be ejected: at most half are. A signal that is
/// wrong for all of them (a bad network card of our own, a poisonous request)
/// would otherwise eject everyone and turn into an outage.
pub(super) fn may_eject(are_ejected: impl Iterator<Item = bool>) -> bool {
    let (mut all, mut ejected) = (0_usize, 0_usize);
    for is_ejected in are_ejected {
        all += 1;
        ejected += usize::from(is_ejected);
    }
    (ejected + 1) * 2 <= all
}
