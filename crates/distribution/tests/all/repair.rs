//! Pulls of versions that no push has delivered.

use std::time::Duration;

use stoatstep_distribution::{ConfigId, Pull, PullSource, Repair};

fn config_id(version: u64) -> ConfigId {
    ConfigId {
        version,
        digest: version,
    }
}

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn a_lost_push_is_pulled_from_a_peer_that_is_ahead() {
    // A push is lost, and the daemon routes by the old version. The next exchange shows that a peer
    // is ahead, which is asked once.
    let mut repair = Repair::new(1);
    repair.peer_holds(Duration::ZERO, 5, config_id(3), config_id(2));
    let pull = repair.tick(SECOND, config_id(2), false);
    let source = PullSource::Peer(5);
    assert_eq!(
        pull,
        Some(Pull {
            source,
            whole: false
        })
    );
    repair.peer_holds(SECOND, 6, config_id(4), config_id(2));
    assert_eq!(
        repair.tick(SECOND, config_id(2), false),
        None,
        "one at a time"
    );
}

#[test]
fn a_push_that_arrives_meanwhile_cancels_the_pull() {
    let mut repair = Repair::new(1);
    repair.peer_holds(Duration::ZERO, 5, config_id(3), config_id(2));
    assert_eq!(repair.tick(SECOND, config_id(3), false), None);
}

#[test]
fn a_pull_from_a_silent_peer_times_out_and_another_peer_is_asked() {
    // The peer that was asked fails before it answers. A daemon that waited for ever would never
    // pull again.
    let mut repair = Repair::new(1);
    repair.peer_holds(Duration::ZERO, 5, config_id(3), config_id(2));
    assert!(repair.tick(SECOND, config_id(2), false).is_some());
    let later = 7 * SECOND;
    repair.tick(later, config_id(2), false);
    repair.peer_holds(later, 6, config_id(3), config_id(2));
    let pull = repair.tick(later + SECOND, config_id(2), false);
    assert_eq!(pull.map(|it| it.source), Some(PullSource::Peer(6)));
}

#[test]
fn daemons_that_are_behind_do_not_pull_at_the_same_time() {
    // After a partition, 76 daemons notice at once that they are behind. If they all pulled in the
    // same instant, they would overload the few that have the version.
    let mut due = Vec::new();
    for seed in 0..76 {
        let mut repair = Repair::new(seed);
        repair.peer_holds(Duration::ZERO, 5, config_id(3), config_id(2));
        let step = |it: &u64| {
            let now = Duration::from_millis(*it);
            repair.tick(now, config_id(2), false).is_some()
        };
        due.push((0..1000).find(step).expect("is due within a second"));
    }
    let most = (0..10)
        .map(|bin| due.iter().filter(|it| **it / 30 == bin).count())
        .max();
    assert!(most < Some(20), "{most:?} of 76 within 30 ms");
}
