//! Random waits that keep many daemons apart.

use rand::RngExt;
use rand_xoshiro::Xoshiro256PlusPlus;
use stoatstep_membership::Time;

/// A time chosen evenly from zero to `longest`. Full jitter, since a fixed part
/// would keep those together whom one event started together.
pub(crate) fn full_jitter(rng: &mut Xoshiro256PlusPlus, longest: Time) -> Time {
    longest.mul_f64(rng.random_range(0.0..1.0))
}

/// Bound of the wait after `failures` failures in a row.
pub(crate) fn backoff(first: Time, failures: u32, longest: Time) -> Time {
    (first * (1 << failures.min(10))).min(longest)
}
