use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use stoatstep_calls::Throttle;

const GAP: Duration = Duration::from_millis(5);

struct Route {
    throttle: Throttle,
    rng: Xoshiro256PlusPlus,
    now: Duration,
}

impl Route {
    fn new() -> Self {
        Self {
            throttle: Throttle::default(),
            rng: Xoshiro256PlusPlus::seed_from_u64(3),
            now: Duration::ZERO,
        }
    }

    /// A thousand calls, of which `succeeds` says how they end; gives how many
    /// were let through and how many of those succeeded.
    fn play(&mut self, mut succeeds: impl FnMut(f64) -> bool) -> (u32, u32) {
        let (mut through, mut good) = (0, 0);
        for _ in 0..1_000 {
            self.now += GAP;
            if !self.throttle.admits(self.rng.random(), self.now) {
                continue;
            }
            through += 1;
            if succeeds(self.rng.random()) {
                good += 1;
                self.throttle.good(self.now);
            }
        }
        (through, good)
    }
}

#[test]
fn ordinary_failures_refuse_nothing() {
    let mut route = Route::new();
    let (through, _) = route.play(|draw| draw > 0.3);
    assert_eq!(through, 1_000);
}

/// The target needs another service, which carries 20 of 100 calls. Each call
/// beyond that fails after it has taken a slot and part of that service.
#[test]
fn what_mostly_fails_is_let_through_little_more_often_than_it_succeeds() {
    let mut route = Route::new();
    route.play(|draw| draw < 0.2);
    let (through, _) = route.play(|draw| draw < 0.2);
    assert!(through < 400, "{through}");
}

#[test]
fn a_route_that_fails_wholly_is_still_tried_and_recovers() {
    let mut route = Route::new();
    let (through, _) = route.play(|_| false);
    assert!((5..200).contains(&through), "{through}");
    route.play(|_| true);
    let (through, _) = route.play(|_| true);
    assert_eq!(through, 1_000);
}

#[test]
fn calls_that_tell_nothing_refuse_nothing() {
    let mut throttle = Throttle::default();
    for step in 0..1_000 {
        assert!(throttle.admits(0.0, GAP * step));
        throttle.unknown();
    }
}
