//! When a daemon reads the platform's roster again after its start.

use std::time::Duration;

use rand::RngExt;
use rand_xoshiro::Xoshiro256PlusPlus;
use stoatstep_membership::Time;

/// Earliest look after the own row is written, and how far such looks are spread.
/// The first read of a start comes before the row is written, so two daemons that
/// start together miss each other in it, and their fleet could go on in parts that
/// do not know of each other. A herd writes its rows within 1.7 s (the spread of
/// its first reads and one step of the daemon), so this look shows all of them.
const SECOND_LOOK: Duration = Duration::from_secs(2);
const SECOND_LOOK_SPREAD: Duration = Duration::from_secs(1);

/// The same for one more look, for herds whose processes take seconds to start.
const THIRD_LOOK: Duration = Duration::from_secs(6);
const THIRD_LOOK_SPREAD: Duration = Duration::from_secs(6);

/// Time between two looks of a daemon that has been up for longer.
const INTERVAL: Duration = Duration::from_mins(10);

/// First further look of a daemon that met nobody.
const FIRST_LOOK_ALONE: Duration = Duration::from_millis(750);

/// Says when the roster is to be read again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RosterLooks {
    rng: Xoshiro256PlusPlus,
    /// The next looks, the latest first.
    due: Vec<Time>,
    due_alone: Time,
    pause_alone: Duration,
}

impl RosterLooks {
    /// The looks of a daemon whose row is written at `now`.
    #[must_use]
    pub fn new(now: Time, mut rng: Xoshiro256PlusPlus) -> Self {
        let mut at = |earliest, spread: Duration| {
            now + earliest + spread.mul_f64(rng.random_range(0.0..1.0))
        };
        let due = vec![
            at(THIRD_LOOK, THIRD_LOOK_SPREAD),
            at(SECOND_LOOK, SECOND_LOOK_SPREAD),
        ];
        Self {
            rng,
            due,
            due_alone: now + FIRST_LOOK_ALONE,
            pause_alone: FIRST_LOOK_ALONE,
        }
    }

    /// Whether the roster is to be read now. A daemon that knows nobody looks
    /// sooner, and ever more seldom: it may be the only one that there is.
    pub fn is_due(&mut self, now: Time, is_alone: bool) -> bool {
        if is_alone && self.due_alone <= now {
            self.pause_alone = (self.pause_alone * 2).min(INTERVAL);
            let share = self.rng.random_range(0.5..1.5);
            self.due_alone = now + self.pause_alone.mul_f64(share);
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
