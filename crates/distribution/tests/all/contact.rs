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
    contact.answered(7);
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
