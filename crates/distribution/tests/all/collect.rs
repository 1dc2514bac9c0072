//! Aggregation of the fleet's status from its parts.

use stoatstep_distribution::{Holdings, VersionInUse};

fn one(version: u64, member: u64) -> Holdings {
    let since_unix_ms = version;
    Holdings::of_one(
        version,
        VersionInUse {
            member,
            since_unix_ms,
        },
    )
}

#[test]
fn a_member_reported_twice_counts_once_at_its_newest() {
    // Membership views differ while a daemon joins, so two inner nodes may ask it. If it counted
    // twice, an operator would see more instances than there are, or one that holds the old and the
    // new version at the same time.
    let mut all = one(4, 1);
    all.merge(one(5, 1));
    all.merge(one(4, 1));
    all.merge(one(4, 2));
    assert_eq!(all.holds[&5].len(), 1);
    assert_eq!(
        all.holds[&4],
        vec![VersionInUse {
            member: 2,
            since_unix_ms: 4
        }]
    );
}

#[test]
fn a_member_that_answers_another_daemon_is_not_silent() {
    let mut all = Holdings::default();
    all.record_silent(7);
    all.record_silent(8);
    all.merge(one(4, 7));
    assert_eq!(all.silent.into_iter().collect::<Vec<_>>(), vec![8]);
}

#[test]
fn refusals_with_one_reason_are_merged() {
    let mut all = Holdings::default();
    all.record_refusal(6, "digest differs".into(), 1);
    let mut more = Holdings::default();
    more.record_refusal(6, "digest differs".into(), 2);
    more.record_refusal(6, "é".repeat(300), 3);
    all.merge(more);
    assert_eq!(all.refusals[0].members.len(), 2);
    assert!(all.refusals[1].reason.len() <= 256);
    let bytes = rmp_serde::to_vec(&all).expect("encodes");
    assert_eq!(
        rmp_serde::from_slice::<Holdings>(&bytes).expect("decodes"),
        all
    );
}
