use std::time::Duration;

use stoatstep_rollout::{Canaries, Order, Plan, Progress, Step};

const EXPOSURE: f64 = 0.1;
const BEGUN: Duration = Duration::from_secs(1_000);

fn progress(lasts: Duration) -> Progress {
    let order = Order {
        id: 1,
        service: "floatdesk".into(),
        target: "v2".into(),
        lasts,
    };
    Progress::ordered(order, Duration::ZERO, BEGUN)
}

/// Returns the part of the calls that the new side gets between order and deadline if the version
/// is never found bad.
fn exposed(lasts: Duration, old: usize) -> f64 {
    let progress = progress(lasts);
    let load = Canaries::choose(1, (0..old).map(|it| format!("n{it}").into()), old).load();
    let plan = Plan::new(lasts, EXPOSURE, load);
    let checks = 10_000;
    let sum: f64 = (0..checks)
        .map(|check| {
            let now = BEGUN + lasts.mul_f64(f64::from(check) / f64::from(checks));
            match plan.due(&progress, now) {
                Step::Trial => 0.015,
                Step::Load => load,
                _ => 1.0,
            }
        })
        .sum();
    sum / f64::from(checks)
}

/// A version that turns bad in the last second without being noticed must still have had no more
/// than its part of the service's calls.
#[test]
fn a_version_that_turns_bad_last_stays_within_the_exposure() {
    for seconds in [12, 15, 20, 60, 3_600] {
        for old in [7, 8, 20, 69, 225] {
            let exposed = exposed(Duration::from_secs(seconds), old);
            assert!(exposed <= EXPOSURE, "{seconds} s, {old} targets: {exposed}");
        }
    }
}

/// All daemons have to learn of the last step, and the old side has to finish its calls, before its
/// targets are stopped.
#[test]
fn the_last_step_leaves_time_for_the_old_side_to_finish() {
    for old in [8, 20, 69] {
        let lasts = Duration::from_secs(15);
        let progress = progress(lasts);
        let load = Canaries::choose(1, (0..old).map(|it| format!("n{it}").into()), old).load();
        let plan = Plan::new(lasts, EXPOSURE, load);
        let before = progress.due.saturating_sub(Duration::from_millis(650));
        assert_eq!(plan.due(&progress, before), Step::All, "{old} targets");
    }
}

/// A daemon that receives an order late must not compute a later deadline from it.
#[test]
fn an_order_that_was_received_late_is_not_due_later() {
    let order = progress(Duration::from_secs(15)).order;
    let late = Duration::from_millis(400);
    let received = Progress::ordered(order, late, BEGUN + late);
    assert_eq!(received.due, BEGUN + Duration::from_secs(15));
}

/// One daemon alone drives a roll-out and checks every 200 ms whether the end is due. It must not
/// notice that only after the deadline.
#[test]
fn a_check_every_200_ms_completes_before_the_deadline() {
    let lasts = Duration::from_secs(15);
    let progress = progress(lasts);
    for phase in 0..200 {
        let first = BEGUN + Duration::from_millis(phase);
        let checks = (0..80).map(|check| first + Duration::from_millis(200) * check);
        let mut due = checks.filter(|now| Plan::must_complete(&progress, *now));
        let completed = due.next().expect("it comes to its end");
        let left = progress.due.saturating_sub(completed);
        assert!(left >= Duration::from_millis(100), "{phase}: {left:?}");
    }
}
