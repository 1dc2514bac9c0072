//! Graceful stop of an instance.

use std::time::Duration;

use crate::ids::Time;

/// Time between the announcement and the first check that all is done. Entries
/// that have not heard yet still send attempts in this time and have to get a
/// true "not run, draining" instead of a closed port.
const LINGER: Duration = Duration::from_secs(2);

/// What the daemon does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum DrainStep {
    /// Nothing: it serves, or it still waits.
    Wait,
    /// Tell the peers and the platform that this instance is leaving.
    Announce,
    /// Every call was answered: close the ports and end.
    Leave,
    /// The bound passed with calls still in flight: end, and say how many.
    LeaveUnfinished(u32),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Phase {
    Serving,
    Leaving { since: Time, announced: bool },
    Left,
}

/// One path for SIGTERM and for an operator's word: announce, refuse new
/// attempts as not run, finish and answer all that runs, leave.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Drain {
    phase: Phase,
    bound: Duration,
}

impl Drain {
    /// A serving instance whose drain takes at most `bound`.
    #[must_use]
    pub fn new(bound: Duration) -> Self {
        let phase = Phase::Serving;
        Self { phase, bound }
    }

    /// Starts the drain; a second call changes nothing.
    pub fn begin(&mut self, now: Time) {
        if self.phase == Phase::Serving {
            let announced = false;
            self.phase = Phase::Leaving {
                since: now,
                announced,
            };
        }
    }

    /// Whether new attempts are taken.
    #[must_use]
    pub fn admits(&self) -> bool {
        self.phase == Phase::Serving
    }

    /// Next step, with `in_flight` calls that were taken and not yet answered
    /// to the last byte.
    pub fn tick(&mut self, in_flight: u32, now: Time) -> DrainStep {
        let Phase::Leaving { since, announced } = self.phase else {
            return DrainStep::Wait;
        };
        if !announced {
            self.phase = Phase::Leaving {
                since,
                announced: true,
            };
            return DrainStep::Announce;
        }
        let elapsed = now.saturating_sub(since);
        if elapsed < LINGER {
            return DrainStep::Wait;
        }
        if in_flight == 0 {
            self.phase = Phase::Left;
            return DrainStep::Leave;
        }
        if elapsed < self.bound {
            return DrainStep::Wait;
        }
        self.phase = Phase::Left;
        DrainStep::LeaveUnfinished(in_flight)
    }
}
