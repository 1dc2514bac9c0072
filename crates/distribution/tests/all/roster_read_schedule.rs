use std::collections::BTreeSet;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use stoatstep_distribution::RosterReadSchedule;
use stoatstep_membership::Time;

/// Time within which daemons that start at once write their rows.
const WRITTEN_WITHIN: Duration = Duration::from_millis(1700);
const ZONES: usize = 2;
const STEP: Time = Time::from_millis(100);

struct Daemon {
    zone: usize,
    written: Time,
    reads: RosterReadSchedule,
}

/// The rows that one read returns: the next one of the own zone, the first one after the zone, and
/// the first one before it.
fn rows_read(rows: &[&Daemon], all: &[Daemon], me: usize) -> Vec<usize> {
    let place = |it: &Daemon| all.iter().position(|other| std::ptr::eq(it, other));
    let rows = rows.iter().filter_map(|it| place(it));
    let rows: BTreeSet<_> = rows.map(|it| (all[it].zone, it)).collect();
    let own = (all[me].zone, me);
    let next = rows.iter().find(|it| **it > own && it.0 == own.0);
    let after = rows.iter().find(|it| it.0 > own.0);
    let before = rows.iter().find(|it| it.0 < own.0);
    let found = [next, after, before].into_iter().flatten();
    found.map(|it| it.1).collect()
}

/// Starts `size` daemons whose rows are written at random times, and returns after `bound` how many
/// are in the same part of the fleet as the first one.
fn connected_by(bound: Time, seed: u64, size: usize) -> usize {
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
    let mut all: Vec<_> = (0..size)
        .map(|number| {
            let written = WRITTEN_WITHIN.mul_f64(rng.random_range(0.0..1.0));
            Daemon {
                zone: number % ZONES,
                written,
                reads: RosterReadSchedule::new(
                    written,
                    Xoshiro256PlusPlus::seed_from_u64(rng.random()),
                ),
            }
        })
        .collect();
    let mut parts: Vec<usize> = (0..size).collect();
    let mut now = Time::ZERO;
    while now <= bound {
        for me in 0..size {
            let is_alone = parts.iter().filter(|it| **it == parts[me]).count() == 1;
            if now < all[me].written || !all[me].reads.is_due(now, is_alone) {
                continue;
            }
            let rows: Vec<_> = all.iter().filter(|it| it.written <= now).collect();
            for other in rows_read(&rows, &all, me) {
                let (from, to) = (parts[other], parts[me]);
                for part in parts.iter_mut().filter(|it| **it == from) {
                    *part = to;
                }
            }
        }
        now += STEP;
    }
    parts.iter().filter(|it| **it == parts[0]).count()
}

/// All daemons of a site start at once. Each reads the roster before its own row is in it, and
/// pairs that found each other do not read again soon. Until a daemon reads it again, calls reach
/// only half of the targets, and the other half holds another configuration.
#[test]
fn daemons_that_start_together_find_each_other_within_five_seconds() {
    for seed in 0..300 {
        for size in [2, 4, 12] {
            let connected = connected_by(Time::from_secs(5), seed, size);
            assert_eq!(connected, size, "seed {seed}");
        }
    }
}

/// Reads of a daemon that knows its fleet stay few, since 610 daemons share the rate limit of one
/// platform.
#[test]
fn a_daemon_that_knows_others_reads_twice_and_then_every_ten_minutes() {
    let rng = Xoshiro256PlusPlus::seed_from_u64(7);
    let mut reads = RosterReadSchedule::new(Time::ZERO, rng);
    let steps = (0..36_000).map(|step| STEP * step);
    let times: Vec<_> = steps.filter(|now| reads.is_due(*now, false)).collect();
    assert_eq!(times.len(), 7, "{times:?}");
    assert!(times[0] <= Time::from_secs(3));
}
