use std::collections::BTreeSet;
use std::time::Duration;

use smol_str::SmolStr;
use stoatstep_calls::{Handover, Home, HomeSets, IntentKey, home_of, set_id};

use crate::intent::timed_key;

const NOW: Duration = Duration::from_secs(1_000_000);
const EARLIER: Duration = Duration::from_hours(275);
const SKEW: Duration = Duration::from_secs(2);
const RETENTION: Duration = Duration::from_mins(10);

fn set(names: &[&str]) -> BTreeSet<SmolStr> {
    names.iter().copied().map(SmolStr::from).collect()
}

/// Homes of upstream `b` that has seen nothing but its start.
fn started(names: &[&str]) -> HomeSets {
    let mut homes = HomeSets::new("b".into(), SKEW, RETENTION);
    homes.note(&"floatdesk".into(), set(names), 1, true, NOW);
    homes
}

fn key_with_homes(created: Duration, homes: &[(&[&str], &str)]) -> IntentKey {
    let fits = |key: &IntentKey| {
        let at = |names: &[&str]| home_of(&set(names), key).cloned();
        homes
            .iter()
            .all(|(names, home)| at(names) == Some(SmolStr::from(*home)))
    };
    std::iter::repeat_with(|| timed_key(created))
        .find(fits)
        .expect("some key has these homes")
}

fn ask(names: &[&str], version: u64) -> Home {
    let question = |name: &&str| Handover {
        upstream: SmolStr::from(*name),
        version,
    };
    Home::Ask(names.iter().map(question).collect())
}

// An upstream is added while the old home lags. An entry that lags too still
// sends the key to the old home; the new home must not run it as well before
// the old one has stopped taking it.
#[test]
fn new_home_waits_for_the_previous_one() {
    let mut homes = started(&["a"]);
    homes.confirm(&"a".into(), 1, NOW);
    homes.note(&"floatdesk".into(), set(&["a", "b"]), 2, true, NOW);
    let id = set_id(&set(&["a", "b"]));
    let fresh = key_with_homes(NOW + 5 * SKEW, &[(&["a", "b"], "b")]);
    assert_eq!(homes.check(&fresh, id), ask(&["a"], 2));
    homes.confirm(&"a".into(), 1, NOW + SKEW);
    assert_eq!(homes.check(&fresh, id), ask(&["a"], 2));
    homes.confirm(&"a".into(), 2, NOW + SKEW);
    assert_eq!(homes.check(&fresh, id), Home::Mine);
}

// The claim ran at the old home, its answer was lost, and the caller's retry
// goes to the new home. The confirmation alone says nothing about this key.
#[test]
fn key_from_before_the_confirmation_is_asked_for() {
    let mut homes = started(&["a"]);
    homes.note(&"floatdesk".into(), set(&["a", "b"]), 2, true, NOW);
    homes.confirm(&"a".into(), 2, NOW);
    let old = key_with_homes(NOW + SKEW / 2, &[(&["a", "b"], "b")]);
    let id = set_id(&set(&["a", "b"]));
    assert_eq!(homes.check(&old, id), ask(&["a"], 2));
}

// A daemon restarts in the middle of a change: it cannot know which set came
// before its first one, so any other member may be a home that lags.
#[test]
fn started_daemon_asks_every_member() {
    let names = &["a", "b", "c"];
    let homes = started(names);
    let key = key_with_homes(NOW + 5 * SKEW, &[(names, "b")]);
    assert_eq!(homes.check(&key, set_id(&set(names))), ask(&["a", "c"], 1));
}

// Versions were skipped: the set in between may have had another home.
#[test]
fn skipped_versions_ask_every_member() {
    let mut homes = started(&["a"]);
    homes.confirm(&"a".into(), 1, NOW);
    let names = &["a", "b"];
    homes.note(&"floatdesk".into(), set(names), 9, false, NOW);
    let key = key_with_homes(NOW + 5 * SKEW, &[(names, "b")]);
    assert_eq!(homes.check(&key, set_id(&set(names))), ask(&["a"], 9));
}

// An instance is destroyed and its upstream deleted. Keys made before may have
// run there; later ones run on the operator's word.
#[test]
fn keys_of_a_destroyed_home_are_unsettled() {
    let mut homes = started(&["a", "b"]);
    homes.confirm(&"a".into(), 1, NOW);
    homes.note(&"floatdesk".into(), set(&["b"]), 2, true, NOW);
    homes.gone(&"a".into(), 2, NOW);
    let id = set_id(&set(&["b"]));
    let old = key_with_homes(EARLIER, &[(&["a", "b"], "a")]);
    assert_eq!(homes.check(&old, id), Home::Unsettled);
    let new = key_with_homes(NOW + 2 * SKEW, &[(&["a", "b"], "a")]);
    assert_eq!(homes.check(&new, id), Home::Mine);
}

#[test]
fn entry_with_another_set_is_refused() {
    let homes = started(&["a", "b"]);
    let key = key_with_homes(NOW, &[(&["a", "b"], "b")]);
    let other = set_id(&set(&["a", "b", "c"]));
    assert_eq!(homes.check(&key, other), Home::StaleConfig);
    let key = key_with_homes(NOW, &[(&["a", "b"], "a")]);
    assert_eq!(homes.check(&key, set_id(&set(&["a", "b"]))), Home::NotMine);
}

// Earlier sets are dropped only when no key that is still accepted can have run
// under them, and never while a member has not confirmed.
#[test]
fn unconfirmed_sets_are_kept() {
    let mut homes = started(&["a", "b"]);
    let hour = Duration::from_hours(1);
    homes.tick(NOW + hour);
    let id = set_id(&set(&["a", "b"]));
    let key = key_with_homes(NOW + hour, &[(&["a", "b"], "b")]);
    assert_eq!(homes.check(&key, id), ask(&["a"], 1));
    homes.confirm(&"a".into(), 1, NOW);
    homes.tick(NOW + hour);
    let old = key_with_homes(EARLIER, &[(&["a", "b"], "b")]);
    assert_eq!(homes.check(&old, id), Home::Mine);
}

// Version 2 adds b, which takes a claim, and version 3 takes it away again. This
// home restarts at 3 and has never heard of b. An entry that lags sends the claim
// to b, which lags too and asks this home; another entry sends it here. Were b
// told "never", both would run it.
#[test]
fn who_is_not_the_home_gets_no_promise() {
    let mut homes = HomeSets::new("a".into(), SKEW, RETENTION);
    homes.note(&"floatdesk".into(), set(&["a"]), 3, true, NOW);
    let key = key_with_homes(NOW + 5 * SKEW, &[(&["a", "b"], "b")]);
    assert!(!homes.is_home(&key, &"b".into()));
    assert!(homes.is_home(&key, &"a".into()));
}

// A claim ran at b, whose upstream was then deleted. This home is restarted as
// planned and takes over the memory of keys, so it would take the claim for new.
// What its former process knew of b makes it ask, and in the end say "unknown".
#[test]
fn planned_restart_remembers_who_was_a_home() {
    let mut former = HomeSets::new("a".into(), SKEW, RETENTION);
    former.note(&"floatdesk".into(), set(&["a"]), 1, true, EARLIER);
    former.note(&"floatdesk".into(), set(&["a", "b"]), 2, true, NOW);
    former.note(&"floatdesk".into(), set(&["a"]), 3, true, NOW);
    let key = key_with_homes(NOW, &[(&["a", "b"], "b")]);
    let id = set_id(&set(&["a"]));
    for noted_first in [false, true] {
        let mut homes = HomeSets::new("a".into(), SKEW, RETENTION);
        if !noted_first {
            homes.resume(former.known());
        }
        homes.note(&"floatdesk".into(), set(&["a"]), 3, true, NOW + SKEW);
        if noted_first {
            homes.resume(former.known());
        }
        assert_eq!(homes.check(&key, id), ask(&["b"], 3));
        homes.gone(&"b".into(), 3, NOW + 2 * SKEW);
        assert_eq!(homes.check(&key, id), Home::Unsettled);
    }
}
