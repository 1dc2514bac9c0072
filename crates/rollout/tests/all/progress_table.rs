use std::time::Duration;

use stoatstep_rollout::{Change, Order, Progress, ProgressTable, Step};

const S: Duration = Duration::from_secs(1);

fn order(id: u64) -> Order {
    Order {
        id,
        service: "floatdesk".into(),
        target: "v2".into(),
        lasts: 15 * S,
    }
}

fn progress(id: u64, step: Step) -> Progress {
    Progress::ordered(order(id), Duration::ZERO, 100 * S).with_step(step)
}

/// Updates of three daemons arrive out of order. Whatever the order, a daemon ends at the furthest
/// step: if an older update won, calls would go back to a version that was found bad.
#[test]
fn updates_in_any_order_lead_to_the_same_step() {
    let updates = [
        progress(1, Step::RolledBack),
        progress(2, Step::Trial),
        progress(2, Step::Halted),
        progress(2, Step::Load),
    ];
    for first in 0..updates.len() {
        let mut table = ProgressTable::default();
        for at in 0..updates.len() {
            table.apply(updates[(first + at * 3) % updates.len()].clone(), S);
        }
        let known = table.get("floatdesk").expect("its progress was applied");
        assert_eq!((known.order.id, known.step), (2, Step::Halted), "{first}");
    }
}

/// One daemon halts a version while another stores its completion and the old targets exit. The
/// stored step takes precedence, or calls would go back to targets that are gone.
#[test]
fn what_was_settled_overrules_a_halt() {
    let mut table = ProgressTable::default();
    table.apply(progress(1, Step::Halted), S);
    let change = table.apply(progress(1, Step::Completed), S);
    assert_eq!(
        change,
        Change::Updated {
            from: Some(Step::Halted)
        }
    );
    assert_eq!(table.apply(progress(1, Step::Halted), S), Change::None);
}

#[test]
fn a_completed_step_is_in_effect_until_the_old_side_is_gone() {
    let mut table = ProgressTable::default();
    table.apply(progress(1, Step::Completed), S);
    assert!(table.effective_step("floatdesk", 5 * S).is_some());
    assert!(table.effective_step("floatdesk", 60 * S).is_none());
}

#[test]
fn a_rolled_back_version_stays_excluded() {
    let mut table = ProgressTable::default();
    table.apply(progress(1, Step::RolledBack), S);
    assert!(table.effective_step("floatdesk", 3600 * S).is_some());
}

#[test]
fn an_end_is_gossiped_for_a_while() {
    let mut table = ProgressTable::default();
    table.apply(progress(1, Step::Completed), S);
    assert_eq!(table.gossip(2 * S).len(), 1);
    assert_eq!(table.gossip(60 * S).len(), 0);
    assert_eq!(table.all().len(), 1);
}
