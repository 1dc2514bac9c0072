use std::time::Duration;

use smol_str::SmolStr;
use stoatstep_rollout::Tally;

const MS: Duration = Duration::from_millis(1);

#[test]
fn recent_runs_are_counted_separately() {
    let route: SmolStr = "r-claims".into();
    let mut tally = Tally::default();
    tally.reset_for(1);
    for second in 0..10 {
        tally.record(&route, second >= 9, 200 * MS, Duration::from_secs(second));
    }
    let evidence = tally.evidence(3, Duration::from_secs(9));
    let seen = &evidence.routes[0];
    assert_eq!((seen.whole.runs, seen.whole.failures), (10, 1));
    assert_eq!((seen.recent.runs, seen.recent.failures), (3, 1));
    assert_eq!(evidence.occupied, 3);
}

#[test]
fn recent_runs_are_forgotten_where_none_came_since() {
    let mut tally = Tally::default();
    tally.reset_for(1);
    tally.record(&"r".into(), true, MS, Duration::ZERO);
    let evidence = tally.evidence(0, Duration::from_secs(20));
    assert_eq!(evidence.routes[0].recent.runs, 0);
}

#[test]
fn another_order_clears_the_counts_and_the_same_one_does_not() {
    let mut tally = Tally::default();
    tally.reset_for(1);
    tally.record(&"r".into(), false, MS, Duration::ZERO);
    tally.reset_for(1);
    assert_eq!(tally.evidence(0, Duration::ZERO).routes.len(), 1);
    tally.reset_for(2);
    assert_eq!(tally.evidence(0, Duration::ZERO).routes.len(), 0);
}

#[test]
fn the_median_class_has_as_many_runs_below_as_above() {
    let mut tally = Tally::default();
    tally.reset_for(1);
    for ms in [100, 110, 120, 130, 2_000] {
        tally.record(&"r".into(), false, ms * MS, Duration::ZERO);
    }
    let evidence = tally.evidence(0, Duration::ZERO);
    let counts = &evidence.routes[0].whole;
    let median = counts.median_class().expect("there were runs");
    assert_eq!(counts.slower_than(median + 3), 1);
}
