use std::collections::BTreeMap;
use std::time::Duration;

use stoatstep_calls::{
    Admission, AdmissionConfig, AdmissionDecision, AdmissionRequest, AttemptId, Class, Dispatch,
    LimitStatement, Reason,
};

const MS: Duration = Duration::from_millis(1);
const SERVICE: Duration = Duration::from_millis(10);

fn request(attempt: AttemptId, tenant: &str) -> AdmissionRequest {
    AdmissionRequest {
        attempt,
        tenant: tenant.into(),
        class: Class::Standard,
        weight: 1,
        concurrency: None,
        expires: Duration::from_mins(1),
    }
}

/// An idle executor whose run-time estimate is `SERVICE`.
fn measured(slots: u32, queue: usize) -> Admission {
    let mut admission = Admission::new(AdmissionConfig { slots, queue });
    let (decision, _) = admission.offer(request(AttemptId::MAX, "warm-up"), Duration::ZERO);
    assert_eq!(decision, AdmissionDecision::Run);
    admission.release(AttemptId::MAX, SERVICE);
    admission
}

fn refusal(decision: AdmissionDecision) -> Option<Reason> {
    match decision {
        AdmissionDecision::Refused(refusal) => Some(refusal.reason),
        AdmissionDecision::Run | AdmissionDecision::Wait => None,
    }
}

/// Runs one slot until the queue is empty and returns the order of starts.
fn starts(admission: &mut Admission, mut running: AttemptId) -> Vec<AttemptId> {
    let mut order = Vec::new();
    loop {
        admission.release(running, SERVICE);
        let next = admission.next(SERVICE);
        let [Dispatch::Run(attempt)] = next[..] else {
            return order;
        };
        order.push(attempt);
        running = attempt;
    }
}

// The queue is too long for the caller's deadline. The call must be refused on arrival
// rather than after its deadline, when no other executor would have time for it.
#[test]
fn call_that_cannot_finish_in_time_is_refused_at_once() {
    let mut admission = measured(1, 100);
    for attempt in 0..5 {
        admission.offer(request(attempt, "elm"), SERVICE);
    }
    let mut late = request(9, "elm");
    late.expires = SERVICE + 5 * SERVICE;
    let (decision, _) = admission.offer(late.clone(), SERVICE);
    assert_eq!(refusal(decision), Some(Reason::Overload));
    late.expires = SERVICE + 7 * SERVICE;
    assert_eq!(admission.offer(late, SERVICE).0, AdmissionDecision::Wait);
}

// A target recovers from a freeze during which its runs took longer than any deadline.
// By the estimate no call can meet its deadline, and if all were refused, no run could
// correct the estimate and the target would stay idle for good.
#[test]
fn slow_period_of_a_target_does_not_exclude_it_for_good() {
    let mut admission = measured(2, 8);
    let slow_period = Duration::from_secs(20);
    admission.offer(request(0, "elm"), SERVICE);
    admission.release(0, slow_period);
    let mut now = slow_period;
    let mut ran = 0;
    for attempt in 1..20 {
        let mut call = request(attempt, "elm");
        call.expires = now + 10 * SERVICE;
        let (decision, _) = admission.offer(call, now);
        now += SERVICE;
        if decision == AdmissionDecision::Run {
            ran += 1;
            admission.release(attempt, now);
        }
    }
    assert_eq!(ran, 19);
    let call_in_time = |attempt| {
        let mut call = request(attempt, "elm");
        call.expires = now + 10 * SERVICE;
        call
    };
    assert_eq!(
        admission.offer(call_in_time(100), now).0,
        AdmissionDecision::Run
    );
    assert_eq!(
        admission.offer(call_in_time(101), now).0,
        AdmissionDecision::Run
    );
}

// A call's deadline passes while it waits. It must be refused as not run, because nobody
// would read the answer of its run.
#[test]
fn call_that_became_late_in_the_queue_does_not_run() {
    let mut admission = measured(1, 100);
    admission.offer(request(1, "elm"), SERVICE);
    let mut waiting = request(2, "elm");
    waiting.expires = 4 * SERVICE;
    assert_eq!(admission.offer(waiting, SERVICE).0, AdmissionDecision::Wait);
    let next = admission.next(3 * SERVICE);
    let [Dispatch::Refused(2, refusal)] = next[..] else {
        panic!("the late call is still there: {next:?}");
    };
    assert_eq!(refusal.reason, Reason::Deadline);
}

// One tenant floods the queue. A second tenant's calls must still get every other slot.
#[test]
fn flood_of_one_tenant_does_not_starve_another() {
    let mut admission = measured(1, 12);
    admission.offer(request(0, "flood"), SERVICE);
    for attempt in 1..50 {
        admission.offer(request(attempt, "flood"), SERVICE);
    }
    for attempt in 100..104 {
        let (decision, _) = admission.offer(request(attempt, "small"), SERVICE);
        assert_eq!(decision, AdmissionDecision::Wait);
    }
    let order = starts(&mut admission, 0);
    let small = order.iter().take(6).filter(|&&it| it >= 100).count();
    assert!(
        small >= 3,
        "small tenant got {small} of 6 starts: {order:?}"
    );
}

// An idle tenant sends a call to a queue that another tenant has filled. One of the other
// tenant's calls must be evicted; otherwise the tenant would get nothing until the flood
// ends.
#[test]
fn call_of_an_idle_tenant_evicts_one_of_the_flood() {
    let mut admission = measured(1, 8);
    let late = 2 * Duration::from_secs(1);
    let patient = |attempt, tenant| {
        let mut request = request(attempt, tenant);
        request.expires = Duration::from_hours(1);
        request
    };
    admission.offer(patient(0, "flood"), late);
    for attempt in 1..50 {
        admission.offer(patient(attempt, "flood"), late);
    }
    assert_eq!(admission.load(Duration::ZERO).queued, 8);
    let (decision, out) = admission.offer(patient(100, "small"), late);
    assert_eq!(decision, AdmissionDecision::Wait);
    assert_eq!(out.len(), 1, "one of the flood makes room");
}

// A tenant floods the queue while a second one is active. The excess calls must be refused
// on arrival: a call that is queued first and evicted later is refused late.
#[test]
fn flood_is_refused_on_arrival() {
    let mut admission = measured(1, 12);
    admission.offer(request(0, "small"), SERVICE);
    let mut evicted = 0;
    for round in 0..20 {
        for attempt in 0..10 {
            let (_, out) = admission.offer(request(1000 + round * 10 + attempt, "flood"), SERVICE);
            evicted += out.len();
        }
        let (_, out) = admission.offer(request(100 + round, "small"), SERVICE);
        evicted += out.len();
    }
    assert_eq!(evicted, 0);
    // The tenant of the warm-up was recently active too, so each may use a third.
    assert_eq!(admission.load(Duration::ZERO).queued, 8);
}

#[test]
fn weights_share_the_slots() {
    let mut admission = measured(1, 100);
    admission.offer(request(0, "light"), SERVICE);
    for attempt in 0..40 {
        admission.offer(request(100 + attempt, "light"), SERVICE);
        let mut heavy = request(200 + attempt, "heavy");
        heavy.weight = 3;
        admission.offer(heavy, SERVICE);
    }
    let order = starts(&mut admission, 0);
    let heavy = order.iter().take(40).filter(|&&it| it >= 200).count();
    assert!((28..=32).contains(&heavy), "heavy got {heavy} of 40");
}

// Urgent calls fill the slots for a long time. Batch calls must still get a small share
// instead of expiring one after the other.
#[test]
fn urgent_goes_first_and_batch_is_not_starved() {
    let mut admission = measured(1, 200);
    admission.offer(request(0, "elm"), SERVICE);
    for attempt in 0..60 {
        let mut urgent = request(100 + attempt, "elm");
        urgent.class = Class::Urgent;
        admission.offer(urgent, SERVICE);
        let mut batch = request(200 + attempt, "elm");
        batch.class = Class::Batch;
        admission.offer(batch, SERVICE);
    }
    let order = starts(&mut admission, 0);
    let batch = order.iter().take(51).filter(|&&it| it >= 200).count();
    assert!((2..=4).contains(&batch), "batch got {batch} of 51");
}

#[test]
fn tenant_stays_below_its_concurrency() {
    let mut admission = measured(4, 10);
    let limited = |attempt| {
        let mut request = request(attempt, "elm");
        request.concurrency = Some(1);
        request
    };
    assert_eq!(
        admission.offer(limited(1), SERVICE).0,
        AdmissionDecision::Run
    );
    assert_eq!(
        admission.offer(limited(2), SERVICE).0,
        AdmissionDecision::Wait
    );
    assert!(admission.next(SERVICE).is_empty());
    admission.release(1, SERVICE);
    assert_eq!(admission.next(SERVICE), [Dispatch::Run(2)]);
}

// The process resumes after a freeze with a full queue whose callers have given up.
#[test]
fn waking_empties_the_queue_as_not_run() {
    let mut admission = measured(1, 10);
    for attempt in 0..4 {
        admission.offer(request(attempt, "elm"), SERVICE);
    }
    let flushed = admission.flush(Reason::Woke);
    assert_eq!(flushed.len(), 3);
    assert_eq!(admission.load(Duration::ZERO).queued, 0);
}

// At twice the capacity, with deadlines of ten run times, nearly all the time of the slots
// must go into answers that are in time, and every tenant must get some of it.
#[test]
fn goodput_holds_at_twice_the_capacity() {
    const SLOTS: u32 = 13;
    let mut admission = measured(SLOTS, AdmissionConfig::for_slots(SLOTS).queue);
    let mut ends: BTreeMap<AttemptId, Duration> = BTreeMap::new();
    let mut good: BTreeMap<AttemptId, u32> = BTreeMap::new();
    let (tenants, steps) = (5, 10_000);
    let mut attempt = 0;
    for step in 0..steps {
        let now = SERVICE + MS * step;
        let ended: Vec<_> = ends.iter().filter(|(_, end)| **end <= now).collect();
        let ended: Vec<_> = ended.into_iter().map(|(&id, _)| id).collect();
        for id in ended {
            ends.remove(&id);
            admission.release(id, now);
            *good.entry(id % tenants).or_default() += 1;
        }
        let mut started = admission.next(now);
        // 13 slots at 10 ms run 1.3 calls per step; 13 calls in 5 steps are twice that.
        for _ in 0..(if step % 5 < 3 { 3 } else { 2 }) {
            attempt += 1;
            let mut request = request(attempt, &format!("tenant-{}", attempt % tenants));
            request.expires = now + 10 * SERVICE;
            let (decision, out) = admission.offer(request, now);
            started.extend(out);
            if decision == AdmissionDecision::Run {
                started.push(Dispatch::Run(attempt));
            }
        }
        for dispatch in started {
            if let Dispatch::Run(id) = dispatch {
                ends.insert(id, now + SERVICE);
            }
        }
    }
    let total: u32 = good.values().sum();
    let capacity = SLOTS * steps / 10;
    assert!(total * 100 >= capacity * 95, "{total} of {capacity}");
    let least = good.values().min().copied().unwrap_or_default();
    assert!(
        least * 5 * 10 >= total * 8,
        "least tenant got {least} of {total}"
    );
}

fn state_limit(admission: &mut Admission, limit: &str, now: Duration) {
    let limit = LimitStatement::Limit(limit.parse().expect("a rate"));
    admission.limiter_mut().record(limit, now);
}

/// All slots are free, and the target states a limit below what they can run.
#[test]
fn calls_start_at_the_rate_of_the_targets_limit() {
    let mut admission = measured(8, 32);
    state_limit(&mut admission, "25", Duration::ZERO);
    for attempt in 1..=2 {
        let (decision, _) = admission.offer(request(attempt, "school"), Duration::ZERO);
        assert_eq!(decision, AdmissionDecision::Wait);
    }
    assert_eq!(admission.next(MS * 39), []);
    assert_eq!(admission.next(MS * 40), [Dispatch::Run(1)]);
    assert_eq!(admission.next(MS * 79), []);
    let hurried = AdmissionRequest {
        expires: MS * 100,
        ..request(3, "school")
    };
    let (decision, _) = admission.offer(hurried, MS * 79);
    assert_eq!(refusal(decision), Some(Reason::Limited));
    assert_eq!(admission.next(MS * 80), [Dispatch::Run(2)]);
}

/// The limit falls while calls wait. Those that it leaves no time for are refused then, and not
/// when their deadline has passed.
#[test]
fn calls_that_a_lower_limit_leaves_no_time_for_are_refused() {
    let mut admission = measured(8, 32);
    state_limit(&mut admission, "25", Duration::ZERO);
    for attempt in 1..=3 {
        let hurried = AdmissionRequest {
            expires: MS * 500,
            ..request(attempt, "school")
        };
        let (decision, _) = admission.offer(hurried, Duration::ZERO);
        assert_eq!(decision, AdmissionDecision::Wait);
    }
    state_limit(&mut admission, "0.5", MS * 5);
    let dispatches = admission.next(MS * 40);
    let refused =
        |it: &&Dispatch| matches!(it, Dispatch::Refused(_, it) if it.reason == Reason::Limited);
    assert_eq!(dispatches.iter().filter(refused).count(), 2);
    assert_eq!(admission.load(MS * 40).queued, 0);
}
