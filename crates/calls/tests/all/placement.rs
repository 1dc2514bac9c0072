use std::collections::BTreeMap;
use std::time::Duration;

use rand::SeedableRng;
use rand_xoshiro::Xoshiro256PlusPlus;
use stoatstep_calls::{Among, Candidate, CandidateState, Occupancy, Placement, Seen, Wish};
use stoatstep_resource::{ServiceName, UpstreamName};

const MS: Duration = Duration::from_millis(1);
const OBJECTIVE: Duration = Duration::from_millis(250);
const NOW: Duration = Duration::from_secs(10);

fn service() -> ServiceName {
    "floatdesk".into()
}

fn candidate(name: &str, zone: &str) -> Candidate {
    Candidate {
        upstream: name.into(),
        zone: zone.into(),
        incarnation: 1,
        state: CandidateState::Ready,
        slots: 10,
        software: "v1".into(),
    }
}

struct Entry {
    placement: Placement,
    wish: Wish<'static>,
    rng: Xoshiro256PlusPlus,
}

impl Entry {
    /// An entry in zone "a" that knows these targets.
    fn new(list: &[Candidate]) -> Self {
        let mut placement = Placement::new("a".into());
        placement.set_candidates(&service(), list, Duration::ZERO);
        Self {
            placement,
            wish: Wish {
                objective: OBJECTIVE,
                answer_bytes: 0.0,
                run: None,
                among: Among::All,
            },
            rng: Xoshiro256PlusPlus::seed_from_u64(1),
        }
    }

    fn pick(&mut self, tried: &[UpstreamName], now: Duration) -> Option<UpstreamName> {
        let rng = &mut self.rng;
        let picked = self.placement.pick(&service(), tried, self.wish, now, rng);
        picked.map(|it| it.upstream)
    }

    /// Targets that would be asked beside a call.
    fn asked(&mut self, now: Duration) -> Vec<UpstreamName> {
        let rng = &mut self.rng;
        let among = self.wish.among;
        self.placement.to_ask(&service(), among, 3, now, rng)
    }

    fn saw(
        &mut self,
        name: &str,
        seen: Seen,
        occupancy: impl Into<Option<Occupancy>>,
        now: Duration,
    ) {
        let name = UpstreamName::new(name);
        self.placement.started(&service(), &name);
        self.placement
            .finished(&service(), &name, seen, occupancy.into(), now);
    }

    fn shares(&mut self, now: Duration) -> BTreeMap<UpstreamName, u32> {
        let mut shares = BTreeMap::new();
        for _ in 0..1_000 {
            let name = self.pick(&[], now).expect("somebody is there");
            *shares.entry(name).or_default() += 1;
        }
        shares
    }
}

fn occupied(running: u32, queued: u32, service_ms: u32) -> Occupancy {
    Occupancy {
        running,
        queued,
        slots: 10,
        service: MS * service_ms,
        link_backlog: Duration::ZERO,
        link_bytes_per_s: 0,
    }
}

#[test]
fn calls_stay_in_the_zone_while_it_answers_about_as_soon() {
    let mut entry = Entry::new(&[candidate("near", "a"), candidate("far", "b")]);
    entry.saw("near", Seen::Answered, occupied(10, 3, 100), NOW);
    entry.saw("far", Seen::Answered, occupied(0, 0, 80), NOW);
    assert_eq!(entry.shares(NOW).get("far"), None);
}

/// Targets differ in speed. The slow one of the own zone still answers well within
/// the objective, so the call's bytes need not go to another zone.
#[test]
fn calls_stay_with_a_slow_target_that_meets_the_objective() {
    let mut entry = Entry::new(&[candidate("near", "a"), candidate("far", "b")]);
    entry.saw("near", Seen::Answered, occupied(2, 0, 145), NOW);
    entry.saw("far", Seen::Answered, occupied(2, 0, 60), NOW);
    assert_eq!(entry.shares(NOW).get("far"), None);
}

/// The target of the own zone has ten calls in its queue: a wait of 100 ms, of
/// the 250 ms that the caller's answer may take. Another zone has free slots.
#[test]
fn calls_leave_the_zone_where_another_one_answers_much_sooner() {
    let mut entry = Entry::new(&[candidate("near", "a"), candidate("far", "b")]);
    entry.saw("near", Seen::Answered, occupied(10, 10, 100), NOW);
    entry.saw("far", Seen::Answered, occupied(0, 0, 100), NOW);
    assert_eq!(entry.shares(NOW).get("near"), None);
}

/// The target of the own zone is full, and answers after 0.85 of the objective; another
/// zone answers after 0.4 of it. A lookup of 1.5 KB leaves, which makes room. A download
/// of 90 KB, whose bytes between zones cost sixty times as much, stays: it is in time.
#[test]
fn large_answers_stay_where_small_ones_leave() {
    let mut entry = Entry::new(&[candidate("near", "a"), candidate("far", "b")]);
    entry.saw("near", Seen::Answered, occupied(10, 10, 100), NOW);
    entry.saw("far", Seen::Answered, occupied(0, 0, 100), NOW);
    entry.wish.answer_bytes = 1_500.0;
    assert_eq!(entry.shares(NOW).get("near"), None);
    entry.wish.answer_bytes = 90_000.0;
    assert_eq!(entry.shares(NOW).get("far"), None);
}

/// A target runs long calls and short ones, and reports their mean, 100 ms. A call whose
/// route takes 15 ms meets an objective of 45 ms where it is. Judged by the mean it would
/// be late everywhere, and leave its zone for any target that is a little less busy.
#[test]
fn a_short_call_is_judged_by_the_run_time_of_its_route() {
    let mut entry = Entry::new(&[candidate("near", "a"), candidate("far", "b")]);
    entry.saw("near", Seen::Answered, occupied(9, 0, 100), NOW);
    entry.saw("far", Seen::Answered, occupied(0, 0, 60), NOW);
    entry.wish.objective = MS * 45;
    assert_eq!(entry.shares(NOW).get("near"), None);
    entry.wish.run = Some(MS * 15);
    assert_eq!(entry.shares(NOW).get("far"), None);
}

#[test]
fn a_slow_target_gets_calls_once_the_fast_ones_are_busy() {
    let mut entry = Entry::new(&[candidate("fast", "a"), candidate("slow", "a")]);
    entry.saw("fast", Seen::Answered, occupied(2, 0, 60), NOW);
    entry.saw("slow", Seen::Answered, occupied(2, 0, 140), NOW);
    assert_eq!(entry.shares(NOW).get("slow"), None);
    entry.saw("fast", Seen::Answered, occupied(10, 20, 60), NOW);
    assert_eq!(entry.shares(NOW).get("fast"), None);
}

/// Reports say how things stood a moment ago. Without what was sent since, every
/// call until the next report would go to the same target.
#[test]
fn what_was_sent_since_the_last_report_counts() {
    let mut entry = Entry::new(&[candidate("one", "a"), candidate("two", "a")]);
    entry.saw("one", Seen::Answered, occupied(8, 0, 100), NOW);
    entry.saw("two", Seen::Answered, occupied(9, 0, 100), NOW);
    let mut sent: BTreeMap<UpstreamName, u32> = BTreeMap::new();
    for _ in 0..40 {
        let name = entry.pick(&[], NOW).expect("somebody is there");
        entry.placement.started(&service(), &name);
        *sent.entry(name).or_default() += 1;
    }
    assert!(sent.values().all(|it| *it > 15), "{sent:?}");
}

#[test]
fn a_target_that_was_slow_is_tried_again_after_a_while() {
    let mut entry = Entry::new(&[candidate("one", "a"), candidate("two", "a")]);
    entry.saw("one", Seen::Answered, occupied(0, 0, 100), NOW);
    entry.saw("two", Seen::Answered, occupied(0, 0, 900), NOW);
    assert_eq!(entry.shares(NOW).get("two"), None);
    let later = NOW + Duration::from_secs(4);
    entry.saw("one", Seen::Answered, occupied(0, 0, 100), later);
    assert!(entry.shares(later).contains_key("two"));
}

#[test]
fn among_many_targets_the_slow_ones_are_remembered_between_calls() {
    // A third of a zone's 36 targets takes twice as long as the others. Each entry calls
    // each target every few seconds. Callers whose calls it places without remembering
    // wait for a slow one a third of the time; one that remembers sends a tenth there,
    // where both candidates that it looks at are slow.
    let names: Vec<String> = (0..36).map(|n| format!("target-{n}")).collect();
    let list: Vec<_> = names.iter().map(|name| candidate(name, "a")).collect();
    let is_slow = |name: &str| names.iter().position(|it| it == name).unwrap_or(0) % 3 == 0;
    let mut entry = Entry::new(&list);
    let mut now = NOW;
    for name in &names {
        let run = if is_slow(name) { 1000 } else { 450 };
        entry.saw(name, Seen::Answered, occupied(0, 0, run), now);
        now += Duration::from_millis(100);
    }
    let shares = entry.shares(now + Duration::from_secs(6));
    let all: u32 = shares.values().sum();
    let slow: u32 = shares
        .iter()
        .filter(|(name, _)| is_slow(name))
        .map(|(_, n)| *n)
        .sum();
    assert!(
        slow * 100 < all * 12,
        "{slow} of {all} calls went to slow targets"
    );
}

/// Every other answer of the target is a failure, while it calls itself healthy.
#[test]
fn a_target_that_fails_every_other_call_is_ejected_within_a_few() {
    let list = ["one", "two", "three"].map(|name| candidate(name, "a"));
    let mut entry = Entry::new(&list);
    let mut calls = 0;
    while entry.placement.ejected(&service(), NOW).is_empty() {
        entry.saw("two", Seen::Failed, None, NOW);
        entry.saw("two", Seen::Answered, None, NOW);
        calls += 2;
        assert!(calls < 30, "not ejected");
    }
    assert_eq!(entry.shares(NOW).get("two"), None);
    let later = NOW + Duration::from_secs(5);
    assert!(entry.shares(later).contains_key("two"), "tried again");
}

#[test]
fn single_failures_eject_nobody() {
    let list = ["one", "two"].map(|name| candidate(name, "a"));
    let mut entry = Entry::new(&list);
    for _ in 0..50 {
        entry.saw("two", Seen::Failed, None, NOW);
        for _ in 0..9 {
            entry.saw("two", Seen::Answered, None, NOW);
        }
    }
    assert!(entry.placement.ejected(&service(), NOW).is_empty());
}

#[test]
fn no_more_than_half_are_ejected_and_the_last_resort_is_tried() {
    let list = ["one", "two"].map(|name| candidate(name, "a"));
    let mut entry = Entry::new(&list);
    for name in ["one", "two"] {
        for _ in 0..20 {
            entry.saw(name, Seen::Failed, None, NOW);
        }
    }
    assert_eq!(entry.placement.ejected(&service(), NOW), ["one"]);
    let tried = [UpstreamName::new("two")];
    assert_eq!(entry.pick(&tried, NOW).as_deref(), Some("one"));
}

#[test]
fn a_target_that_leaves_gets_nothing() {
    let mut leaving = candidate("one", "a");
    leaving.state = CandidateState::Leaving;
    let mut entry = Entry::new(&[leaving, candidate("two", "b")]);
    assert_eq!(entry.shares(NOW).get("one"), None);
    entry.saw("two", Seen::Leaving, None, NOW);
    assert_eq!(entry.pick(&[], NOW), None);
}

/// 17 targets of a zone, one of which has free slots; the entry has not called it for a
/// while. Choosing among two at random it would find it once in nine calls, and the others
/// would wait. It asks three at a time, beside its calls, and sends the next call there.
#[test]
fn a_target_that_said_it_is_free_gets_the_next_call() {
    let names: Vec<String> = (0..17).map(|n| format!("target-{n}")).collect();
    let list: Vec<_> = names.iter().map(|name| candidate(name, "a")).collect();
    let mut entry = Entry::new(&list);
    let mut now = NOW;
    let mut asked_for = 0;
    while entry.pick(&[], now).as_deref() != Some("target-11") || asked_for < 17 {
        for name in entry.asked(now) {
            let running = if name == "target-11" { 2 } else { 10 };
            let occupancy = occupied(running, 5, 100);
            entry.placement.told(&service(), &name, occupancy, now);
            asked_for += 1;
        }
        now += MS * 10;
        assert!(now < NOW + Duration::from_secs(2), "never found");
    }
    let shares = entry.shares(now);
    assert_eq!(shares.get("target-11"), Some(&1_000));
}

#[test]
fn a_target_is_not_asked_again_at_once() {
    let mut entry = Entry::new(&[candidate("one", "a"), candidate("two", "a")]);
    assert_eq!(entry.asked(NOW).len(), 2);
    assert_eq!(entry.asked(NOW + MS), Vec::<UpstreamName>::new());
    assert_eq!(entry.asked(NOW + MS * 60).len(), 2);
}

#[test]
fn targets_of_other_zones_are_not_asked() {
    let mut entry = Entry::new(&[candidate("near", "a"), candidate("far", "b")]);
    assert_eq!(entry.asked(NOW), [UpstreamName::new("near")]);
}

/// Words of a second ago say nothing of the slots now: the entry goes back to looking at
/// two at random, and does not send everything to the one that was free then.
#[test]
fn old_words_are_not_compared() {
    let names: Vec<String> = (0..6).map(|n| format!("target-{n}")).collect();
    let list: Vec<_> = names.iter().map(|name| candidate(name, "a")).collect();
    let mut entry = Entry::new(&list);
    for name in &names {
        let running = if name == "target-1" { 0 } else { 10 };
        let name = UpstreamName::new(name);
        entry
            .placement
            .told(&service(), &name, occupied(running, 5, 100), NOW);
    }
    assert_eq!(entry.shares(NOW).len(), 1);
    assert!(entry.shares(NOW + Duration::from_secs(1)).len() > 3);
}

/// A bad version's targets stand idle. They are neither asked nor called.
#[test]
fn only_targets_that_the_call_may_go_to_are_called() {
    let mut new = candidate("new", "a");
    new.software = "v2".into();
    let mut entry = Entry::new(&[candidate("old", "a"), new]);
    entry.wish.among = Among::OtherSoftware("v2");
    assert_eq!(entry.asked(NOW), [UpstreamName::new("old")]);
    assert_eq!(entry.shares(NOW).get("new"), None);
    entry.wish.among = Among::Software("v2");
    assert_eq!(entry.shares(NOW).get("old"), None);
}

/// Both targets are idle, and one answers a millisecond sooner. The other one has just
/// joined; were it never called, nobody would know how it answers when the first is busy.
#[test]
fn calls_are_spread_where_the_difference_does_not_matter() {
    let mut entry = Entry::new(&[candidate("one", "a"), candidate("two", "a")]);
    for (name, ms) in [("one", 20), ("two", 21)] {
        let occupancy = occupied(0, 0, ms);
        entry
            .placement
            .told(&service(), &name.into(), occupancy, NOW);
    }
    let shares = entry.shares(NOW);
    assert!(shares.values().all(|it| *it > 300), "{shares:?}");
}
