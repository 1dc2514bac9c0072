//! Quotas in virtual time: what is granted at most, and what is refused below the quota.
//!
//! Entries of four zones ask for tokens of one customer, by each of three ways to hold its
//! quota. `--nocapture` prints the table that `docs/design/demands.md` shows.

use std::collections::HashMap;
use std::time::Duration;

use proptest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use stoatstep_calls::{Bucket, Purse, Share, Taken, Time};
use stoatstep_resource::Quota;

const ZONES: usize = 4;
const QUOTA: Quota = Quota {
    per_minute: 6000,
    burst: 100,
};
/// Time before calls come, in which buckets fill.
const WARM_UP: Duration = Duration::from_secs(3);
const LENGTH: Duration = Duration::from_secs(30);
/// Time between two tries of a home to borrow.
const BORROW_PAUSE: Duration = Duration::from_millis(250);
/// Span in which grants are counted.
const WINDOW: Duration = Duration::from_secs(5);

/// How a quota is held.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Way {
    /// Each entry has an equal share.
    EvenShares,
    /// One home for the fleet; a part that is cut off chooses one of its own.
    OneHome,
    /// A home in each zone with an equal share, and no borrowing.
    ZoneHomes,
    /// The same, and a home that is short borrows from the others.
    Borrowing,
}

/// Where the customer's calls enter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Skew {
    Even,
    /// Half of them in one zone.
    OneZone,
    /// A tenth of the entries has all of them.
    FewEntries,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Trouble {
    None,
    /// A zone is cut off from the others for the second third.
    Cut,
    /// The homes die in the middle, and others follow them.
    HomesDie,
}

/// One play.
#[derive(Clone, Copy, Debug)]
struct Play {
    way: Way,
    entries: usize,
    /// Calls, as a part of the quota's rate.
    load: f64,
    skew: Skew,
    trouble: Trouble,
}

/// What came of it.
#[derive(Debug, Default)]
struct Outcome {
    calls: f64,
    refused: f64,
    messages: f64,
    messages_between_zones: f64,
    /// Most grants in a window, as a part of what the quota allows in it.
    worst_window: f64,
}

struct World {
    play: Play,
    rng: Xoshiro256PlusPlus,
    purses: HashMap<usize, Purse>,
    buckets: HashMap<usize, Bucket>,
    next_borrow: HashMap<usize, Time>,
    grants: Vec<Time>,
    outcome: Outcome,
}

impl World {
    fn zone(entry: usize) -> usize {
        entry % ZONES
    }

    fn is_cut(&self, now: Time) -> bool {
        let third = LENGTH / 3;
        self.play.trouble == Trouble::Cut && (WARM_UP + third..WARM_UP + 2 * third).contains(&now)
    }

    /// The bucket that an entry's tokens come from, and its share.
    fn bucket_of(&self, entry: usize, now: Time) -> (usize, f64) {
        let zone = Self::zone(entry);
        match self.play.way {
            Way::EvenShares => (entry, 1.0 / count(self.play.entries)),
            Way::OneHome if self.is_cut(now) && zone == 0 => (1, 1.0),
            Way::OneHome => (0, 1.0),
            Way::ZoneHomes | Way::Borrowing => (zone, 1.0 / count(ZONES)),
        }
    }

    fn entry(&mut self) -> usize {
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
        let entry = self.entry();
        let mut purse = self.purses.remove(&entry).unwrap_or_default();
        let is_served = match purse.take(now) {
            Taken::Token => true,
            Taken::Refused(_) => false,
            Taken::Ask => self.ask(&mut purse, entry, now),
        };
        self.purses.insert(entry, purse);
        if is_served {
            self.grants.push(now);
        } else {
            self.outcome.refused += 1.0;
        }
    }

    fn ask(&mut self, purse: &mut Purse, entry: usize, now: Time) -> bool {
        let (bucket, of) = self.bucket_of(entry, now);
        if self.play.way != Way::EvenShares {
            self.outcome.messages += 2.0;
        }
        if self.play.way == Way::OneHome && Self::zone(entry) != bucket {
            self.outcome.messages_between_zones += 2.0;
        }
        let share = Share::new(QUOTA, of);
        // An entry that holds its own share has nobody to fetch tokens from ahead.
        let wanted = if self.play.way == Way::EvenShares {
            1
        } else {
            purse.wanted(1)
        };
        let granted = self.bucket(bucket).grant(wanted, share, now);
        if let Some(pause) = granted.retry_after {
            purse.refused(pause, now);
        }
        if self.play.way == Way::Borrowing && self.bucket(bucket).is_low(share) {
            self.borrow(bucket, share, now);
        }
        purse.keep(granted.tokens.saturating_sub(1), now);
        granted.tokens > 0
    }

    fn bucket(&mut self, bucket: usize) -> &mut Bucket {
        self.buckets
            .get_mut(&bucket)
            .expect("it was there from the start")
    }

    fn borrow(&mut self, borrower: usize, share: Share, now: Time) {
        let next = self.next_borrow.entry(borrower).or_default();
        if now < *next {
            return;
        }
        *next = now + BORROW_PAUSE;
        let wanted = Share::whole(share.per_second * 0.5).max(1);
        for lender in 0..ZONES {
            let is_reached = !self.is_cut(now) || lender != 0 && borrower != 0;
            if lender == borrower || !is_reached {
                continue;
            }
            self.outcome.messages_between_zones += 2.0;
            let lent = self.bucket(lender).lend(wanted, share, now);
            self.bucket(borrower).borrowed(lent, now);
        }
    }

    fn homes_die(&mut self, now: Time) {
        for bucket in self.buckets.values_mut() {
            *bucket = Bucket::empty(now);
        }
    }
}

fn count(of: usize) -> f64 {
    u32::try_from(of).map_or(f64::MAX, f64::from)
}

fn play(play: Play, seed: u64) -> Outcome {
    let mut world = World {
        play,
        rng: Xoshiro256PlusPlus::seed_from_u64(seed),
        purses: HashMap::new(),
        buckets: HashMap::new(),
        next_borrow: HashMap::new(),
        grants: Vec::new(),
        outcome: Outcome::default(),
    };
    for bucket in 0..play.entries.max(ZONES) {
        world.buckets.insert(bucket, Bucket::empty(Time::ZERO));
    }
    if play.way == Way::OneHome {
        // Chosen when the cut begins, by those that lost the other one.
        world.buckets.insert(1, Bucket::empty(WARM_UP + LENGTH / 3));
    }
    let mut now = WARM_UP;
    let mut have_died = false;
    while now < WARM_UP + LENGTH {
        let gap = -(1.0 - world.rng.random::<f64>()).ln() / (play.load * QUOTA.per_second());
        now += Duration::from_secs_f64(gap);
        if play.trouble == Trouble::HomesDie && !have_died && now > WARM_UP + LENGTH / 2 {
            have_died = true;
            world.homes_die(now);
        }
        world.call(now);
    }
    let allowed = QUOTA.per_second() * WINDOW.as_secs_f64() + f64::from(QUOTA.burst);
    let mut from = 0;
    for until in 0..world.grants.len() {
        while world.grants[until].saturating_sub(world.grants[from]) > WINDOW {
            from += 1;
        }
        let part = count(until - from + 1) / allowed;
        world.outcome.worst_window = world.outcome.worst_window.max(part);
    }
    world.outcome
}

const STANDING: Play = Play {
    way: Way::Borrowing,
    entries: 75,
    load: 0.6,
    skew: Skew::Even,
    trouble: Trouble::None,
};

/// The part beyond its quota that a customer may get: what is in force at the users'.
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
                let outcome = play(
                    Play {
                        way,
                        entries,
                        load,
                        skew,
                        trouble,
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

/// A customer with many times its usual gets more than its quota: because a cut leaves two
/// homes, or because homes that follow others grant what those granted before.
#[test]
fn no_trouble_grants_more_than_the_quota() {
    for entries in [76, 984] {
        for skew in [Skew::Even, Skew::OneZone, Skew::FewEntries] {
            for trouble in [Trouble::None, Trouble::Cut, Trouble::HomesDie] {
                for seed in 0..3 {
                    let hot = Play {
                        entries,
                        skew,
                        trouble,
                        load: 8.0,
                        ..STANDING
                    };
                    let outcome = play(hot, seed);
                    assert!(outcome.worst_window <= TOLERANCE, "{hot:?}: {outcome:?}");
                }
            }
        }
    }
}

/// A customer is refused below its quota since its calls come to one zone, or to a few
/// entries.
#[test]
fn hardly_anything_is_refused_below_the_quota() {
    const REFUSED: f64 = 0.01;
    for entries in [76, 984] {
        for skew in [Skew::Even, Skew::OneZone, Skew::FewEntries] {
            let calm = Play {
                entries,
                skew,
                ..STANDING
            };
            let outcome = play(calm, 1);
            let refused = outcome.refused / outcome.calls;
            assert!(refused <= REFUSED, "{calm:?}: {refused}");
        }
    }
}

/// Callers that were refused come back together and are refused together again.
#[test]
fn those_refused_are_told_different_times() {
    let share = Share::new(QUOTA, 1.0);
    let mut bucket = Bucket::empty(Time::ZERO);
    let mut last = Duration::ZERO;
    for _ in 0..20 {
        let granted = bucket.grant(1, share, Time::ZERO);
        let pause = granted.retry_after.expect("it is empty");
        assert!(granted.tokens == 0 && pause > last);
        last = pause;
    }
}

/// What nobody used in time is granted again, and then used as well.
#[test]
fn a_token_expires() {
    let mut purse = Purse::default();
    purse.keep(3, Time::ZERO);
    assert_eq!(purse.take(Duration::from_millis(100)), Taken::Token);
    assert_eq!(purse.take(Duration::from_secs(1)), Taken::Ask);
}

proptest! {
    /// Homes that follow each other at any moments grant what one may grant, and no more.
    #[test]
    fn homes_that_follow_each_other_grant_one_quota(
        gaps_ms in proptest::collection::vec((0_u64..400, 0_u32..40, any::<bool>()), 1..80),
    ) {
        let share = Share::new(QUOTA, 1.0);
        let mut bucket = Bucket::empty(Time::ZERO);
        let mut now = Time::ZERO;
        let mut granted = 0.0;
        for (gap, wanted, follows) in gaps_ms {
            now += Duration::from_millis(gap);
            if follows {
                bucket = Bucket::empty(now);
            }
            granted += f64::from(bucket.grant(wanted, share, now).tokens);
            let allowed = share.per_second * now.as_secs_f64() + share.burst;
            prop_assert!(granted <= allowed + 1e-6);
        }
    }
}
