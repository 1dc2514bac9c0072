use std::collections::BTreeSet;
use std::time::Duration;

use smol_str::SmolStr;
use stoatstep_calls::{
    HomeCheck, HomeHistory, HomeQuery, IdempotencyKey, home_of, upstream_set_id,
};

use crate::idempotency::timed_key;

const NOW: Duration = Duration::from_secs(1_000_000);
const EARLIER: Duration = Duration::from_hours(275);
const SKEW: Duration = Duration::from_secs(2);
const RETENTION: Duration = Duration::from_mins(10);

fn set(names: &[&str]) -> BTreeSet<SmolStr> {
    names.iter().copied().map(SmolStr::from).collect()
}

/// The history of upstream `b` right after it started.
fn started(names: &[&str]) -> HomeHistory {
    let mut homes = HomeHistory::new("b".into(), SKEW, RETENTION);
    homes.apply_set(&"floatdesk".into(), set(names), 1, true, NOW);
    homes
}

fn key_with_homes(created: Duration, homes: &[(&[&str], &str)]) -> IdempotencyKey {
    let fits = |key: &IdempotencyKey| {
        let at = |names: &[&str]| home_of(&set(names), key).cloned();
        homes
            .iter()
            .all(|(names, home)| at(names) == Some(SmolStr::from(*home)))
    };
    std::iter::repeat_with(|| timed_key(created))
        .find(fits)
        .expect("some key has these homes")
}

fn ask(names: &[&str], version: u64) -> HomeCheck {
    let question = |name: &&str| HomeQuery {
        upstream: SmolStr::from(*name),
        version,
    };
    HomeCheck::Ask(names.iter().map(question).collect())
}

// An upstream is added while the previous home lags behind. A lagging entry still sends
// the key there. The new home must not run the key before the previous one has
// confirmed that it no longer accepts it.
#[test]
fn new_home_waits_for_the_previous_one() {
    let mut homes = started(&["a"]);
    homes.confirm(&"a".into(), 1, NOW);
    homes.apply_set(&"floatdesk".into(), set(&["a", "b"]), 2, true, NOW);
    let id = upstream_set_id(&set(&["a", "b"]));
    let fresh = key_with_homes(NOW + 5 * SKEW, &[(&["a", "b"], "b")]);
    assert_eq!(homes.check(&fresh, id), ask(&["a"], 2));
    homes.confirm(&"a".into(), 1, NOW + SKEW);
    assert_eq!(homes.check(&fresh, id), ask(&["a"], 2));
    homes.confirm(&"a".into(), 2, NOW + SKEW);
    assert_eq!(homes.check(&fresh, id), HomeCheck::Mine);
}

// A claim ran at the previous home, its answer was lost, and the retry goes to the new
// home. The key is older than the confirmation, so the previous home must be asked.
#[test]
fn key_from_before_the_confirmation_is_asked_for() {
    let mut homes = started(&["a"]);
    homes.apply_set(&"floatdesk".into(), set(&["a", "b"]), 2, true, NOW);
    homes.confirm(&"a".into(), 2, NOW);
    let old = key_with_homes(NOW + SKEW / 2, &[(&["a", "b"], "b")]);
    let id = upstream_set_id(&set(&["a", "b"]));
    assert_eq!(homes.check(&old, id), ask(&["a"], 2));
}

// A daemon restarts during a change. It does not know the sets before its first one, so
// any other member may be a previous home that lags behind.
#[test]
fn started_daemon_asks_every_member() {
    let names = &["a", "b", "c"];
    let homes = started(names);
    let key = key_with_homes(NOW + 5 * SKEW, &[(names, "b")]);
    assert_eq!(
        homes.check(&key, upstream_set_id(&set(names))),
        ask(&["a", "c"], 1)
    );
}

// Versions were skipped. A set of a skipped version may have had another home.
#[test]
fn skipped_versions_ask_every_member() {
    let mut homes = started(&["a"]);
    homes.confirm(&"a".into(), 1, NOW);
    let names = &["a", "b"];
    homes.apply_set(&"floatdesk".into(), set(names), 9, false, NOW);
    let key = key_with_homes(NOW + 5 * SKEW, &[(names, "b")]);
    assert_eq!(
        homes.check(&key, upstream_set_id(&set(names))),
        ask(&["a"], 9)
    );
}

// An instance is destroyed and its upstream deleted. Keys made before may have run
// there. Later ones may run, because the operator's deletion is proof enough.
#[test]
fn keys_of_a_destroyed_home_are_unsettled() {
    let mut homes = started(&["a", "b"]);
    homes.confirm(&"a".into(), 1, NOW);
    homes.apply_set(&"floatdesk".into(), set(&["b"]), 2, true, NOW);
    homes.mark_deleted(&"a".into(), 2, NOW);
    let id = upstream_set_id(&set(&["b"]));
    let old = key_with_homes(EARLIER, &[(&["a", "b"], "a")]);
    assert_eq!(homes.check(&old, id), HomeCheck::Unsettled);
    let new = key_with_homes(NOW + 2 * SKEW, &[(&["a", "b"], "a")]);
    assert_eq!(homes.check(&new, id), HomeCheck::Mine);
}

#[test]
fn entry_with_another_set_is_refused() {
    let homes = started(&["a", "b"]);
    let key = key_with_homes(NOW, &[(&["a", "b"], "b")]);
    let other = upstream_set_id(&set(&["a", "b", "c"]));
    assert_eq!(homes.check(&key, other), HomeCheck::StaleConfig);
    let key = key_with_homes(NOW, &[(&["a", "b"], "a")]);
    assert_eq!(
        homes.check(&key, upstream_set_id(&set(&["a", "b"]))),
        HomeCheck::NotMine
    );
}

// An earlier set is dropped only once no key that is still accepted can have run under
// it, and never before all its members have confirmed.
#[test]
fn unconfirmed_sets_are_kept() {
    let mut homes = started(&["a", "b"]);
    let hour = Duration::from_hours(1);
    homes.tick(NOW + hour);
    let id = upstream_set_id(&set(&["a", "b"]));
    let key = key_with_homes(NOW + hour, &[(&["a", "b"], "b")]);
    assert_eq!(homes.check(&key, id), ask(&["a"], 1));
    homes.confirm(&"a".into(), 1, NOW);
    homes.tick(NOW + hour);
    let old = key_with_homes(EARLIER, &[(&["a", "b"], "b")]);
    assert_eq!(homes.check(&old, id), HomeCheck::Mine);
}

// Version 2 adds b and version 3 removes it again. This home restarts at version 3 and
// does not know of b. A lagging entry sends a claim to b, which also lags behind and
// asks this home; another entry sends the claim here. If b were told "never", both
// would run it.
#[test]
fn only_the_current_home_is_told_that_a_key_never_ran() {
    let mut homes = HomeHistory::new("a".into(), SKEW, RETENTION);
    homes.apply_set(&"floatdesk".into(), set(&["a"]), 3, true, NOW);
    let key = key_with_homes(NOW + 5 * SKEW, &[(&["a", "b"], "b")]);
    assert!(!homes.is_home(&key, &"b".into()));
    assert!(homes.is_home(&key, &"a".into()));
}

// A claim ran at b, whose upstream was then deleted. This home is restarted as planned
// and restores the table of keys, so without more it would treat the claim as new. The
// members that the previous process knew include b, so b is asked, and after its
// deletion the key is unsettled.
#[test]
fn planned_restart_restores_previous_homes() {
    let mut previous = HomeHistory::new("a".into(), SKEW, RETENTION);
    previous.apply_set(&"floatdesk".into(), set(&["a"]), 1, true, EARLIER);
    previous.apply_set(&"floatdesk".into(), set(&["a", "b"]), 2, true, NOW);
    previous.apply_set(&"floatdesk".into(), set(&["a"]), 3, true, NOW);
    let key = key_with_homes(NOW, &[(&["a", "b"], "b")]);
    let id = upstream_set_id(&set(&["a"]));
    for applied_first in [false, true] {
        let mut homes = HomeHistory::new("a".into(), SKEW, RETENTION);
        if !applied_first {
            homes.restore(previous.known_members());
        }
        homes.apply_set(&"floatdesk".into(), set(&["a"]), 3, true, NOW + SKEW);
        if applied_first {
            homes.restore(previous.known_members());
        }
        assert_eq!(homes.check(&key, id), ask(&["b"], 3));
        homes.mark_deleted(&"b".into(), 3, NOW + 2 * SKEW);
        assert_eq!(homes.check(&key, id), HomeCheck::Unsettled);
    }
}
