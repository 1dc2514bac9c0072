//! Which followers of the platform are silent, and in which order they are asked.

use std::time::Duration;

use stoatstep_distribution::PollerHealth;

const AT: Duration = Duration::from_secs(100);

#[test]
fn a_member_that_did_not_answer_is_silent_for_a_while() {
    let mut health = PollerHealth::default();
    health.mark_silent(7, AT);
    assert!(health.is_silent(7, AT));
    assert!(health.is_silent(7, AT + Duration::from_secs(4)));
    assert!(!health.is_silent(7, AT + Duration::from_secs(6)));
    assert!(!health.is_silent(8, AT));
}

#[test]
fn a_member_that_answers_is_not_silent() {
    let mut health = PollerHealth::default();
    health.mark_silent(7, AT);
    health.mark_silent(8, AT);
    health.mark_healthy(7);
    assert!(health.any_silent(AT));
    assert!(!health.any_silent(AT + Duration::from_secs(6)));
    assert!(!health.is_silent(7, AT));
    assert!(health.is_silent(8, AT));
}

/// Without the rotation, a whole zone would ask one of two followers, and none the other.
#[test]
fn followers_are_asked_in_turn() {
    let mut health = PollerHealth::default();
    let first = |health: &mut PollerHealth| health.round_robin(vec!["a", "b"])[0];
    let asked: Vec<_> = (0..4).map(|_| first(&mut health)).collect();
    assert_eq!(asked, ["b", "a", "b", "a"]);
    assert!(health.round_robin(Vec::<u8>::new()).is_empty());
}

/// Members of a zone.
const ZONE: [u64; 4] = [1, 2, 3, 4];

/// Followers that get no answer from the platform must not be chosen as the ones that report
/// versions.
#[test]
fn members_that_lost_the_platform_are_not_eligible() {
    let mut health = PollerHealth::default();
    health.lost_platform(1, AT);
    health.mark_silent(2, AT);
    assert_eq!(health.eligible(&ZONE, AT), [3, 4]);
    assert!(!health.is_silent(1, AT));
    health.mark_healthy(1);
    assert_eq!(health.eligible(&ZONE, AT), [1, 3, 4]);
    assert_eq!(health.eligible(&ZONE, AT + Duration::from_secs(6)), ZONE);
}

/// If all members have lost the platform, the first ones go on asking it. Otherwise each member in
/// turn would start to ask.
#[test]
fn all_are_eligible_if_all_lost_the_platform() {
    let mut health = PollerHealth::default();
    for member in ZONE {
        health.lost_platform(member, AT);
    }
    assert_eq!(health.eligible(&ZONE, AT), ZONE);
    health.mark_silent(1, AT);
    assert_eq!(health.eligible(&ZONE, AT), [2, 3, 4]);
    health.mark_healthy(3);
    assert_eq!(health.eligible(&ZONE, AT), [3]);
}

/// A zone that is cut off from the store alone must not read the list of instances, as one does
/// that is cut off from its peers.
#[test]
fn a_member_that_lost_the_platform_is_not_silent() {
    let mut health = PollerHealth::default();
    health.lost_platform(1, AT);
    assert!(!health.any_silent(AT));
    assert!(health.has_lost_platform(1, AT));
}
