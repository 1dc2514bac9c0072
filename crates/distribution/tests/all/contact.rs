//! Which followers of the platform are silent, and in which order they are asked.

use std::time::Duration;

use stoatstep_distribution::Contact;

const AT: Duration = Duration::from_secs(100);

#[test]
fn a_member_that_did_not_answer_is_silent_for_a_while() {
    let mut contact = Contact::default();
    contact.missed(7, AT);
    assert!(contact.is_silent(7, AT));
    assert!(contact.is_silent(7, AT + Duration::from_secs(4)));
    assert!(!contact.is_silent(7, AT + Duration::from_secs(6)));
    assert!(!contact.is_silent(8, AT));
}

#[test]
fn a_member_that_answers_is_not_silent() {
    let mut contact = Contact::default();
    contact.missed(7, AT);
    contact.missed(8, AT);
    contact.regained(7);
    assert!(contact.misses_any(AT));
    assert!(!contact.misses_any(AT + Duration::from_secs(6)));
    assert!(!contact.is_silent(7, AT));
    assert!(contact.is_silent(8, AT));
}

/// Without the rotation, a whole zone would ask one of two followers, and none the other.
#[test]
fn followers_are_asked_in_turn() {
    let mut contact = Contact::default();
    let first = |contact: &mut Contact| contact.in_turn(vec!["a", "b"])[0];
    let asked: Vec<_> = (0..4).map(|_| first(&mut contact)).collect();
    assert_eq!(asked, ["b", "a", "b", "a"]);
    assert!(contact.in_turn(Vec::<u8>::new()).is_empty());
}

/// Members of a zone.
const ZONE: [u64; 4] = [1, 2, 3, 4];

/// Followers that get no answer from the platform must not be chosen as the ones that report
/// versions.
#[test]
fn members_that_lost_the_platform_are_not_eligible() {
    let mut contact = Contact::default();
    contact.lost_platform(1, AT);
    contact.missed(2, AT);
    assert_eq!(contact.eligible(&ZONE, AT), [3, 4]);
    assert!(!contact.is_silent(1, AT));
    contact.regained(1);
    assert_eq!(contact.eligible(&ZONE, AT), [1, 3, 4]);
    assert_eq!(contact.eligible(&ZONE, AT + Duration::from_secs(6)), ZONE);
}

/// If all members have lost the platform, the first ones go on asking it. Otherwise each member in
/// turn would start to ask.
#[test]
fn all_are_eligible_if_all_lost_the_platform() {
    let mut contact = Contact::default();
    for member in ZONE {
        contact.lost_platform(member, AT);
    }
    assert_eq!(contact.eligible(&ZONE, AT), ZONE);
    contact.missed(1, AT);
    assert_eq!(contact.eligible(&ZONE, AT), [2, 3, 4]);
    contact.regained(3);
    assert_eq!(contact.eligible(&ZONE, AT), [3]);
}

/// A zone that is cut off from the store alone must not read the list of instances, as one does
/// that is cut off from its peers.
#[test]
fn a_member_that_lost_the_platform_is_not_silent() {
    let mut contact = Contact::default();
    contact.lost_platform(1, AT);
    assert!(!contact.misses_any(AT));
    assert!(contact.has_lost_platform(1, AT));
}
