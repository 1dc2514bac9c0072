use std::collections::BTreeMap;
use std::time::Duration;

use rand::SeedableRng;
use rand_xoshiro::Xoshiro256PlusPlus;
use smol_str::{SmolStr, format_smolstr};
use stoatstep_calls::{Candidate, CandidateState, LimitReport, Load, Report, Router};

const MS: Duration = Duration::from_millis(1);
const WARM: Duration = Duration::from_mins(1);
const SERVICE: SmolStr = SmolStr::new_static("floatdesk");

fn candidate(upstream: &str, zone: &str, state: CandidateState) -> Candidate {
    Candidate {
        upstream: upstream.into(),
        zone: zone.into(),
        incarnation: 1,
        state,
        slots: 10,
        software: "v1".into(),
    }
}

/// Two upstreams in the entry's zone `n1` (a0, a1) and two in `n2` (b0, b1).
fn candidates(state: CandidateState) -> Vec<Candidate> {
    let of = |zone: &'static str, letter: &'static str| {
        (0..2).map(move |n| candidate(&format_smolstr!("{letter}{n}"), zone, state))
    };
    of("n1", "a").chain(of("n2", "b")).collect()
}

fn router(list: &[Candidate]) -> Router {
    let mut router = Router::new("n1".into());
    router.set_candidates(&SERVICE, list, Duration::ZERO);
    router
}

fn picks(router: &Router, now: Duration) -> BTreeMap<SmolStr, u32> {
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(7);
    let mut counts = BTreeMap::new();
    for _ in 0..1_000 {
        if let Some(pick) = router.pick(&SERVICE, &[], now, &mut rng) {
            *counts.entry(pick.upstream).or_default() += 1;
        }
    }
    counts
}

fn names(counts: &BTreeMap<SmolStr, u32>) -> Vec<&str> {
    counts.keys().map(SmolStr::as_str).collect()
}

fn fail(router: &mut Router, upstream: &str, times: u32, now: Duration) {
    for _ in 0..times {
        router.started(&SERVICE, &upstream.into());
        router.finished(&SERVICE, &upstream.into(), Report::Failed, now);
    }
}

#[test]
fn own_zone_goes_first_and_spills_under_pressure() {
    let mut router = router(&candidates(CandidateState::Ready));
    assert_eq!(names(&picks(&router, WARM)), ["a0", "a1"]);
    for upstream in ["a0", "a1"] {
        for _ in 0..12 {
            router.started(&SERVICE, &upstream.into());
        }
    }
    assert_eq!(names(&picks(&router, WARM)), ["b0", "b1"]);
}

// Other entries load an upstream. The load that it reports must keep this entry's calls
// away, and when the report is old the upstream must be tried again.
#[test]
fn load_on_answers_counts_and_ages() {
    let mut router = router(&candidates(CandidateState::Ready));
    let busy = Load {
        running: 10,
        queued: 10,
        slots: 10,
        limit: LimitReport::default(),
    };
    router.started(&SERVICE, &"a0".into());
    router.finished(&SERVICE, &"a0".into(), Report::Answered(Some(busy)), WARM);
    assert_eq!(names(&picks(&router, WARM)), ["a1"]);
    let later = WARM + Duration::from_secs(2);
    assert_eq!(names(&picks(&router, later)), ["a0", "a1"]);
}

// Membership wrongly reports that no upstream is ready. Calls must still be sent.
#[test]
fn wrong_health_of_all_upstreams_does_not_stop_the_service() {
    let router = router(&candidates(CandidateState::Unhealthy));
    assert_eq!(picks(&router, WARM).values().sum::<u32>(), 1_000);
}

#[test]
fn leaving_upstream_gets_no_new_work() {
    let mut list = candidates(CandidateState::Ready);
    list[0].state = CandidateState::Leaving;
    let mut router = router(&list);
    assert_eq!(names(&picks(&router, WARM)), ["a1"]);
    for it in &mut list {
        it.state = CandidateState::Leaving;
    }
    router.set_candidates(&SERVICE, &list, WARM);
    assert!(picks(&router, WARM).is_empty());
}

// An upstream drains before the entry has learned it from membership. After its first
// refusal no further call may be sent there.
#[test]
fn upstream_that_says_it_is_leaving_gets_no_new_work() {
    let mut router = router(&candidates(CandidateState::Ready));
    router.started(&SERVICE, &"a0".into());
    router.finished(&SERVICE, &"a0".into(), Report::Leaving, WARM);
    router.set_candidates(&SERVICE, &candidates(CandidateState::Ready), WARM);
    assert_eq!(names(&picks(&router, WARM)), ["a1"]);
}

// An upstream breaks every connection. After each ejection it fails again, and the next
// ejection must last longer.
#[test]
fn failing_upstream_is_ejected_for_longer_each_time() {
    let mut router = router(&candidates(CandidateState::Ready));
    fail(&mut router, "a0", 3, WARM);
    assert_eq!(names(&picks(&router, WARM)), ["a1"]);
    let back = WARM + 500 * MS;
    assert!(router.ejected(&SERVICE, back).is_empty());
    fail(&mut router, "a0", 3, back);
    assert_eq!(router.ejected(&SERVICE, back + 999 * MS), ["a0"]);
    assert!(router.ejected(&SERVICE, back + 1_000 * MS).is_empty());
}

// The entry's own network card drops packets, so that all upstreams seem to fail. At most
// half may be ejected, because ejecting all of them would cause an outage.
#[test]
fn at_most_half_are_ejected() {
    let mut router = router(&candidates(CandidateState::Ready));
    for upstream in ["a0", "a1", "b0", "b1"] {
        fail(&mut router, upstream, 10, WARM);
    }
    assert_eq!(router.ejected(&SERVICE, WARM).len(), 2);
    assert_eq!(names(&picks(&router, WARM)), ["b0", "b1"]);
}

// A target restarts with empty caches. It must get a small share of calls first, because
// with a full share all its answers would be slow.
#[test]
fn new_upstream_starts_slowly() {
    let mut list = candidates(CandidateState::Ready);
    let mut router = router(&list);
    list[0].incarnation = 2;
    router.set_candidates(&SERVICE, &list, WARM);
    for _ in 0..3 {
        router.started(&SERVICE, &"a0".into());
        router.started(&SERVICE, &"a1".into());
    }
    let cold = picks(&router, WARM);
    assert_eq!(names(&cold), ["a1"]);
    let warm = picks(&router, 2 * WARM);
    assert_eq!(names(&warm), ["a0", "a1"]);
}

#[test]
fn tried_upstreams_are_left_out() {
    let router = router(&candidates(CandidateState::Ready));
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(7);
    let tried = ["a0", "a1"].map(SmolStr::from);
    let pick = router.pick(&SERVICE, &tried, WARM, &mut rng);
    assert!(pick.is_some_and(|it| it.spilled && it.upstream.starts_with('b')));
    let all = ["a0", "a1", "b0", "b1"].map(SmolStr::from);
    assert_eq!(router.pick(&SERVICE, &all, WARM, &mut rng), None);
}
