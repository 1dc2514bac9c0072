//! Graceful shutdown of an instance.

use std::time::Duration;

use crate::ids::Time;

/// Time between the announcement and the first check for completion. Entries that
/// do not know of the drain yet still send attempts during this time. They have to
/// be told "not run, draining" instead of finding a closed port.
const NOTICE_TIME: Duration = Duration::from_secs(2);

/// Time before the time limit at which the calls in flight are ended, so that each of them gets its
/// outcome as far as it is known in place of a closed connection. Entries need it to query the
/// ledgers of executors, and callers to receive the answers.
const FINAL_ANSWERS_TIME: Duration = Duration::from_secs(3);

/// The next step of a drain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum DrainStep {
    /// Do nothing: no drain has begun, or it is waiting.
    Wait,
    /// Tell the peers and the platform that this instance is leaving.
    Announce,
    /// The time limit is near with this many calls in flight: answer them with what is known.
    EndCalls(u32),
    /// All calls are answered: close the ports and exit.
    Leave,
    /// The time limit has passed with this many calls in flight: report them and exit.
    LeaveUnfinished(u32),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Phase {
    Serving,
    Leaving {
        since: Time,
        announced: bool,
        ends_calls: bool,
    },
    Left,
}

/// The drain of an instance, begun by SIGTERM or by an operator's request. The daemon
/// announces it, refuses new attempts as not run, finishes and answers all running
/// calls, and exits. Calls that are still open near the time limit are answered with
/// what is known of their outcome.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Drain {
    phase: Phase,
    time_limit: Duration,
}

impl Drain {
    /// Creates the state of a serving instance whose drain takes at most `time_limit`, or 5 s if
    /// that is longer.
    #[must_use]
    pub fn new(time_limit: Duration) -> Self {
        let phase = Phase::Serving;
        let time_limit = time_limit.max(NOTICE_TIME + FINAL_ANSWERS_TIME);
        Self { phase, time_limit }
    }

    /// Begins the drain. Further calls change nothing.
    pub fn begin(&mut self, now: Time) {
        if self.phase == Phase::Serving {
            self.phase = Phase::Leaving {
                since: now,
                announced: false,
                ends_calls: false,
            };
        }
    }

    /// Returns whether new attempts are accepted.
    #[must_use]
    pub fn admits(&self) -> bool {
        self.phase == Phase::Serving
    }

    /// Returns whether calls in flight end with what is known of them.
    #[must_use]
    pub fn ends_calls(&self) -> bool {
        match self.phase {
            Phase::Serving => false,
            Phase::Leaving { ends_calls, .. } => ends_calls,
            Phase::Left => true,
        }
    }

    /// Returns the next step. `in_flight` is the number of accepted calls whose answers
    /// have not been sent completely.
    pub fn tick(&mut self, in_flight: u32, now: Time) -> DrainStep {
        let Phase::Leaving {
            since,
            announced,
            ends_calls,
        } = &mut self.phase
        else {
            return DrainStep::Wait;
        };
        if !std::mem::replace(announced, true) {
            return DrainStep::Announce;
        }
        let elapsed = now.saturating_sub(*since);
        if elapsed < NOTICE_TIME {
            return DrainStep::Wait;
        }
        if in_flight == 0 {
            self.phase = Phase::Left;
            return DrainStep::Leave;
        }
        if elapsed >= self.time_limit {
            self.phase = Phase::Left;
            return DrainStep::LeaveUnfinished(in_flight);
        }
        let is_ending = elapsed + FINAL_ANSWERS_TIME >= self.time_limit;
        if is_ending && !std::mem::replace(ends_calls, true) {
            return DrainStep::EndCalls(in_flight);
        }
        DrainStep::Wait
    }
}
