//! Which followers are silent, and whose turn it is to be asked.

use std::time::Duration;

use stoatstep_distribution::Contact;

const AT: Duration = Duration::from_secs(100);

#[test]
fn one_that_missed_a_question_is_silent_for_a_while() {
    let mut contact = Contact::default();
    contact.missed(7, AT);
    assert!(contact.is_silent(7, AT));
    assert!(contact.is_silent(7, AT + Duration::from_secs(4)));
    assert!(!contact.is_silent(7, AT + Duration::from_secs(6)));
    assert!(!contact.is_silent(8, AT));
}

#[test]
fn one_that_answers_is_not_silent_any_more() {
    let mut contact = Contact::default();
    contact.missed(7, AT);
    contact.missed(8, AT);
    contact.regained(7);
    assert!(contact.misses_any(AT));
    assert!(!contact.misses_any(AT + Duration::from_secs(6)));
    assert!(!contact.is_silent(7, AT));
    assert!(contact.is_silent(8, AT));
}

/// One of two followers would be asked by a whole zone, and the other by nobody.
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

/// The followers that the platform does not answer would go on being taken for the ones that
/// tell of versions.
#[test]
fn whoever_lost_the_platform_leaves_it_to_others() {
    let mut contact = Contact::default();
    contact.lost_platform(1, AT);
    contact.missed(2, AT);
    assert_eq!(contact.eligible(&ZONE, AT), [3, 4]);
    assert!(!contact.is_silent(1, AT));
    contact.regained(1);
    assert_eq!(contact.eligible(&ZONE, AT), [1, 3, 4]);
    assert_eq!(contact.eligible(&ZONE, AT + Duration::from_secs(6)), ZONE);
}

/// With the platform away from all of them, each member in turn would ask it.
#[test]
fn where_all_lost_the_platform_the_first_go_on_asking() {
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

/// A zone cut off from the store alone would read the list of instances as one that is cut
/// off from the others.
#[test]
fn one_that_lost_the_platform_is_not_out_of_reach() {
    let mut contact = Contact::default();
    contact.lost_platform(1, AT);
    assert!(!contact.misses_any(AT));
    assert!(contact.has_lost_platform(1, AT));
}
