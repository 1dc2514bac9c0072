//! When a daemon reads the platform's roster again after its start.

use std::time::Duration;

use rand::RngExt;
use rand_xoshiro::Xoshiro256PlusPlus;
use stoatstep_membership::Time;

/// Minimum delay of the second read after the daemon's row is written, and the random spread of
/// such reads. The first read of a start comes before the row is written, so two daemons that start
/// together do not find each other by it, and their fleet could stay split into parts that do not
/// know of each other. Daemons that start at once write their rows within 1.7 s (the spread of
/// their first reads and one step of the daemon), so the second read shows all of them.
const SECOND_READ: Duration = Duration::from_secs(2);
const SECOND_READ_SPREAD: Duration = Duration::from_secs(1);

/// Minimum delay and random spread of a third read, for daemons that start at once but whose
/// processes take seconds to start.
const THIRD_READ: Duration = Duration::from_secs(6);
const THIRD_READ_SPREAD: Duration = Duration::from_secs(6);

/// Interval between the later reads.
const INTERVAL: Duration = Duration::from_mins(10);

/// Delay of the first further read of a daemon that knows no other.
const FIRST_READ_ALONE: Duration = Duration::from_millis(750);

/// Schedules the reads of the roster after the first one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RosterReadSchedule {
    rng: Xoshiro256PlusPlus,
    /// The times of the next reads, latest first.
    due: Vec<Time>,
    due_alone: Time,
    interval_alone: Duration,
}

impl RosterReadSchedule {
    /// Schedules the reads of a daemon whose row is written at `now`.
    #[must_use]
    pub fn new(now: Time, mut rng: Xoshiro256PlusPlus) -> Self {
        let mut at = |earliest, spread: Duration| {
            now + earliest + spread.mul_f64(rng.random_range(0.0..1.0))
        };
        let due = vec![
            at(THIRD_READ, THIRD_READ_SPREAD),
            at(SECOND_READ, SECOND_READ_SPREAD),
        ];
        Self {
            rng,
            due,
            due_alone: now + FIRST_READ_ALONE,
            interval_alone: FIRST_READ_ALONE,
        }
    }

    /// Returns whether the roster is to be read now. A daemon that knows no other reads sooner, and
    /// then at growing intervals, since it may be the only one there is.
    pub fn is_due(&mut self, now: Time, is_alone: bool) -> bool {
        if is_alone && self.due_alone <= now {
            self.interval_alone = (self.interval_alone * 2).min(INTERVAL);
            let share = self.rng.random_range(0.5..1.5);
            self.due_alone = now + self.interval_alone.mul_f64(share);
            return true;
        }
        let is_due = self.due.last().is_some_and(|due| *due <= now);
        if is_due {
            self.due.pop();
            if self.due.is_empty() {
                self.due.push(now + INTERVAL);
            }
        }
        is_due
    }
}
