//! Reads of the platform's head by the whole fleet.

use std::collections::BTreeMap;
use std::time::Duration;

use stoatstep_distribution::{PollOutcome, Poller};

use crate::support::view;

const STEP: Duration = Duration::from_millis(250);

/// Returns the most reads in any second, and the reads of each second, with the given platform.
fn most_reads(silent_at_once: bool, platform_up: impl Fn(Duration) -> bool) -> (usize, Vec<usize>) {
    let view = view(8, 76);
    let mut pollers: BTreeMap<_, _> = view
        .values()
        .flatten()
        .map(|key| (*key, Poller::new(*key)))
        .collect();
    let mut reads = vec![0; 60];
    for step in 0..240 {
        let now = STEP * step;
        let age = silent_at_once.then_some(Duration::from_mins(1));
        let age = age.or(Some(Duration::from_secs(1)));
        for zone in view.values() {
            for key in zone {
                let poller = pollers.get_mut(key).expect("made above");
                if poller.tick(now, *key, zone, 610, age) {
                    let second = usize::try_from(step / 4).expect("small");
                    reads[second] += 1;
                    let up = platform_up(now);
                    poller.record_outcome(if up {
                        PollOutcome::Read
                    } else {
                        PollOutcome::Failed
                    });
                }
            }
        }
    }
    (reads.iter().copied().max().unwrap_or(0), reads)
}

#[test]
fn two_of_each_zone_read_the_head_each_second() {
    let (most, reads) = most_reads(false, |_| true);
    assert_eq!(most, 16, "{reads:?}");
}

#[test]
fn a_fleet_that_polls_for_itself_stays_within_its_budget() {
    // Reports of the head end, for example because every poller's zone lost the platform, and all
    // 608 daemons begin to poll for themselves in the same second. Without a limit, this burst hits
    // a platform that just came back.
    let (most, reads) = most_reads(true, |_| true);
    assert!(most < 100, "{reads:?}");
}

#[test]
fn an_outage_ends_without_a_storm() {
    // The platform is down for half a minute and comes back. Retries that pile up meanwhile would
    // hit it together and take it down again.
    let back = Duration::from_secs(30);
    let (most, reads) = most_reads(true, |now| now >= back);
    assert!(most < 100, "{reads:?}");
    let after = reads[30..].iter().max();
    assert!(after < Some(&100), "{reads:?}");
}

#[test]
fn a_failed_poller_is_replaced() {
    let zone: Vec<u64> = (0..10).collect();
    let polls = |zone: &[u64]| -> Vec<u64> {
        let asks = |key: &&u64| {
            Poller::new(1).tick(STEP, **key, zone, 10, Some(STEP)) || {
                let mut poller = Poller::new(1);
                poller.tick(STEP, **key, zone, 10, Some(STEP));
                poller.tick(STEP * 8, **key, zone, 10, Some(STEP))
            }
        };
        zone.iter().filter(asks).copied().collect()
    };
    let before = polls(&zone);
    assert_eq!(before.len(), 2);
    let without: Vec<u64> = zone.iter().copied().filter(|it| *it != before[0]).collect();
    let after = polls(&without);
    assert_eq!(after.len(), 2);
    assert!(after.contains(&before[1]));
}
