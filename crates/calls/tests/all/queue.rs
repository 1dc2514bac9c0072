use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use stoatstep_calls::{
    AdmissionDecision, AttemptId, Dispatch, LateWait, LimitStatement, Queue, QueueRequest, Reason,
};

const MS: Duration = Duration::from_millis(1);
const SERVICE: Duration = Duration::from_millis(100);

fn ms(ms: u32) -> Duration {
    MS * ms
}

fn request(attempt: AttemptId, rank: u8) -> QueueRequest {
    QueueRequest {
        attempt,
        kind: "balances".into(),
        rank,
        objective: ms(300),
        expires: ms(1_000),
        late_wait: LateWait::No,
        usage: 0,
    }
}

/// A queue whose run-time estimate is `SERVICE`, with every slot taken.
fn full(slots: u32) -> Queue {
    let mut queue = Queue::new(slots);
    for slot in 0..slots {
        let attempt = AttemptId::MAX - AttemptId::from(slot);
        let (decision, _) = queue.offer(request(attempt, 0), Duration::ZERO);
        assert_eq!(decision, AdmissionDecision::Run);
        queue.release(attempt, SERVICE);
        queue.offer(request(attempt, 0), Duration::ZERO);
    }
    queue
}

fn reason(decision: AdmissionDecision) -> Option<Reason> {
    match decision {
        AdmissionDecision::Refused(refusal) => Some(refusal.reason),
        AdmissionDecision::Run | AdmissionDecision::Wait => None,
    }
}

/// Ends the runs of a full queue one by one and returns the order of starts.
fn starts(queue: &mut Queue, slots: u32, now: Duration) -> Vec<AttemptId> {
    let mut running: Vec<_> = (0..slots)
        .map(|slot| AttemptId::MAX - AttemptId::from(slot))
        .collect();
    let mut order = Vec::new();
    while let Some(attempt) = running.pop() {
        queue.release_unmeasured(attempt);
        for dispatch in queue.next(now) {
            if let Dispatch::Run(started) = dispatch {
                order.push(started);
                running.insert(0, started);
            }
        }
    }
    order
}

#[test]
fn the_more_urgent_rank_goes_first_then_the_earlier_deadline() {
    let mut queue = full(8);
    let later = QueueRequest {
        expires: ms(1_200),
        ..request(1, 1)
    };
    for request in [later, request(2, 2), request(3, 1), request(4, 0)] {
        assert_eq!(
            queue.offer(request, Duration::ZERO).0,
            AdmissionDecision::Wait
        );
    }
    assert_eq!(starts(&mut queue, 8, Duration::ZERO), [4, 3, 1, 2]);
}

/// A caller retries after a refusal when its objective has passed, so its answer has only a
/// third of its value. If it went first for its earlier deadline, calls that are still in
/// time would become late one after the other.
#[test]
fn a_call_that_is_late_already_goes_after_those_in_time() {
    let mut queue = full(8);
    let late = QueueRequest {
        objective: Duration::ZERO,
        expires: ms(500),
        ..request(1, 1)
    };
    assert_eq!(queue.offer(late, Duration::ZERO).0, AdmissionDecision::Wait);
    assert_eq!(
        queue.offer(request(2, 1), Duration::ZERO).0,
        AdmissionDecision::Wait
    );
    assert_eq!(starts(&mut queue, 8, Duration::ZERO), [2, 1]);
}

/// With 4 slots and run times of 100 ms, the wait grows by 25 ms with each call in the
/// queue. A call that would wait for more than its share of the 300 ms to its objective
/// must be refused on arrival, with the time after which there is room.
#[test]
fn a_call_that_would_wait_past_its_objective_is_refused_on_arrival() {
    let mut queue = full(4);
    let decisions: Vec<_> = (0..6)
        .map(|attempt| queue.offer(request(attempt, 0), Duration::ZERO).0)
        .collect();
    let waiting = decisions
        .iter()
        .filter(|it| **it == AdmissionDecision::Wait)
        .count();
    assert_eq!(waiting, 3);
    let AdmissionDecision::Refused(refusal) = decisions[5] else {
        panic!("{:?}", decisions[5]);
    };
    assert_eq!(refusal.reason, Reason::Overload);
    assert_eq!(refusal.retry_after, Some(ms(100)));
}

/// More urgent calls keep arriving. A call behind them that can no longer meet its deadline
/// must be refused before the deadline, while its caller can still retry elsewhere.
#[test]
fn a_call_that_is_displaced_is_refused_before_its_deadline() {
    let mut queue = full(1);
    let patient = QueueRequest {
        objective: Duration::ZERO,
        expires: ms(350),
        ..request(1, 2)
    };
    assert_eq!(
        queue.offer(patient, Duration::ZERO).0,
        AdmissionDecision::Wait
    );
    let urgent = |attempt| QueueRequest {
        objective: ms(2_000),
        expires: ms(3_000),
        ..request(attempt, 0)
    };
    assert_eq!(queue.offer(urgent(2), Duration::ZERO).1, []);
    let (decision, refused) = queue.offer(urgent(3), Duration::ZERO);
    assert_eq!(decision, AdmissionDecision::Wait);
    assert!(matches!(refused[..], [Dispatch::Refused(1, _)]));
}

#[test]
fn a_call_that_cannot_finish_is_refused_and_an_idle_executor_tries_it() {
    let short = QueueRequest {
        expires: ms(50),
        ..request(9, 0)
    };
    let mut queue = full(1);
    let (decision, _) = queue.offer(short.clone(), Duration::ZERO);
    assert_eq!(reason(decision), Some(Reason::Deadline));
    queue.release_unmeasured(AttemptId::MAX);
    assert_eq!(queue.offer(short, Duration::ZERO).0, AdmissionDecision::Run);
}

#[test]
fn a_flush_refuses_all_that_waits_and_nothing_that_runs() {
    let mut queue = full(2);
    queue.offer(request(1, 0), Duration::ZERO);
    let refused = queue.flush(Reason::Draining);
    assert!(matches!(refused[..], [Dispatch::Refused(1, _)]));
    let occupancy = queue.occupancy(Duration::ZERO);
    assert_eq!(occupancy.running, 2);
    assert_eq!(occupancy.queued, 0);
}

/// An idle queue whose target states this limit, at the moment when no request is saved up.
fn limited(limit: &str) -> Queue {
    let mut queue = Queue::new(8);
    let limit = LimitStatement::Limit(limit.parse().expect("a rate"));
    queue.limiter_mut().record(limit, Duration::ZERO);
    queue
}

fn state_limit(queue: &mut Queue, limit: &str, now: Duration) {
    let limit = LimitStatement::Limit(limit.parse().expect("a rate"));
    queue.limiter_mut().record(limit, now);
}

/// All slots are free, and the target gets no more than its limit.
#[test]
fn calls_start_at_the_rate_of_the_targets_limit() {
    let mut queue = limited("25");
    for attempt in 1..=2 {
        let (decision, _) = queue.offer(request(attempt, 0), Duration::ZERO);
        assert_eq!(decision, AdmissionDecision::Wait);
    }
    assert_eq!(queue.next_start(Duration::ZERO), Some(ms(40)));
    assert_eq!(queue.next(ms(39)), []);
    assert_eq!(queue.next(ms(40)), [Dispatch::Run(1)]);
    assert_eq!(queue.next(ms(79)), []);
    assert_eq!(queue.next(ms(80)), [Dispatch::Run(2)]);
    assert_eq!(queue.next_start(ms(80)), None);
}

/// The wait for the limit takes more than the part of the objective that a call may wait. Held
/// back until its deadline, it would be lost to the other targets.
#[test]
fn a_call_without_room_in_the_limit_is_refused_at_once() {
    let mut queue = limited("2");
    let (decision, _) = queue.offer(request(1, 0), Duration::ZERO);
    let AdmissionDecision::Refused(refusal) = decision else {
        panic!("{decision:?}");
    };
    assert_eq!(refusal.reason, Reason::Limited);
    assert_eq!(refusal.retry_after, Some(ms(500)));
    let back = QueueRequest {
        objective: ms(800),
        expires: ms(1_500),
        ..request(2, 0)
    };
    let (decision, _) = queue.offer(back, ms(500));
    assert_eq!(decision, AdmissionDecision::Run);
}

#[test]
fn the_more_urgent_call_gets_the_room_in_the_limit() {
    let mut queue = limited("50");
    for (attempt, rank) in [(1, 2), (2, 2), (3, 0)] {
        let (decision, _) = queue.offer(request(attempt, rank), Duration::ZERO);
        assert_eq!(decision, AdmissionDecision::Wait);
    }
    assert_eq!(queue.next(ms(20)), [Dispatch::Run(3)]);
}

/// The limit falls while calls wait. Those that it leaves no time for are refused then, and
/// not when their deadline has passed.
#[test]
fn calls_that_a_lower_limit_leaves_no_time_for_are_refused() {
    let mut queue = limited("50");
    for attempt in 1..=3 {
        let (decision, _) = queue.offer(request(attempt, 0), Duration::ZERO);
        assert_eq!(decision, AdmissionDecision::Wait);
    }
    state_limit(&mut queue, "0.8", ms(5));
    let dispatches = queue.next(ms(20));
    let refused = |it: &Dispatch| matches!(it, Dispatch::Refused(..));
    assert_eq!(dispatches.iter().filter(|it| refused(it)).count(), 2);
    assert_eq!(queue.occupancy(ms(20)).queued, 0);
    assert_eq!(queue.occupancy(ms(20)).running, 1);
}

/// Results of calls during 20 s of 1.6 times the target's capacity, with uneven run times:
/// answers within the objective, later answers, and refusals.
#[derive(Debug, Default)]
struct Outcome {
    in_time: u32,
    late: u32,
    refused: u32,
}

struct Load {
    rng: Xoshiro256PlusPlus,
    slots: u32,
}

impl Load {
    const OBJECTIVE: Duration = Duration::from_millis(300);
    const DEADLINE: Duration = Duration::from_secs(1);

    /// Draws a run time of a fifth to some three times the mean, mostly below it.
    fn run_time(&mut self) -> Duration {
        let draw: f64 = self.rng.random();
        SERVICE.mul_f64(0.2 + 2.8 * draw * draw * draw * 1.14)
    }

    /// Simulates the load. `admits` decides about a call on arrival, and `next` about the
    /// waiting calls after a run has ended.
    fn simulate(
        &mut self,
        mut admits: impl FnMut(AttemptId, Duration) -> AdmissionDecision,
        mut next: impl FnMut(Option<AttemptId>, Duration) -> Vec<Dispatch>,
    ) -> Outcome {
        let gap = SERVICE / self.slots * 10 / 16;
        let mut outcome = Outcome::default();
        let mut ends: Vec<(Duration, AttemptId, Duration)> = Vec::new();
        let mut arrivals = 0;
        let mut now = Duration::ZERO;
        while now < Duration::from_secs(20) {
            now += MS;
            let due: Vec<_> = ends.extract_if(.., |it| it.0 <= now).collect();
            for (end, attempt, arrived) in due {
                let took = end.saturating_sub(arrived);
                if took <= Self::OBJECTIVE {
                    outcome.in_time += 1;
                } else if took <= Self::DEADLINE {
                    outcome.late += 1;
                }
                for dispatch in next(Some(attempt), now) {
                    self.take(dispatch, now, &mut ends, &mut outcome);
                }
            }
            while gap * arrivals <= now {
                let arrived = gap * arrivals;
                arrivals += 1;
                let attempt = arrived.as_nanos();
                match admits(attempt, now) {
                    AdmissionDecision::Run => ends.push((now + self.run_time(), attempt, arrived)),
                    AdmissionDecision::Wait => {}
                    AdmissionDecision::Refused(_) => outcome.refused += 1,
                }
            }
        }
        outcome
    }

    fn take(
        &mut self,
        dispatch: Dispatch,
        now: Duration,
        ends: &mut Vec<(Duration, AttemptId, Duration)>,
        outcome: &mut Outcome,
    ) {
        match dispatch {
            Dispatch::Run(attempt) => {
                let nanos = u64::try_from(attempt).expect("a time of this run");
                let arrived = Duration::from_nanos(nanos);
                ends.push((now + self.run_time(), attempt, arrived));
            }
            Dispatch::Refused(..) => outcome.refused += 1,
        }
    }
}

fn load() -> Load {
    Load {
        rng: Xoshiro256PlusPlus::seed_from_u64(7),
        slots: 13,
    }
}

fn with_priority_queue() -> Outcome {
    let queue = std::cell::RefCell::new(Queue::new(13));
    let offer = |attempt, now| {
        let request = QueueRequest {
            objective: now + Load::OBJECTIVE,
            expires: now + Load::DEADLINE,
            ..request(attempt, 0)
        };
        queue.borrow_mut().offer(request, now).0
    };
    let next = |ended: Option<AttemptId>, now| {
        let mut queue = queue.borrow_mut();
        if let Some(attempt) = ended {
            queue.release(attempt, now);
        }
        queue.next(now)
    };
    load().simulate(offer, next)
}

/// A first-in, first-out queue, from which calls are removed at their deadline.
fn with_fifo_queue() -> Outcome {
    use std::cell::RefCell;
    use std::collections::VecDeque;
    let free = RefCell::new(13_u32);
    let waiting: RefCell<VecDeque<AttemptId>> = RefCell::default();
    let offer = |attempt, _| {
        if *free.borrow() > 0 {
            *free.borrow_mut() -= 1;
            return AdmissionDecision::Run;
        }
        waiting.borrow_mut().push_back(attempt);
        AdmissionDecision::Wait
    };
    let next = |_, now: Duration| {
        let still_waits = |it: &AttemptId| *it + Load::DEADLINE.as_nanos() > now.as_nanos();
        let mut waiting = waiting.borrow_mut();
        waiting.retain(still_waits);
        waiting.pop_front().map(Dispatch::Run).into_iter().collect()
    };
    load().simulate(offer, next)
}

/// The load is 1.6 times the target's capacity. With a first-in, first-out queue the waits
/// grow until nearly all answers are late, while the target is as busy as before. The
/// priority queue must keep most answers in time by refusing calls that would be late.
#[test]
fn under_overload_most_admitted_calls_are_answered_in_time() {
    let (priority, fifo) = (with_priority_queue(), with_fifo_queue());
    let share = |it: &Outcome| f64::from(it.in_time) / f64::from(it.in_time + it.late);
    // One run in twelve alone takes longer than the objective.
    assert!(share(&priority) > 0.8, "{priority:?}");
    assert!(priority.in_time > fifo.in_time * 5, "{priority:?} {fifo:?}");
    // The refusals must not leave slots idle.
    let done = |it: &Outcome| f64::from(it.in_time + it.late);
    assert!(
        done(&priority) > done(&fifo) * 0.95,
        "{priority:?} {fifo:?}"
    );
}

/// Two kinds of calls of one rank exceed the capacity. If only deadlines counted, the kind
/// with the shorter deadlines would get every slot and the other one would starve.
#[test]
fn kinds_of_one_rank_get_similar_shares() {
    let mut queue = full(1);
    let mut started = std::collections::BTreeMap::new();
    let mut running = AttemptId::MAX;
    let kinds = [("profiles", 400), ("matches", 250)];
    for round in 0..200_u32 {
        let now = ms(100) * round;
        for (index, (kind, deadline)) in kinds.iter().enumerate() {
            let request = QueueRequest {
                kind: (*kind).into(),
                objective: now + ms(deadline * 4),
                expires: now + ms(deadline * 4),
                ..request(AttemptId::from(round) * 2 + index as u128, 1)
            };
            queue.offer(request, now);
        }
        queue.release(running, now);
        for dispatch in queue.next(now) {
            if let Dispatch::Run(attempt) = dispatch {
                running = attempt;
                *started.entry(attempt % 2).or_insert(0) += 1;
            }
        }
    }
    assert!(started[&0] > 60 && started[&1] > 60, "{started:?}");
}

/// The answer would come after the objective although the wait is short. The refusal must be the
/// decision itself: the attempt does not wait for a dispatch yet.
#[test]
fn a_call_that_would_be_late_by_the_limit_is_refused_by_the_decision() {
    let mut queue = limited("25");
    queue.offer(request(1, 0), Duration::ZERO);
    assert_eq!(queue.next(ms(40)), [Dispatch::Run(1)]);
    queue.release(1, ms(290));
    for _ in 0..5 {
        queue.limiter_mut().record_sent(ms(290));
    }
    assert_eq!(queue.limiter().wait(0, ms(290)), ms(40));
    let late = QueueRequest {
        objective: ms(540),
        expires: ms(1_290),
        ..request(2, 0)
    };
    let (decision, displaced) = queue.offer(late, ms(290));
    assert_eq!(reason(decision), Some(Reason::Limited));
    assert!(displaced.is_empty(), "{displaced:?}");
}

/// More urgent calls use up the limit. A call behind them used to be held until its deadline.
#[test]
fn a_call_that_more_urgent_ones_make_late_by_the_limit_is_refused_then() {
    let mut queue = limited("25");
    assert_eq!(
        queue.offer(request(1, 2), Duration::ZERO).0,
        AdmissionDecision::Wait
    );
    let mut now = Duration::ZERO;
    for attempt in 2..40 {
        now += ms(20);
        let (_, mut dispatches) = queue.offer(request(attempt, 0), now);
        dispatches.extend(queue.next(now));
        let refused = |it: &&Dispatch| matches!(it, Dispatch::Refused(1, _));
        if let Some(Dispatch::Refused(_, refusal)) = dispatches.iter().find(refused) {
            assert_eq!(refusal.reason, Reason::Limited);
            assert!(now <= ms(300), "{now:?}");
            return;
        }
    }
    panic!("the call still waits");
}
