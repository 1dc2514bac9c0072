use std::time::Duration;

use stoatstep_rollout::{Evidence, RegressionKind, Tally, Verdict, judge};

const MS: Duration = Duration::from_millis(1);

/// Evidence of a target that ended `runs` runs of one route, every `fails`th of them with a
/// failure.
fn target(route: &str, runs: u32, fails: Option<u32>, took: Duration) -> Evidence {
    let mut tally = Tally::default();
    tally.reset_for(1);
    for run in 0..runs {
        let is_failure = fails.is_some_and(|every| run % every == 0);
        tally.record(&route.into(), is_failure, took, Duration::ZERO);
    }
    tally.evidence(0, Duration::ZERO)
}

fn merge(mut one: Evidence, other: Evidence) -> Evidence {
    one.routes.extend(other.routes);
    one
}

fn healthy(runs: u32) -> Evidence {
    target("r", runs, Some(50), 200 * MS)
}

fn expect_bad(verdict: Verdict) -> (RegressionKind, Option<String>) {
    match verdict {
        Verdict::Bad(regression) => (regression.kind, regression.route.map(|it| it.to_string())),
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_version_that_fails_every_other_call_is_bad() {
    let new = [(); 3].map(|()| target("r", 8, Some(2), 200 * MS));
    let old = [healthy(100), healthy(100)];
    assert_eq!(expect_bad(judge(&new, &old)).0, RegressionKind::Failures);
}

#[test]
fn a_version_that_takes_several_times_as_long_is_bad() {
    let new = [(); 3].map(|()| target("r", 8, None, 1_000 * MS));
    let old = [healthy(100), healthy(100)];
    assert_eq!(expect_bad(judge(&new, &old)).0, RegressionKind::Slowness);
}

/// Three hundred successful calls of one route would hide that every second call of another fails.
#[test]
fn a_version_that_is_bad_on_one_route_is_bad() {
    let both = || merge(healthy(150), target("rare", 12, Some(2), 200 * MS));
    let old = [merge(healthy(300), target("rare", 30, None, 200 * MS))];
    let (kind, route) = expect_bad(judge(&[both(), both(), both()], &old));
    assert_eq!(
        (kind, route.as_deref()),
        (RegressionKind::Failures, Some("rare"))
    );
}

/// One of the canaries has a broken disk. Its version is as good as the old one, as the other two
/// show.
#[test]
fn one_bad_target_does_not_reject_its_version() {
    let new = [target("r", 40, Some(2), 200 * MS), healthy(40), healthy(40)];
    assert_eq!(judge(&new, &[healthy(200)]), Verdict::Good);
}

/// A dependency of both sides is short of capacity: every third call fails on either side.
#[test]
fn failures_of_both_sides_do_not_reject_a_version() {
    let new = [
        target("r", 30, Some(3), 200 * MS),
        target("r", 30, Some(3), 200 * MS),
    ];
    let old = [target("r", 200, Some(3), 200 * MS)];
    assert_eq!(judge(&new, &old), Verdict::Good);
}

/// A failing target of the old side must not make a bad version look good.
#[test]
fn a_failing_old_target_does_not_hide_a_bad_version() {
    let new = [
        target("r", 30, Some(1), 200 * MS),
        target("r", 30, Some(1), 200 * MS),
    ];
    let old = [
        target("r", 60, Some(2), 200 * MS),
        healthy(60),
        healthy(60),
        healthy(60),
    ];
    assert_eq!(expect_bad(judge(&new, &old)).0, RegressionKind::Failures);
}

#[test]
fn a_version_with_too_few_runs_is_unclear() {
    assert_eq!(judge(&[healthy(2)], &[healthy(500)]), Verdict::Unclear);
}

#[test]
fn a_service_without_calls_may_move() {
    assert_eq!(
        judge(&[Evidence::default()], &[Evidence::default()]),
        Verdict::Good
    );
}
