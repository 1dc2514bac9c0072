//! Simulation of quotas in virtual time: how much is granted beyond a quota, and how much is
//! refused below it.
//!
//! Entries of four zones request tokens of one customer under each of four ways to divide
//! its quota. `--nocapture` prints the table in `docs/design/demands.md`.

use std::collections::HashMap;
use std::time::Duration;

use proptest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use stoatstep_calls::{
    QuotaShare, Time, TokenBucket, TokenCache, TokenDecision, TokenGrant, shortage_time,
};
use stoatstep_resource::Quota;

const ZONES: usize = 4;
const QUOTA: Quota = Quota {
    per_minute: 6000,
    burst: 100,
};
/// Time before the first call, in which buckets fill.
const WARM_UP: Duration = Duration::from_secs(3);
const LENGTH: Duration = Duration::from_secs(30);
/// Time between two attempts of a home to borrow.
const BORROW_INTERVAL: Duration = Duration::from_millis(250);
/// Sliding window in which grants are counted.
const WINDOW: Duration = Duration::from_secs(5);

/// How a quota is divided.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Way {
    /// Each entry has an equal share.
    EvenShares,
    /// The fleet has one home. A part of the fleet that is partitioned chooses another.
    OneHome,
    /// Each zone has a home with an equal share, and homes do not borrow.
    ZoneHomes,
    /// Each zone has a home with an equal share, and a home that runs short borrows from the
    /// others: before it refuses a call, and in advance.
    Borrowing,
}

/// At which entries the customer's calls arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Skew {
    /// All entries receive equally many calls.
    Even,
    /// Half of the calls arrive in one zone.
    OneZone,
    /// A tenth of the entries receives all calls.
    FewEntries,
}

/// What fails during a simulation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Trouble {
    /// Nothing fails.
    None,
    /// One zone is partitioned from the others during the second third of the time.
    Cut,
    /// All homes fail in the middle and are replaced.
    HomesDie,
}

/// Parameters of one simulation.
#[derive(Clone, Copy, Debug)]
struct Play {
    way: Way,
    entries: usize,
    /// Rate of calls, as a fraction of the quota's rate.
    load: f64,
    skew: Skew,
    trouble: Trouble,
    quota: Quota,
}

/// Result of one simulation.
#[derive(Debug, Default)]
struct Outcome {
    calls: f64,
    refused: f64,
    /// Calls refused while one bucket of the whole quota would have had a token.
    refused_below: f64,
    messages: f64,
    messages_between_zones: f64,
    /// Largest number of grants in a window, as a fraction of what the quota allows.
    worst_window: f64,
}

struct Simulation {
    play: Play,
    rng: Xoshiro256PlusPlus,
    caches: HashMap<usize, TokenCache>,
    buckets: HashMap<usize, TokenBucket>,
    next_borrow: HashMap<usize, Time>,
    /// Until when each home need not ask the others, which had no tokens either.
    shortage: HashMap<usize, Time>,
    grants: Vec<Time>,
    /// Tokens of one bucket for the whole fleet, which are taken by the calls that are served.
    fleet_tokens: f64,
    outcome: Outcome,
}

impl Simulation {
    fn zone(entry: usize) -> usize {
        entry % ZONES
    }

    fn is_cut(&self, now: Time) -> bool {
        let third = LENGTH / 3;
        self.play.trouble == Trouble::Cut && (WARM_UP + third..WARM_UP + 2 * third).contains(&now)
    }

    /// Returns the bucket that an entry's tokens come from, and its fraction of the quota.
    fn bucket_of(&self, entry: usize, now: Time) -> (usize, f64) {
        let zone = Self::zone(entry);
        match self.play.way {
            Way::EvenShares => (entry, 1.0 / to_f64(self.play.entries)),
            Way::OneHome if self.is_cut(now) && zone == 0 => (1, 1.0),
            Way::OneHome => (0, 1.0),
            Way::ZoneHomes | Way::Borrowing => (zone, 1.0 / to_f64(ZONES)),
        }
    }

    fn draw_entry(&mut self) -> usize {
        let entries = self.play.entries;
        match self.play.skew {
            Skew::OneZone if self.rng.random_bool(0.5) => {
                self.rng.random_range(0..entries / ZONES) * ZONES
            }
            Skew::Even | Skew::OneZone => self.rng.random_range(0..entries),
            Skew::FewEntries => self.rng.random_range(0..entries.div_ceil(10)),
        }
    }

    fn call(&mut self, now: Time) {
        self.outcome.calls += 1.0;
        let entry = self.draw_entry();
        let mut cache = self.caches.remove(&entry).unwrap_or_default();
        let is_served = match cache.take(now) {
            TokenDecision::Token => true,
            TokenDecision::Refused(_) => false,
            TokenDecision::Ask => self.ask(&mut cache, entry, now),
        };
        self.caches.insert(entry, cache);
        if is_served {
            self.fleet_tokens -= 1.0;
            self.grants.push(now);
        } else {
            self.outcome.refused += 1.0;
            self.outcome.refused_below += f64::from(u8::from(self.fleet_tokens >= 1.0));
        }
    }

    fn refill_fleet(&mut self, gap: Duration) {
        let quota = self.play.quota;
        let refilled = self.fleet_tokens + quota.per_second() * gap.as_secs_f64();
        self.fleet_tokens = refilled.min(f64::from(quota.burst));
    }

    fn ask(&mut self, cache: &mut TokenCache, entry: usize, now: Time) -> bool {
        let (bucket, fraction) = self.bucket_of(entry, now);
        if self.play.way != Way::EvenShares {
            self.outcome.messages += 2.0;
        }
        if self.play.way == Way::OneHome && Self::zone(entry) != bucket {
            self.outcome.messages_between_zones += 2.0;
        }
        let share = QuotaShare::new(self.play.quota, fraction);
        // An entry that has a share of its own does not request tokens in advance.
        let wanted = if self.play.way == Way::EvenShares {
            1
        } else {
            cache.tokens_to_request(1)
        };
        let granted = if self.play.way == Way::Borrowing {
            self.grant_borrowing(bucket, wanted, share, now)
        } else {
            self.bucket(bucket).grant(wanted, share, now)
        };
        if let Some(retry_after) = granted.retry_after {
            cache.refused(retry_after, now);
        }
        if self.play.way == Way::Borrowing && self.bucket(bucket).is_low(share) {
            self.borrow_ahead(bucket, share, now);
        }
        cache.add(granted.tokens.saturating_sub(1), now);
        granted.tokens > 0
    }

    fn grant_borrowing(
        &mut self,
        home: usize,
        wanted: u32,
        share: QuotaShare,
        now: Time,
    ) -> TokenGrant {
        let mut tokens = self.bucket(home).take_available(wanted, share, now);
        let mut rate = share.per_second;
        if tokens < wanted && now >= self.shortage[&home] {
            rate = self.borrow_missing(home, wanted - tokens, now);
            tokens += self
                .bucket(home)
                .take_available(wanted - tokens, share, now);
        }
        let refused = wanted - tokens;
        let mut retry_after = None;
        if refused > 0 {
            let rest = shortage_time(self.bucket(home).missing(1), rate);
            self.shortage.insert(home, now + rest);
            retry_after = Some(self.bucket(home).reserve_retry(refused, rate, now));
        }
        TokenGrant {
            tokens,
            retry_after,
            usage: 0,
        }
    }

    /// Borrows what `home` lacks: an equal part from each zone, then the rest from one after the
    /// other. Returns the rate at which the zones that it reaches get tokens.
    fn borrow_missing(&mut self, home: usize, wanted: u32, now: Time) -> f64 {
        let share = QuotaShare::new(self.play.quota, 1.0 / to_f64(ZONES));
        let lenders: Vec<usize> = (0..ZONES)
            .filter(|it| self.may_lend(*it, home, now))
            .collect();
        let part = self.bucket(home).missing(wanted) / to_f64(lenders.len().max(1));
        for lender in &lenders {
            self.borrow_from(*lender, home, part, now);
        }
        for lender in &lenders {
            let rest = self.bucket(home).missing(wanted);
            if rest > 0.0 {
                self.borrow_from(*lender, home, rest, now);
            }
        }
        share.per_second * to_f64(lenders.len() + 1)
    }

    fn borrow_from(&mut self, lender: usize, home: usize, wanted: f64, now: Time) {
        let share = QuotaShare::new(self.play.quota, 1.0 / to_f64(ZONES));
        self.outcome.messages_between_zones += 2.0;
        let lent = self.bucket(lender).lend(wanted, share, now);
        self.bucket(home).add_borrowed(lent, now);
    }

    fn may_lend(&self, lender: usize, home: usize, now: Time) -> bool {
        lender != home && (!self.is_cut(now) || lender != 0 && home != 0)
    }

    fn bucket(&mut self, bucket: usize) -> &mut TokenBucket {
        self.buckets
            .get_mut(&bucket)
            .expect("all buckets exist from the start")
    }

    fn borrow_ahead(&mut self, borrower: usize, share: QuotaShare, now: Time) {
        let next = self.next_borrow.entry(borrower).or_default();
        let wanted = share.per_second * 0.5;
        if now < *next || wanted < 1.0 {
            return;
        }
        *next = now + BORROW_INTERVAL;
        for lender in 0..ZONES {
            if !self.may_lend(lender, borrower, now) {
                continue;
            }
            self.outcome.messages_between_zones += 2.0;
            let lent = self.bucket(lender).lend(wanted, share, now);
            self.bucket(borrower).add_borrowed(lent, now);
        }
    }

    fn replace_homes(&mut self, now: Time) {
        for bucket in self.buckets.values_mut() {
            *bucket = TokenBucket::empty(now);
        }
    }
}

fn to_f64(count: usize) -> f64 {
    u32::try_from(count).map_or(f64::MAX, f64::from)
}

fn simulate(play: Play, seed: u64) -> Outcome {
    let mut simulation = Simulation {
        play,
        rng: Xoshiro256PlusPlus::seed_from_u64(seed),
        caches: HashMap::new(),
        buckets: HashMap::new(),
        next_borrow: HashMap::new(),
        shortage: (0..ZONES).map(|zone| (zone, Time::ZERO)).collect(),
        fleet_tokens: f64::from(play.quota.burst),
        grants: Vec::new(),
        outcome: Outcome::default(),
    };
    for bucket in 0..play.entries.max(ZONES) {
        simulation
            .buckets
            .insert(bucket, TokenBucket::empty(Time::ZERO));
    }
    if play.way == Way::OneHome {
        // The second home, which the partitioned zone chooses when the partition begins.
        simulation
            .buckets
            .insert(1, TokenBucket::empty(WARM_UP + LENGTH / 3));
    }
    let mut now = WARM_UP;
    let mut are_replaced = false;
    while now < WARM_UP + LENGTH {
        let gap =
            -(1.0 - simulation.rng.random::<f64>()).ln() / (play.load * play.quota.per_second());
        let gap = Duration::from_secs_f64(gap);
        now += gap;
        simulation.refill_fleet(gap);
        if play.trouble == Trouble::HomesDie && !are_replaced && now > WARM_UP + LENGTH / 2 {
            are_replaced = true;
            simulation.replace_homes(now);
        }
        simulation.call(now);
    }
    let quota = play.quota;
    let allowed = quota.per_second() * WINDOW.as_secs_f64() + f64::from(quota.burst);
    let mut from = 0;
    for until in 0..simulation.grants.len() {
        while simulation.grants[until].saturating_sub(simulation.grants[from]) > WINDOW {
            from += 1;
        }
        let fraction = to_f64(until - from + 1) / allowed;
        simulation.outcome.worst_window = simulation.outcome.worst_window.max(fraction);
    }
    simulation.outcome
}

const DEFAULT: Play = Play {
    way: Way::Borrowing,
    entries: 75,
    load: 0.6,
    skew: Skew::Even,
    trouble: Trouble::None,
    quota: QUOTA,
};

/// Factor of its quota up to which a customer may get tokens: the tolerance that is in force
/// at the users of the fleet.
const TOLERANCE: f64 = 1.1;

#[test]
fn each_way_to_hold_a_quota_in_numbers() {
    println!(
        "way, entries, load, skew, trouble: refused, worst window, messages and those between zones a call"
    );
    for way in [
        Way::EvenShares,
        Way::OneHome,
        Way::ZoneHomes,
        Way::Borrowing,
    ] {
        for entries in [76, 300, 984] {
            for (load, skew, trouble) in [
                (0.6, Skew::Even, Trouble::None),
                (0.6, Skew::OneZone, Trouble::None),
                (0.6, Skew::FewEntries, Trouble::None),
                (5.0, Skew::Even, Trouble::None),
                (5.0, Skew::Even, Trouble::Cut),
                (5.0, Skew::Even, Trouble::HomesDie),
            ] {
                let outcome = simulate(
                    Play {
                        way,
                        entries,
                        load,
                        skew,
                        trouble,
                        quota: QUOTA,
                    },
                    1,
                );
                println!(
                    "{way:?} {entries} {load} {skew:?} {trouble:?}: {:.3} {:.2} {:.2} {:.2}",
                    outcome.refused / outcome.calls,
                    outcome.worst_window,
                    outcome.messages / outcome.calls,
                    outcome.messages_between_zones / outcome.calls
                );
            }
        }
    }
}

/// Guards against granting a customer with a high load more than its quota, because a
/// partition leaves two homes, or because new homes grant tokens that their predecessors
/// granted before.
#[test]
fn no_trouble_grants_more_than_the_quota() {
    for entries in [76, 984] {
        for skew in [Skew::Even, Skew::OneZone, Skew::FewEntries] {
            for trouble in [Trouble::None, Trouble::Cut, Trouble::HomesDie] {
                for seed in 0..3 {
                    let overloaded = Play {
                        entries,
                        skew,
                        trouble,
                        load: 8.0,
                        ..DEFAULT
                    };
                    let outcome = simulate(overloaded, seed);
                    assert!(
                        outcome.worst_window <= TOLERANCE,
                        "{overloaded:?}: {outcome:?}"
                    );
                }
            }
        }
    }
}

/// Guards against refusing calls of a customer that stays below its quota, because they
/// arrive in one zone or at a few entries.
#[test]
fn hardly_anything_is_refused_below_the_quota() {
    const MAX_REFUSED: f64 = 0.01;
    for entries in [76, 984] {
        for skew in [Skew::Even, Skew::OneZone, Skew::FewEntries] {
            let below_quota = Play {
                entries,
                skew,
                ..DEFAULT
            };
            let outcome = simulate(below_quota, 1);
            let refused = outcome.refused / outcome.calls;
            assert!(refused <= MAX_REFUSED, "{below_quota:?}: {refused}");
        }
    }
}

/// Guards against refusing calls of a customer below its quota: one with a quota of a few
/// calls a second, whose zones hold parts of a token, and calls that come unevenly by zone.
#[test]
fn nothing_is_refused_while_the_fleet_has_a_token() {
    let small = Quota {
        per_minute: 300,
        burst: 5,
    };
    let large = Quota {
        per_minute: 13_860,
        burst: 231,
    };
    for quota in [small, large] {
        for skew in [Skew::Even, Skew::OneZone] {
            for seed in 0..5 {
                let below_quota = Play {
                    skew,
                    quota,
                    ..DEFAULT
                };
                let outcome = simulate(below_quota, seed);
                assert!(outcome.refused_below < 1.0, "{below_quota:?}: {outcome:?}");
            }
        }
    }
}

/// Guards against refused callers that all retry at the same time and are refused again.
#[test]
fn refused_callers_get_different_retry_times() {
    let share = QuotaShare::new(QUOTA, 1.0);
    let mut bucket = TokenBucket::empty(Time::ZERO);
    let mut last = Duration::ZERO;
    for _ in 0..20 {
        let granted = bucket.grant(1, share, Time::ZERO);
        let retry_after = granted.retry_after.expect("the bucket is empty");
        assert!(granted.tokens == 0 && retry_after > last);
        last = retry_after;
    }
}

/// A token that was not used in time must not be used late, because the home grants its
/// tokens again.
#[test]
fn a_token_expires() {
    let mut cache = TokenCache::default();
    cache.add(3, Time::ZERO);
    assert_eq!(cache.take(Duration::from_millis(100)), TokenDecision::Token);
    assert_eq!(cache.take(Duration::from_secs(1)), TokenDecision::Ask);
}

proptest! {
    /// Successive homes, replaced at any time, together grant no more than a single one may.
    #[test]
    fn homes_that_follow_each_other_grant_one_quota(
        gaps_ms in proptest::collection::vec((0_u64..400, 0_u32..40, any::<bool>()), 1..80),
    ) {
        let share = QuotaShare::new(QUOTA, 1.0);
        let mut bucket = TokenBucket::empty(Time::ZERO);
        let mut now = Time::ZERO;
        let mut granted = 0.0;
        for (gap, wanted, is_replaced) in gaps_ms {
            now += Duration::from_millis(gap);
            if is_replaced {
                bucket = TokenBucket::empty(now);
            }
            granted += f64::from(bucket.grant(wanted, share, now).tokens);
            let allowed = share.per_second * now.as_secs_f64() + share.burst;
            prop_assert!(granted <= allowed + 1e-6);
        }
    }
}
