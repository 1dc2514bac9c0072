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

    /// Offers a thousand calls, of which those succeed for which `succeeds` returns true.
    /// Returns how many were admitted and how many of those succeeded.
    fn simulate(&mut self, mut succeeds: impl FnMut(f64) -> bool) -> (u32, u32) {
        let (mut admitted, mut succeeded) = (0, 0);
        for _ in 0..1_000 {
            self.now += GAP;
            if !self.throttle.admits(self.rng.random(), self.now) {
                continue;
            }
            admitted += 1;
            if succeeds(self.rng.random()) {
                succeeded += 1;
                self.throttle.record_success(self.now);
            }
        }
        (admitted, succeeded)
    }
}

#[test]
fn ordinary_failures_refuse_nothing() {
    let mut route = Route::new();
    let (admitted, _) = route.simulate(|draw| draw > 0.3);
    assert_eq!(admitted, 1_000);
}

/// The target calls another service, which has capacity for 20 of 100 calls. Each call
/// above that fails after it has used a slot and part of that capacity.
#[test]
fn admitted_calls_are_bounded_by_a_multiple_of_the_successes() {
    let mut route = Route::new();
    route.simulate(|draw| draw < 0.2);
    let (admitted, _) = route.simulate(|draw| draw < 0.2);
    assert!(admitted < 400, "{admitted}");
}

#[test]
fn a_route_that_fails_wholly_is_still_tried_and_recovers() {
    let mut route = Route::new();
    let (admitted, _) = route.simulate(|_| false);
    assert!((5..200).contains(&admitted), "{admitted}");
    route.simulate(|_| true);
    let (admitted, _) = route.simulate(|_| true);
    assert_eq!(admitted, 1_000);
}

#[test]
fn calls_without_information_refuse_nothing() {
    let mut throttle = Throttle::default();
    for step in 0..1_000 {
        assert!(throttle.admits(0.0, GAP * step));
        throttle.discard_request();
    }
}

/// Load: a burst of calls that wait for a second and then succeed. None of them has failed, so
/// none may be refused because they have not ended yet.
#[test]
fn a_burst_of_calls_under_way_does_not_look_like_failures() {
    let mut throttle = Throttle::default();
    let now = Duration::from_secs(1);
    let admitted = (0..200)
        .filter(|_| throttle.admits_waiting(0.0, now))
        .count();
    assert_eq!(admitted, 200);
    let later = now + Duration::from_secs(1);
    for _ in 0..200 {
        throttle.record_end(true, later);
    }
    assert!(throttle.admits_waiting(0.0, later));
}

/// Load: a service that the target calls is short, so that one call in five succeeds.
#[test]
fn calls_that_wait_are_refused_once_most_of_them_have_failed() {
    let mut throttle = Throttle::default();
    let mut now = Duration::from_secs(1);
    let (mut admitted, mut asked) = (0, 0);
    for call in 0..2_000_u32 {
        now += Duration::from_millis(10);
        asked += 1;
        if throttle.admits_waiting(f64::from(call % 100) / 100.0, now) {
            admitted += 1;
            throttle.record_end(call % 5 == 0, now);
        }
    }
    assert!(admitted * 2 < asked, "{admitted} of {asked}");
}
