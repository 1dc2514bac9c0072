//! Tests of how long a daemon may act on a configuration that it cannot confirm.

use std::time::Duration;

use proptest::prelude::*;
use stoatstep_distribution::{Confirmation, StoreClock};
use stoatstep_membership::Time;

const BOUND: Duration = Duration::from_secs(5);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[test]
fn nothing_is_recent_before_it_was_confirmed() {
    let mut confirmation = Confirmation::default();
    assert!(!confirmation.is_within(BOUND, ms(0)));
    confirmation.confirm(ms(1000));
    confirmation.confirm(ms(500));
    assert_eq!(confirmation.age(ms(1200)), Some(ms(200)));
    assert!(confirmation.is_within(BOUND, ms(5900)));
    assert!(!confirmation.is_within(BOUND, ms(6000)));
}

/// An answer that was delayed in transit must not make an old configuration look recent.
#[test]
fn an_answer_of_a_peer_counts_from_the_question() {
    let mut confirmation = Confirmation::default();
    confirmation.confirm_by_peer(ms(3000), ms(1000));
    let age = confirmation.age(ms(4000)).expect("it was confirmed");
    assert!((ms(2000)..ms(2010)).contains(&age), "{age:?}");
    let mut young = Confirmation::default();
    young.confirm_by_peer(ms(500), ms(1000));
    assert_eq!(young.age(ms(600)), None);
}

/// If a wait without a change confirmed only the time at which it began, a daemon would have to ask
/// more often than there are changes.
#[test]
fn a_long_wait_is_dated_by_the_stores_clock() {
    let mut clock = StoreClock::default();
    let store = Some(ms(70_000));
    assert_eq!(clock.given_at(ms(100), ms(104), store), ms(100));
    let given = clock.given_at(ms(104), ms(3110), Some(ms(73_000)));
    assert!((ms(3090)..=ms(3100)).contains(&given), "{given:?}");
    assert_eq!(clock.given_at(ms(3110), ms(6110), None), ms(3110));
    clock.reset();
    assert_eq!(clock.given_at(ms(3110), ms(6110), Some(ms(5))), ms(3110));
    assert_eq!(clock.given_at(ms(6110), ms(9110), Some(ms(1))), ms(6110));
}

proptest! {
    /// An answer is never dated later than it was given or received, whatever the delays both ways
    /// and the drift of the clocks.
    #[test]
    fn no_answer_is_dated_too_late(
        answers in proptest::collection::vec((0_u64..500, 0_u64..3000, 0_u64..2000), 1..60),
        drift_ppm in -500_i64..500,
        store_begins in 0_u64..100_000,
    ) {
        let mut clock = StoreClock::default();
        let mut now = 0_u64;
        for (there, waits, back) in answers {
            let asked_at = now;
            let given = asked_at + there + waits;
            now = given + back;
            let drifted = i64::try_from(given).expect("small") * drift_ppm / 1_000_000;
            let store = (store_begins + given).saturating_add_signed(drifted);
            let dated = clock.given_at(ms(asked_at), ms(now), Some(ms(store)));
            // The store's clock is passed in whole milliseconds here.
            prop_assert!(dated <= ms(given + 1) && dated <= ms(now));
            prop_assert!(dated >= ms(asked_at));
        }
    }

    /// Each daemon of a chain asks the one before it. None of them accepts a revoked key for longer
    /// than the bound, whatever the delays.
    #[test]
    fn no_chain_of_peers_makes_a_confirmation_younger(
        steps in proptest::collection::vec((0_u64..800, 0_u64..800, 0_u64..1500), 1..8),
        first in 0_u64..1000,
    ) {
        let confirmed_at = ms(first);
        let mut asked = Confirmation::default();
        asked.confirm(confirmed_at);
        let mut now: Time = confirmed_at;
        for (delay, there, back) in steps {
            now += ms(delay);
            let asked_at = now;
            now += ms(there);
            let age = asked.age(now).expect("it was confirmed");
            now += ms(back);
            let mut asker = Confirmation::default();
            asker.confirm_by_peer(asked_at, age);
            let known = asker.age(now);
            prop_assert!(known.is_none_or(|it| it >= now.saturating_sub(confirmed_at)));
            prop_assert!(!asker.is_within(BOUND, confirmed_at + BOUND));
            if known.is_some() {
                asked = asker;
            }
        }
    }
}
