use std::collections::BTreeMap;
use std::time::Duration;

use rand::SeedableRng;
use rand_xoshiro::Xoshiro256PlusPlus;
use stoatstep_calls::{
    AttemptFeedback, Candidate, CandidateState, LimitReport, Occupancy, Placement,
    PlacementRequest, TargetFilter,
};
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
    request: PlacementRequest<'static>,
    rng: Xoshiro256PlusPlus,
}

impl Entry {
    /// An entry in zone "a" with these candidates.
    fn new(list: &[Candidate]) -> Self {
        let mut placement = Placement::new("a".into());
        placement.set_candidates(&service(), list, Duration::ZERO);
        Self {
            placement,
            request: PlacementRequest {
                objective: OBJECTIVE,
                left: OBJECTIVE * 4,
                answer_bytes: 0.0,
                run: None,
                filter: TargetFilter::All,
                zone: None,
                stays: false,
            },
            rng: Xoshiro256PlusPlus::seed_from_u64(1),
        }
    }

    fn pick(&mut self, tried: &[UpstreamName], now: Duration) -> Option<UpstreamName> {
        let rng = &mut self.rng;
        let picked = self
            .placement
            .pick(&service(), tried, self.request, now, rng);
        picked.map(|it| it.upstream)
    }

    /// Targets that are probed for their occupancy together with a call.
    fn probed(&mut self, now: Duration) -> Vec<UpstreamName> {
        let rng = &mut self.rng;
        let filter = self.request.filter;
        self.placement
            .select_probes(&service(), filter, 3, now, rng)
    }

    fn finish_attempt(
        &mut self,
        name: &str,
        feedback: AttemptFeedback,
        occupancy: impl Into<Option<Occupancy>>,
        now: Duration,
    ) {
        let name = UpstreamName::new(name);
        self.placement.started(&service(), &name);
        self.placement
            .finished(&service(), &name, feedback, occupancy.into(), now);
    }

    fn shares(&mut self, now: Duration) -> BTreeMap<UpstreamName, u32> {
        let mut shares = BTreeMap::new();
        for _ in 0..1_000 {
            let name = self.pick(&[], now).expect("there is an eligible target");
            *shares.entry(name).or_default() += 1;
        }
        shares
    }
}

fn occupied(running: u32, queued: u32, service_ms: u32) -> Occupancy {
    Occupancy {
        running,
        queued,
        late: 0,
        slots: 10,
        service: MS * service_ms,
        link_backlog: Duration::ZERO,
        link_bytes_per_s: 0,
        limit: LimitReport::default(),
    }
}

#[test]
fn calls_stay_in_the_zone_while_it_answers_about_as_soon() {
    let mut entry = Entry::new(&[candidate("near", "a"), candidate("far", "b")]);
    entry.finish_attempt("near", AttemptFeedback::Answered, occupied(10, 3, 100), NOW);
    entry.finish_attempt("far", AttemptFeedback::Answered, occupied(0, 0, 80), NOW);
    assert_eq!(entry.shares(NOW).get("far"), None);
}

/// The target of the own zone is slower than the one of another zone, but still answers well
/// within the objective, so calls must not cause traffic between zones.
#[test]
fn calls_stay_with_a_slow_target_that_meets_the_objective() {
    let mut entry = Entry::new(&[candidate("near", "a"), candidate("far", "b")]);
    entry.finish_attempt("near", AttemptFeedback::Answered, occupied(2, 0, 145), NOW);
    entry.finish_attempt("far", AttemptFeedback::Answered, occupied(2, 0, 60), NOW);
    assert_eq!(entry.shares(NOW).get("far"), None);
}

/// The target of the own zone has ten calls in its queue, a wait of 100 ms with an objective
/// of 250 ms. Another zone has free slots.
#[test]
fn calls_leave_the_zone_where_another_one_answers_much_sooner() {
    let mut entry = Entry::new(&[candidate("near", "a"), candidate("far", "b")]);
    entry.finish_attempt(
        "near",
        AttemptFeedback::Answered,
        occupied(10, 10, 100),
        NOW,
    );
    entry.finish_attempt("far", AttemptFeedback::Answered, occupied(0, 0, 100), NOW);
    assert_eq!(entry.shares(NOW).get("near"), None);
}

/// The target of the own zone has all slots taken and answers after 0.85 of the objective;
/// another zone answers after 0.4 of it. A lookup of 1.5 KB leaves and so makes room. A
/// download of 90 KB, whose traffic between zones costs sixty times as much, stays because
/// it is in time.
#[test]
fn large_answers_stay_where_small_ones_leave() {
    let mut entry = Entry::new(&[candidate("near", "a"), candidate("far", "b")]);
    entry.finish_attempt(
        "near",
        AttemptFeedback::Answered,
        occupied(10, 10, 100),
        NOW,
    );
    entry.finish_attempt("far", AttemptFeedback::Answered, occupied(0, 0, 100), NOW);
    entry.request.answer_bytes = 1_500.0;
    assert_eq!(entry.shares(NOW).get("near"), None);
    entry.request.answer_bytes = 90_000.0;
    assert_eq!(entry.shares(NOW).get("far"), None);
}

/// Load: all zones are short. A call for which its zone would be late is refused there, and does
/// not go to a zone that would refuse it as well.
#[test]
fn a_call_stays_while_no_other_zone_has_room() {
    let mut entry = Entry::new(&[candidate("near", "a"), candidate("far", "b")]);
    entry.finish_attempt(
        "near",
        AttemptFeedback::Answered,
        occupied(10, 40, 100),
        NOW,
    );
    entry.finish_attempt("far", AttemptFeedback::Answered, occupied(0, 0, 100), NOW);
    assert_eq!(entry.shares(NOW).get("near"), None);
    entry.request.stays = true;
    assert_eq!(entry.shares(NOW).get("far"), None);
    assert_eq!(entry.pick(&["near".into()], NOW), Some("far".into()));
}

/// Guards against answers of 90 KB that leave their zone for a few milliseconds saved, because
/// the objective of their calls has passed or can no longer be met anywhere.
#[test]
fn a_late_call_stays_while_its_zone_meets_the_deadline() {
    let mut entry = Entry::new(&[candidate("near", "a"), candidate("far", "b")]);
    entry.finish_attempt("near", AttemptFeedback::Answered, occupied(10, 5, 100), NOW);
    entry.finish_attempt("far", AttemptFeedback::Answered, occupied(0, 0, 100), NOW);
    entry.request.left = MS * 3_000;
    for objective in [Duration::ZERO, MS * 40] {
        entry.request.objective = objective;
        for answer_bytes in [1_500.0, 90_000.0] {
            entry.request.answer_bytes = answer_bytes;
            assert_eq!(entry.shares(NOW).get("far"), None, "{objective:?}");
        }
    }
}

/// A target runs long calls and short ones and reports their mean run time, 100 ms. A call
/// whose route takes 15 ms meets an objective of 45 ms in its zone. By the mean it would
/// look late at every target, and leave its zone for any target that is slightly less busy.
#[test]
fn a_short_call_is_placed_by_the_run_time_of_its_route() {
    let mut entry = Entry::new(&[candidate("near", "a"), candidate("far", "b")]);
    entry.finish_attempt("near", AttemptFeedback::Answered, occupied(9, 0, 100), NOW);
    entry.finish_attempt("far", AttemptFeedback::Answered, occupied(0, 0, 60), NOW);
    entry.request.objective = MS * 45;
    assert_eq!(entry.shares(NOW).get("near"), None);
    entry.request.run = Some(MS * 15);
    assert_eq!(entry.shares(NOW).get("far"), None);
}

#[test]
fn a_slow_target_gets_calls_once_the_fast_ones_are_busy() {
    let mut entry = Entry::new(&[candidate("fast", "a"), candidate("slow", "a")]);
    entry.finish_attempt("fast", AttemptFeedback::Answered, occupied(2, 0, 60), NOW);
    entry.finish_attempt("slow", AttemptFeedback::Answered, occupied(2, 0, 140), NOW);
    assert_eq!(entry.shares(NOW).get("slow"), None);
    entry.finish_attempt("fast", AttemptFeedback::Answered, occupied(10, 20, 60), NOW);
    assert_eq!(entry.shares(NOW).get("fast"), None);
}

/// A report is out of date as soon as more attempts are sent. If those were not counted,
/// every call until the next report would go to the same target.
#[test]
fn attempts_sent_since_the_last_report_count() {
    let mut entry = Entry::new(&[candidate("one", "a"), candidate("two", "a")]);
    entry.finish_attempt("one", AttemptFeedback::Answered, occupied(8, 0, 100), NOW);
    entry.finish_attempt("two", AttemptFeedback::Answered, occupied(9, 0, 100), NOW);
    let mut sent: BTreeMap<UpstreamName, u32> = BTreeMap::new();
    for _ in 0..40 {
        let name = entry.pick(&[], NOW).expect("there is an eligible target");
        entry.placement.started(&service(), &name);
        *sent.entry(name).or_default() += 1;
    }
    assert!(sent.values().all(|it| *it > 15), "{sent:?}");
}

#[test]
fn a_target_that_was_slow_is_tried_again_after_a_while() {
    let mut entry = Entry::new(&[candidate("one", "a"), candidate("two", "a")]);
    entry.finish_attempt("one", AttemptFeedback::Answered, occupied(0, 0, 100), NOW);
    entry.finish_attempt("two", AttemptFeedback::Answered, occupied(0, 0, 900), NOW);
    assert_eq!(entry.shares(NOW).get("two"), None);
    let later = NOW + Duration::from_secs(4);
    entry.finish_attempt("one", AttemptFeedback::Answered, occupied(0, 0, 100), later);
    assert!(entry.shares(later).contains_key("two"));
}

#[test]
fn among_many_targets_the_slow_ones_are_remembered_between_calls() {
    // A third of a zone's 36 targets takes twice as long as the others, and the entry calls
    // each target every few seconds. If it forgot their run times in between, a third of the
    // calls would go to slow targets. With them a tenth does, where both of the compared
    // candidates are slow.
    let names: Vec<String> = (0..36).map(|n| format!("target-{n}")).collect();
    let list: Vec<_> = names.iter().map(|name| candidate(name, "a")).collect();
    let is_slow = |name: &str| names.iter().position(|it| it == name).unwrap_or(0) % 3 == 0;
    let mut entry = Entry::new(&list);
    let mut now = NOW;
    for name in &names {
        let run = if is_slow(name) { 1000 } else { 450 };
        entry.finish_attempt(name, AttemptFeedback::Answered, occupied(0, 0, run), now);
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

/// Every other answer of a target is a failure, although the target reports itself healthy.
#[test]
fn a_target_that_fails_every_other_call_is_ejected_within_a_few() {
    let list = ["one", "two", "three"].map(|name| candidate(name, "a"));
    let mut entry = Entry::new(&list);
    let mut calls = 0;
    while entry.placement.ejected(&service(), NOW).is_empty() {
        entry.finish_attempt("two", AttemptFeedback::Failed, None, NOW);
        entry.finish_attempt("two", AttemptFeedback::Answered, None, NOW);
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
        entry.finish_attempt("two", AttemptFeedback::Failed, None, NOW);
        for _ in 0..9 {
            entry.finish_attempt("two", AttemptFeedback::Answered, None, NOW);
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
            entry.finish_attempt(name, AttemptFeedback::Failed, None, NOW);
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
    entry.finish_attempt("two", AttemptFeedback::Leaving, None, NOW);
    assert_eq!(entry.pick(&[], NOW), None);
}

/// One of 17 targets of a zone has free slots, and the entry has not called it for a while.
/// By comparing two random targets it would find it once in nine calls, and the other calls
/// would wait. It must find it by probing three targets with each call.
#[test]
fn a_target_that_reported_free_slots_gets_the_next_call() {
    let names: Vec<String> = (0..17).map(|n| format!("target-{n}")).collect();
    let list: Vec<_> = names.iter().map(|name| candidate(name, "a")).collect();
    let mut entry = Entry::new(&list);
    let mut now = NOW;
    let mut probes = 0;
    while entry.pick(&[], now).as_deref() != Some("target-11") || probes < 17 {
        for name in entry.probed(now) {
            let running = if name == "target-11" { 2 } else { 10 };
            let occupancy = occupied(running, 5, 100);
            entry
                .placement
                .record_occupancy(&service(), &name, occupancy, now);
            probes += 1;
        }
        now += MS * 10;
        assert!(now < NOW + Duration::from_secs(2), "never found");
    }
    let shares = entry.shares(now);
    assert_eq!(shares.get("target-11"), Some(&1_000));
}

#[test]
fn a_target_is_not_probed_again_at_once() {
    let mut entry = Entry::new(&[candidate("one", "a"), candidate("two", "a")]);
    assert_eq!(entry.probed(NOW).len(), 2);
    assert_eq!(entry.probed(NOW + MS), Vec::<UpstreamName>::new());
    assert_eq!(entry.probed(NOW + MS * 60).len(), 2);
}

#[test]
fn targets_of_other_zones_are_not_probed() {
    let mut entry = Entry::new(&[candidate("near", "a"), candidate("far", "b")]);
    assert_eq!(entry.probed(NOW), [UpstreamName::new("near")]);
}

/// A report that is a second old says nothing about the slots now. The entry must compare
/// two random targets again instead of sending every call to the one that was free then.
#[test]
fn old_reports_are_not_compared() {
    let names: Vec<String> = (0..6).map(|n| format!("target-{n}")).collect();
    let list: Vec<_> = names.iter().map(|name| candidate(name, "a")).collect();
    let mut entry = Entry::new(&list);
    for name in &names {
        let running = if name == "target-1" { 0 } else { 10 };
        let name = UpstreamName::new(name);
        entry
            .placement
            .record_occupancy(&service(), &name, occupied(running, 5, 100), NOW);
    }
    assert_eq!(entry.shares(NOW).len(), 1);
    assert!(entry.shares(NOW + Duration::from_secs(1)).len() > 3);
}

/// A call may only go to targets of one version. Others must be neither probed nor called,
/// even if they are idle.
#[test]
fn only_targets_that_the_call_may_go_to_are_called() {
    let mut new = candidate("new", "a");
    new.software = "v2".into();
    let mut entry = Entry::new(&[candidate("old", "a"), new]);
    entry.request.filter = TargetFilter::OtherSoftware("v2");
    assert_eq!(entry.probed(NOW), [UpstreamName::new("old")]);
    assert_eq!(entry.shares(NOW).get("new"), None);
    entry.request.filter = TargetFilter::Software("v2");
    assert_eq!(entry.shares(NOW).get("old"), None);
}

/// Both targets are idle, and one answers a millisecond sooner. The other must get calls as
/// well, because otherwise its run time would be unknown when the first one is busy.
#[test]
fn calls_are_spread_where_the_difference_does_not_matter() {
    let mut entry = Entry::new(&[candidate("one", "a"), candidate("two", "a")]);
    for (name, ms) in [("one", 20), ("two", 21)] {
        let occupancy = occupied(0, 0, ms);
        entry
            .placement
            .record_occupancy(&service(), &name.into(), occupancy, NOW);
    }
    let shares = entry.shares(NOW);
    assert!(shares.values().all(|it| *it > 300), "{shares:?}");
}

/// One of two targets states a limit that is used up for 150 ms. Its slots are free, so by its
/// occupancy alone it would get half of the calls, and its executor would refuse them.
#[test]
fn calls_go_to_others_while_the_limit_of_a_target_is_used_up() {
    let mut entry = Entry::new(&[candidate("limited", "a"), candidate("other", "a")]);
    let idle = occupied(0, 0, 50);
    let limited = Occupancy {
        limit: LimitReport {
            interval: MS * 150,
            wait: MS * 150,
            ..LimitReport::default()
        },
        ..idle
    };
    entry.finish_attempt("limited", AttemptFeedback::Answered, limited, NOW);
    entry.finish_attempt("other", AttemptFeedback::Answered, idle, NOW);
    assert_eq!(entry.shares(NOW).get("limited"), None);
    // A target that is slower by less than the wait gets none of its calls then.
    entry.finish_attempt("other", AttemptFeedback::Answered, occupied(0, 0, 80), NOW);
    let later = NOW + MS * 160;
    assert!(entry.shares(later).contains_key("limited"));
}

/// The target has stated in an answer that it leaves. Then its daemon restarts and reports it as
/// ready again, or membership loses it for a while.
#[test]
fn a_target_that_stated_that_it_leaves_gets_no_calls_again() {
    let list = [candidate("leaves", "a"), candidate("stays", "b")];
    let mut entry = Entry::new(&list);
    let leaves: UpstreamName = "leaves".into();
    assert!(entry.placement.depart(&service(), &leaves));
    assert!(!entry.placement.depart(&service(), &leaves));
    assert!(!entry.shares(NOW).contains_key("leaves"));
    let restarted = Candidate {
        incarnation: 2,
        ..list[0].clone()
    };
    let with_restarted = [restarted, list[1].clone()];
    entry
        .placement
        .set_candidates(&service(), &with_restarted, NOW);
    assert!(!entry.shares(NOW).contains_key("leaves"));
    entry.placement.set_candidates(&service(), &list[1..], NOW);
    entry
        .placement
        .set_candidates(&service(), &with_restarted, NOW);
    assert!(!entry.shares(NOW).contains_key("leaves"));
}
