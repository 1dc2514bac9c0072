//! Random delays that spread the requests of many daemons over time.

use rand::RngExt;
use rand_xoshiro::Xoshiro256PlusPlus;
use stoatstep_membership::Time;

/// Returns a time chosen uniformly from zero to `longest`. There is no fixed part, since it would
/// keep daemons in step that were started by one event.
pub(crate) fn full_jitter(rng: &mut Xoshiro256PlusPlus, longest: Time) -> Time {
    longest.mul_f64(rng.random_range(0.0..1.0))
}

/// Returns the upper bound of the delay after `failures` failures in a row.
pub(crate) fn backoff(first: Time, failures: u32, longest: Time) -> Time {
    (first * (1 << failures.min(10))).min(longest)
}
