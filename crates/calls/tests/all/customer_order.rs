//! Load tests of the order among customers, in virtual time: one executor, and customers whose
//! served rates a home knows.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use stoatstep_calls::{
    AdmissionDecision, AttemptId, CustomerUsage, Dispatch, LateWait, Queue, QueueRequest,
    usage_level,
};

const SLOTS: u32 = 10;
const RUN: Duration = Duration::from_millis(100);
const OBJECTIVE: Duration = Duration::from_millis(500);
const LENGTH: Duration = Duration::from_secs(20);

/// Time after which an entry knows what its customer was served: an exchange with the home.
const EXCHANGE: Duration = Duration::from_millis(100);

struct Play {
    queue: Queue,
    rng: Xoshiro256PlusPlus,
    customers: HashMap<AttemptId, usize>,
    ends: BTreeSet<(Duration, AttemptId)>,
    usage: Vec<CustomerUsage<u32>>,
    /// What entries know, and since when.
    known: Vec<(u8, Duration)>,
    asked: Vec<f64>,
    served: Vec<f64>,
    is_ordered: bool,
}

impl Play {
    fn send(&mut self, attempt: AttemptId, customer: usize, now: Duration) {
        if now >= self.known[customer].1 + EXCHANGE {
            self.known[customer] = (self.usage[customer].level(now), now);
        }
        let request = QueueRequest {
            attempt,
            kind: "read".into(),
            rank: 0,
            objective: now + OBJECTIVE,
            expires: now + OBJECTIVE * 2,
            late_wait: LateWait::No,
            usage: if self.is_ordered {
                self.known[customer].0
            } else {
                0
            },
        };
        self.customers.insert(attempt, customer);
        self.asked[customer] += 1.0;
        let (decision, displaced) = self.queue.offer(request, now);
        if decision == AdmissionDecision::Run {
            self.start(attempt, now);
        }
        self.dispatch(displaced, now);
    }

    fn start(&mut self, attempt: AttemptId, now: Duration) {
        let customer = self.customers[&attempt];
        self.usage[customer].record(1, now);
        self.served[customer] += 1.0;
        let run = RUN.mul_f64(self.rng.random_range(0.5..1.5));
        self.ends.insert((now + run, attempt));
    }

    fn dispatch(&mut self, dispatches: Vec<Dispatch>, now: Duration) {
        for dispatch in dispatches {
            if let Dispatch::Run(attempt) = dispatch {
                self.start(attempt, now);
            }
        }
    }

    fn end_runs(&mut self, until: Duration) {
        while let Some((at, attempt)) = self.ends.first().copied()
            && at <= until
        {
            self.ends.remove(&(at, attempt));
            self.queue.release(attempt, at);
            let dispatches = self.queue.next(at);
            self.dispatch(dispatches, at);
        }
    }
}

/// Calls of each customer.
#[derive(Clone, Debug, PartialEq)]
struct Outcome {
    asked: Vec<f64>,
    served: Vec<f64>,
}

impl Outcome {
    fn share(&self, customer: usize) -> f64 {
        self.served[customer] / self.asked[customer]
    }

    fn all(&self) -> f64 {
        self.served.iter().sum()
    }
}

/// Plays customers with these calls per second. The executor can run 100.
fn play(rates: &[f64], is_ordered: bool) -> Outcome {
    let mut play = Play {
        queue: Queue::new(SLOTS),
        rng: Xoshiro256PlusPlus::seed_from_u64(5),
        customers: HashMap::new(),
        ends: BTreeSet::new(),
        usage: vec![CustomerUsage::default(); rates.len()],
        known: vec![(0, Duration::ZERO); rates.len()],
        asked: vec![0.0; rates.len()],
        served: vec![0.0; rates.len()],
        is_ordered,
    };
    let total: f64 = rates.iter().sum();
    let (mut now, mut attempt) = (Duration::ZERO, 0);
    while now < LENGTH {
        let gap = -(1.0 - play.rng.random::<f64>()).ln() / total;
        now += Duration::from_secs_f64(gap);
        play.end_runs(now);
        let mut draw = play.rng.random_range(0.0..total);
        let customer = rates.iter().position(|rate| {
            draw -= rate;
            draw < 0.0
        });
        attempt += 1;
        play.send(attempt, customer.unwrap_or_default(), now);
    }
    Outcome {
        asked: play.asked,
        served: play.served,
    }
}

/// Load: one customer at seven times its usual, beside twenty that together need half of the room.
/// It delays itself, and the others as good as not at all.
#[test]
fn a_hot_customer_delays_itself_first() {
    let mut rates = vec![2.5; 20];
    rates.push(140.0);
    let (before, after) = (play(&rates, false), play(&rates, true));
    let worst = |of: &Outcome| (0..20).map(|it| of.share(it)).fold(f64::MAX, f64::min);
    assert!(worst(&after) > 0.97, "{after:?}");
    assert!(worst(&after) > worst(&before), "{before:?} {after:?}");
    assert!(after.all() > 0.97 * before.all(), "{before:?} {after:?}");
}

/// Load: a customer with one call a second beside two large ones that each need the whole room.
#[test]
fn a_small_customer_is_not_behind_the_backlog_of_large_ones() {
    let after = play(&[1.0, 100.0, 100.0], true);
    assert!(after.share(0) > 0.97, "{after:?}");
    let ratio = after.served[1] / after.served[2];
    assert!((ratio - 1.0).abs() < 0.15, "{after:?}");
}

#[test]
fn a_customer_alone_gets_all_of_the_room() {
    assert_eq!(play(&[150.0], false), play(&[150.0], true));
}

#[test]
fn without_contention_the_order_changes_nothing() {
    let rates = [5.0, 10.0, 30.0];
    assert_eq!(play(&rates, false), play(&rates, true));
}

#[test]
fn rates_are_compared_in_powers_of_two() {
    let levels = [0.0, 0.9, 1.0, 1.9, 2.0, 70.0].map(usage_level);
    assert_eq!(levels, [0, 0, 1, 1, 2, 7]);
}

/// Guards against a customer that stays behind since a home told of its burst and was cut off.
#[test]
fn the_rate_of_a_zone_that_is_cut_off_expires() {
    let mut usage = CustomerUsage::default();
    usage.record_other("b", 100.0, Duration::from_secs(1));
    assert_eq!(usage.level(Duration::from_secs(2)), 7);
    assert_eq!(usage.level(Duration::from_secs(5)), 0);
}
