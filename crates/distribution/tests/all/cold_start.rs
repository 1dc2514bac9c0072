//! Cold starts of a zone that restarts as a whole.

use std::time::Duration;

use stoatstep_distribution::{ColdStart, ColdStartAction, ColdStartInput};

const STEP: Duration = Duration::from_millis(50);

const ALONE: ColdStartInput<'_> = ColdStartInput {
    held: 0,
    may_serve: false,
    own_zone: &[],
    other_zones: &[],
};

struct Restart {
    reads_by_second: Vec<usize>,
    snapshots: usize,
    last_done: Option<Duration>,
}

/// Starts `n` daemons at once, whose peers of the own zone start as well; peers of other zones hold
/// version 7 if `far_hold`.
fn start(n: u64, far_hold: bool) -> Restart {
    let mut restart = Restart {
        reads_by_second: vec![0; 60],
        snapshots: 0,
        last_done: None,
    };
    let mut starts: Vec<_> = (0..n)
        .map(|seed| ColdStart::new(Duration::ZERO, seed))
        .collect();
    let mut versions = vec![0; starts.len()];
    let near: Vec<u64> = (0..n).collect();
    let far: Vec<u64> = if far_hold {
        (1000..1100).collect()
    } else {
        Vec::new()
    };
    for step in 0..1200 {
        let now = STEP * step;
        for (i, it) in starts.iter_mut().enumerate() {
            let second = usize::try_from(now.as_secs()).expect("small");
            let input = ColdStartInput {
                held: versions[i],
                may_serve: versions[i] == 7,
                own_zone: &near,
                other_zones: &far,
            };
            match it.tick(now, input) {
                Some(ColdStartAction::ReadRoster { .. }) => {
                    restart.reads_by_second[second] += 1;
                    it.roster_read(now, 7, 3);
                }
                Some(ColdStartAction::PullPeer(peer)) => {
                    let theirs = usize::try_from(peer).ok().and_then(|it| versions.get(it));
                    versions[i] = theirs.copied().unwrap_or(7).max(versions[i]);
                    it.pulled(now, versions[i]);
                }
                Some(ColdStartAction::PullPlatform) => {
                    restart.reads_by_second[second] += 2;
                    restart.snapshots += 1;
                    versions[i] = 7;
                    it.pulled(now, 7);
                }
                None => {}
            }
        }
        if restart.last_done.is_none() && versions.iter().all(|it| *it == 7) {
            restart.last_done = Some(now);
        }
    }
    restart
}

#[test]
fn a_zone_that_restarts_reads_little_and_is_up_to_date_within_three_seconds() {
    // A zone's 76 daemons restart together. If each read the snapshot at once, the platform would
    // get hundreds of reads in that second; if they asked only each other, none would ever get the
    // configuration.
    let restart = start(76, true);
    let most = restart.reads_by_second.iter().max().copied();
    assert!(most < Some(100), "{:?}", restart.reads_by_second);
    assert_eq!(restart.snapshots, 0, "peers of other zones have it");
    assert!(restart.last_done < Some(Duration::from_secs(3)));
}

#[test]
fn a_fleet_that_starts_as_a_whole_takes_few_snapshots() {
    // No daemon holds a configuration, so some must read the snapshot. The others wait and get it
    // from those.
    let restart = start(76, false);
    assert!(restart.snapshots >= 1);
    assert!(
        restart.last_done < Some(Duration::from_secs(4)),
        "{:?}",
        restart.last_done
    );
    let most = restart.reads_by_second.iter().max().copied();
    assert!(most < Some(100), "{:?}", restart.reads_by_second);
}

#[test]
fn reads_of_a_failed_platform_become_rarer() {
    let mut reads = 0;
    let mut it = ColdStart::new(Duration::ZERO, 3);
    for step in 0..1200 {
        let now = STEP * step;
        if it.tick(now, ALONE) == Some(ColdStartAction::ReadRoster { all_rows: false }) {
            reads += 1;
            it.roster_failed(now);
        }
    }
    assert!((6..40).contains(&reads), "{reads} reads in a minute");
}

#[test]
fn crashed_neighbours_do_not_leave_a_daemon_alone() {
    // The few rows that a starting daemon reads are of instances that crashed, and none answers.
    // Without a second read of all rows, the daemon would take itself for the whole fleet and never
    // receive a change again.
    let mut it = ColdStart::new(Duration::ZERO, 3);
    let mut requested = Vec::new();
    for step in 0..100 {
        let now = STEP * step;
        match it.tick(now, ALONE) {
            Some(ColdStartAction::ReadRoster { all_rows }) => {
                requested.push(all_rows);
                it.roster_read(now, 7, 3);
            }
            Some(ColdStartAction::PullPlatform) => it.pulled(now, 7),
            Some(ColdStartAction::PullPeer(_)) | None => {}
        }
    }
    assert_eq!(requested, [false, true]);
}

#[test]
fn a_daemon_that_may_serve_by_peers_does_not_need_the_platform() {
    let mut it = ColdStart::new(Duration::ZERO, 3);
    let input = ColdStartInput {
        held: 7,
        may_serve: true,
        own_zone: &[1],
        other_zones: &[],
    };
    assert_eq!(it.tick(Duration::from_secs(9), input), None);
    assert!(it.is_done() && !it.has_read_roster());
}
