use std::collections::BTreeMap;
use std::time::Duration;

use stoatstep_calls::{
    Admission, AdmissionConfig, Ask, AttemptId, Class, Dispatch, Reason, Verdict,
};

const MS: Duration = Duration::from_millis(1);
const SERVICE: Duration = Duration::from_millis(10);

fn ask(attempt: AttemptId, tenant: &str) -> Ask {
    Ask {
        attempt,
        tenant: tenant.into(),
        class: Class::Standard,
        weight: 1,
        concurrency: None,
        expires: Duration::from_mins(1),
    }
}

/// An executor that knows that a run takes `SERVICE`.
fn measured(slots: u32, queue: usize) -> Admission {
    let mut admission = Admission::new(AdmissionConfig { slots, queue });
    let (verdict, _) = admission.offer(ask(AttemptId::MAX, "warm-up"), Duration::ZERO);
    assert_eq!(verdict, Verdict::Run);
    admission.release(AttemptId::MAX, SERVICE);
    admission
}

fn refusal(verdict: Verdict) -> Option<Reason> {
    match verdict {
        Verdict::Refused(refusal) => Some(refusal.reason),
        Verdict::Run | Verdict::Wait => None,
    }
}

/// Runs one slot until the queue is empty; gives the order of starts.
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

// The queue is too long for the caller's deadline. It is told at once instead of
// after its deadline, while another executor may still have time.
#[test]
fn call_that_cannot_finish_in_time_is_refused_at_once() {
    let mut admission = measured(1, 100);
    for attempt in 0..5 {
        admission.offer(ask(attempt, "elm"), SERVICE);
    }
    let mut late = ask(9, "elm");
    late.expires = SERVICE + 5 * SERVICE;
    let (verdict, _) = admission.offer(late.clone(), SERVICE);
    assert_eq!(refusal(verdict), Some(Reason::Overload));
    late.expires = SERVICE + 7 * SERVICE;
    assert_eq!(admission.offer(late, SERVICE).0, Verdict::Wait);
}

// The target freezes for a while and is well again. Its runs took longer than
// any deadline, so by the estimate every call is hopeless. Were all refused, no
// run could ever mend the estimate, and the target would stay idle for good.
#[test]
fn slow_spell_of_the_target_does_not_shut_it_out() {
    let mut admission = measured(2, 8);
    let spell = Duration::from_secs(20);
    admission.offer(ask(0, "elm"), SERVICE);
    admission.release(0, spell);
    let mut now = spell;
    let mut ran = 0;
    for attempt in 1..20 {
        let mut call = ask(attempt, "elm");
        call.expires = now + 10 * SERVICE;
        let (verdict, _) = admission.offer(call, now);
        now += SERVICE;
        if verdict == Verdict::Run {
            ran += 1;
            admission.release(attempt, now);
        }
    }
    assert_eq!(ran, 19);
    let hopeful = |attempt| {
        let mut call = ask(attempt, "elm");
        call.expires = now + 10 * SERVICE;
        call
    };
    assert_eq!(admission.offer(hopeful(100), now).0, Verdict::Run);
    assert_eq!(admission.offer(hopeful(101), now).0, Verdict::Run);
}

// A call's deadline passes while it waits. It is refused as not run; starting
// it would spend a slot on an answer that nobody reads.
#[test]
fn call_that_became_late_in_the_queue_does_not_run() {
    let mut admission = measured(1, 100);
    admission.offer(ask(1, "elm"), SERVICE);
    let mut waiting = ask(2, "elm");
    waiting.expires = 4 * SERVICE;
    assert_eq!(admission.offer(waiting, SERVICE).0, Verdict::Wait);
    let next = admission.next(3 * SERVICE);
    let [Dispatch::Refused(2, refusal)] = next[..] else {
        panic!("the late call is still there: {next:?}");
    };
    assert_eq!(refusal.reason, Reason::Deadline);
}

// One tenant floods the queue. A second tenant's calls still get every other
// slot: the flood costs its own tenant only.
#[test]
fn flood_of_one_tenant_does_not_starve_another() {
    let mut admission = measured(1, 12);
    admission.offer(ask(0, "flood"), SERVICE);
    for attempt in 1..50 {
        admission.offer(ask(attempt, "flood"), SERVICE);
    }
    for attempt in 100..104 {
        let (verdict, _) = admission.offer(ask(attempt, "small"), SERVICE);
        assert_eq!(verdict, Verdict::Wait);
    }
    let order = starts(&mut admission, 0);
    let small = order.iter().take(6).filter(|&&it| it >= 100).count();
    assert!(
        small >= 3,
        "small tenant got {small} of 6 starts: {order:?}"
    );
}

// A tenant that was away comes to a queue that another one fills. One of the
// other's calls makes room; without that all of its calls would be refused until
// the flood ends.
#[test]
fn newcomer_pushes_out_a_call_of_the_flood() {
    let mut admission = measured(1, 8);
    let late = 2 * Duration::from_secs(1);
    let patient = |attempt, tenant| {
        let mut ask = ask(attempt, tenant);
        ask.expires = Duration::from_hours(1);
        ask
    };
    admission.offer(patient(0, "flood"), late);
    for attempt in 1..50 {
        admission.offer(patient(attempt, "flood"), late);
    }
    assert_eq!(admission.load().queued, 8);
    let (verdict, out) = admission.offer(patient(100, "small"), late);
    assert_eq!(verdict, Verdict::Wait);
    assert_eq!(out.len(), 1, "one of the flood makes room");
}

// A flood meets a second tenant all the time. It is refused at the door: a call
// that waits first and is pushed out then is refused late.
#[test]
fn flood_is_refused_at_the_door() {
    let mut admission = measured(1, 12);
    admission.offer(ask(0, "small"), SERVICE);
    let mut pushed_out = 0;
    for round in 0..20 {
        for attempt in 0..10 {
            let (_, out) = admission.offer(ask(1000 + round * 10 + attempt, "flood"), SERVICE);
            pushed_out += out.len();
        }
        let (_, out) = admission.offer(ask(100 + round, "small"), SERVICE);
        pushed_out += out.len();
    }
    assert_eq!(pushed_out, 0);
    // The tenant of the warm-up was here lately too: a third for each.
    assert_eq!(admission.load().queued, 8);
}

#[test]
fn weights_share_the_slots() {
    let mut admission = measured(1, 100);
    admission.offer(ask(0, "light"), SERVICE);
    for attempt in 0..40 {
        admission.offer(ask(100 + attempt, "light"), SERVICE);
        let mut heavy = ask(200 + attempt, "heavy");
        heavy.weight = 3;
        admission.offer(heavy, SERVICE);
    }
    let order = starts(&mut admission, 0);
    let heavy = order.iter().take(40).filter(|&&it| it >= 200).count();
    assert!((28..=32).contains(&heavy), "heavy got {heavy} of 40");
}

// Urgent calls fill the slots for long. Batch calls still get a small share and
// do not all expire.
#[test]
fn urgent_goes_first_and_batch_is_not_starved() {
    let mut admission = measured(1, 200);
    admission.offer(ask(0, "elm"), SERVICE);
    for attempt in 0..60 {
        let mut urgent = ask(100 + attempt, "elm");
        urgent.class = Class::Urgent;
        admission.offer(urgent, SERVICE);
        let mut batch = ask(200 + attempt, "elm");
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
        let mut ask = ask(attempt, "elm");
        ask.concurrency = Some(1);
        ask
    };
    assert_eq!(admission.offer(limited(1), SERVICE).0, Verdict::Run);
    assert_eq!(admission.offer(limited(2), SERVICE).0, Verdict::Wait);
    assert!(admission.next(SERVICE).is_empty());
    admission.release(1, SERVICE);
    assert_eq!(admission.next(SERVICE), [Dispatch::Run(2)]);
}

// The process was frozen and wakes with a full queue whose callers have gone.
#[test]
fn waking_empties_the_queue_as_not_run() {
    let mut admission = measured(1, 10);
    for attempt in 0..4 {
        admission.offer(ask(attempt, "elm"), SERVICE);
    }
    let flushed = admission.flush(Reason::Woke);
    assert_eq!(flushed.len(), 3);
    assert_eq!(admission.load().queued, 0);
}

// At twice the capacity with deadlines of ten runs: nearly every slot-time goes
// into answers that are in time, and every tenant gets some.
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
        // 13 slots at 10 ms are 1.3 calls a step; 13 calls in 5 steps are twice
        // that.
        for _ in 0..(if step % 5 < 3 { 3 } else { 2 }) {
            attempt += 1;
            let mut ask = ask(attempt, &format!("tenant-{}", attempt % tenants));
            ask.expires = now + 10 * SERVICE;
            let (verdict, out) = admission.offer(ask, now);
            started.extend(out);
            if verdict == Verdict::Run {
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
