//! Graceful shutdown of an instance.

use std::time::Duration;

use crate::ids::Time;

/// Time between the announcement and the first check for completion. Entries that
/// do not know of the drain yet still send attempts during this time. They have to
/// be told "not run, draining" instead of finding a closed port.
const NOTICE_TIME: Duration = Duration::from_secs(2);

/// The next step of a drain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum DrainStep {
    /// Do nothing: no drain has begun, or it is waiting.
    Wait,
    /// Tell the peers and the platform that this instance is leaving.
    Announce,
    /// All calls are answered: close the ports and exit.
    Leave,
    /// The time limit has passed with this many calls in flight: report them and exit.
    LeaveUnfinished(u32),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Phase {
    Serving,
    Leaving { since: Time, announced: bool },
    Left,
}

/// The drain of an instance, begun by SIGTERM or by an operator's request. The daemon
/// announces it, refuses new attempts as not run, finishes and answers all running
/// calls, and exits.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Drain {
    phase: Phase,
    time_limit: Duration,
}

impl Drain {
    /// Creates the state of a serving instance whose drain takes at most `time_limit`.
    #[must_use]
    pub fn new(time_limit: Duration) -> Self {
        let phase = Phase::Serving;
        Self { phase, time_limit }
    }

    /// Begins the drain. Further calls change nothing.
    pub fn begin(&mut self, now: Time) {
        if self.phase == Phase::Serving {
            let announced = false;
            self.phase = Phase::Leaving {
                since: now,
                announced,
            };
        }
    }

    /// Returns whether new attempts are accepted.
    #[must_use]
    pub fn admits(&self) -> bool {
        self.phase == Phase::Serving
    }

    /// Returns the next step. `in_flight` is the number of accepted calls whose answers
    /// have not been sent completely.
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
        if elapsed < NOTICE_TIME {
            return DrainStep::Wait;
        }
        if in_flight == 0 {
            self.phase = Phase::Left;
            return DrainStep::Leave;
        }
        if elapsed < self.time_limit {
            return DrainStep::Wait;
        }
        self.phase = Phase::Left;
        DrainStep::LeaveUnfinished(in_flight)
    }
}
