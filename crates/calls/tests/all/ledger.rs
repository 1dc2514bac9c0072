use std::sync::Arc;
use std::time::Duration;

use stoatstep_calls::{Answer, Arrival, Ledger, LedgerConfig, Reason, Settled, Ticket};

const SECOND: Duration = Duration::from_secs(1);
const LIFE: Duration = Duration::from_secs(10);

fn ledger() -> Ledger {
    let cfg = LedgerConfig {
        ticket_life: LIFE,
        records: 4,
        answer_bytes: 1_000,
    };
    Ledger::new(7, cfg)
}

fn answer(bytes: usize) -> Arc<Answer> {
    Arc::new(Answer {
        status: 200,
        headers: Vec::new(),
        body: vec![b'x'; bytes],
    })
}

fn reason(arrival: &Arrival) -> Option<Reason> {
    match arrival {
        Arrival::Refused(refusal) => Some(refusal.reason),
        Arrival::New | Arrival::Seen(_) => None,
    }
}

// The caller is told "not run" and sends again. The first request was stuck on
// the way and comes in after the revoke. Without the fence it would run beside
// the second one.
#[test]
fn late_arrival_after_revoke_does_not_run() {
    let mut ledger = ledger();
    let ticket = ledger.ticket(SECOND);
    assert_eq!(ledger.revoke(1, ticket, 2 * SECOND), Settled::NotRun);
    let late = ledger.arrive(1, ticket, 3 * SECOND);
    assert_eq!(reason(&late), Some(Reason::Revoked));
}

// The fence is forgotten to bound memory, and the stuck request comes in after
// that. Its ticket is older than any fence that was forgotten.
#[test]
fn late_arrival_after_the_fence_was_forgotten_does_not_run() {
    let mut ledger = ledger();
    let ticket = ledger.ticket(SECOND);
    ledger.revoke(1, ticket, 2 * SECOND);
    let later = 2 * SECOND + LIFE;
    ledger.tick(later);
    assert!(ledger.is_empty());
    assert_eq!(
        reason(&ledger.arrive(1, ticket, later)),
        Some(Reason::StaleTicket)
    );
}

// An entry was frozen and asks about an attempt whose record is gone. It ran,
// so "never seen, hence not run" would be untrue.
#[test]
fn revoke_with_an_old_ticket_is_unknown() {
    let mut ledger = ledger();
    let ticket = ledger.ticket(SECOND);
    assert_eq!(ledger.arrive(1, ticket, SECOND), Arrival::New);
    assert!(ledger.start(1));
    ledger.done(1, answer(10));
    ledger.tick(SECOND + LIFE);
    assert_eq!(ledger.revoke(1, ticket, SECOND + LIFE), Settled::Unknown);
}

// The executor restarts while an attempt runs. The new process has never seen
// the attempt, but its predecessor may have run it.
#[test]
fn restarted_executor_vouches_for_nothing() {
    let ticket = Ticket {
        incarnation: 6,
        stamp: SECOND,
    };
    let mut ledger = ledger();
    assert_eq!(ledger.revoke(1, ticket, SECOND), Settled::Unknown);
    assert_eq!(
        reason(&ledger.arrive(1, ticket, SECOND)),
        Some(Reason::StaleTicket)
    );
}

// A queued attempt is revoked, its entry tries elsewhere, and then the slot
// comes free. The attempt must not start any more.
#[test]
fn revoked_while_queued_does_not_start() {
    let mut ledger = ledger();
    let ticket = ledger.ticket(SECOND);
    ledger.arrive(1, ticket, SECOND);
    assert_eq!(ledger.revoke(1, ticket, SECOND), Settled::NotRun);
    assert!(!ledger.start(1));
}

// The answer's connection breaks after the run. The entry revokes and gets the
// whole answer; a copy of the request does not run again.
#[test]
fn finished_attempt_hands_over_its_answer() {
    let mut ledger = ledger();
    let ticket = ledger.ticket(SECOND);
    ledger.arrive(1, ticket, SECOND);
    assert!(ledger.start(1));
    assert_eq!(ledger.revoke(1, ticket, SECOND), Settled::Running);
    ledger.done(1, answer(10));
    let done = Settled::Done(answer(10));
    assert_eq!(ledger.revoke(1, ticket, SECOND), done);
    assert_eq!(ledger.arrive(1, ticket, SECOND), Arrival::Seen(done));
}

// The ledger is full of attempts that run. A revoke still gets a true "not
// run", since every ticket issued so far is refused from then on.
#[test]
fn full_ledger_still_fences() {
    let mut ledger = ledger();
    let ticket = ledger.ticket(SECOND);
    for attempt in 1..=4 {
        assert_eq!(ledger.arrive(attempt, ticket, SECOND), Arrival::New);
    }
    let fifth = ledger.arrive(5, ticket, SECOND);
    assert_eq!(reason(&fifth), Some(Reason::MemoryFull));
    assert_eq!(ledger.revoke(6, ticket, 2 * SECOND), Settled::NotRun);
    ledger.tick(SECOND);
    let late = ledger.arrive(6, ticket, 3 * SECOND);
    assert_eq!(reason(&late), Some(Reason::StaleTicket));
    assert_eq!(ledger.revoke(6, ticket, 3 * SECOND), Settled::NotRun);
}

// The caller is told "not run, memory full" and may send again. A second copy of
// the refused attempt is still on its way and comes in after records have gone.
// There was no room to remember the refusal by, so only its ticket tells.
#[test]
fn copy_of_what_was_refused_while_full_does_not_run() {
    let mut ledger = ledger();
    let first = ledger.ticket(Duration::ZERO);
    for attempt in 1..=4 {
        assert_eq!(ledger.arrive(attempt, first, SECOND), Arrival::New);
        ledger.refused(attempt);
    }
    let ticket = ledger.ticket(5 * SECOND);
    let fifth = ledger.arrive(5, ticket, 6 * SECOND);
    assert_eq!(reason(&fifth), Some(Reason::MemoryFull));
    ledger.tick(12 * SECOND);
    assert!(ledger.is_empty());
    let copy = ledger.arrive(5, ticket, 12 * SECOND);
    assert_eq!(reason(&copy), Some(Reason::StaleTicket));
    let again = ledger.arrive(6, ledger.ticket(12 * SECOND), 12 * SECOND);
    assert_eq!(again, Arrival::New);
}

// Answers are dropped for room, oldest first. The attempt stays "ran": dropping
// its record would make it look as if it had never come in.
#[test]
fn dropped_answer_is_still_a_run() {
    let mut ledger = ledger();
    let ticket = ledger.ticket(SECOND);
    for attempt in 1..=3 {
        ledger.arrive(attempt, ticket, SECOND);
        assert!(ledger.start(attempt));
        ledger.done(attempt, answer(300));
    }
    let first = ledger.revoke(1, ticket, SECOND);
    assert_eq!(first, Settled::DoneWithoutAnswer);
    assert_eq!(ledger.revoke(3, ticket, SECOND), Settled::Done(answer(300)));
}

// A call outlives its ticket. Its record must stay, or a revoke would find
// nothing and the run would be forgotten while it goes on.
#[test]
fn running_record_outlives_its_time() {
    let mut ledger = ledger();
    let ticket = ledger.ticket(SECOND);
    ledger.arrive(1, ticket, SECOND);
    assert!(ledger.start(1));
    ledger.tick(SECOND + 2 * LIFE);
    assert_eq!(ledger.peek(1, ticket, SECOND + 2 * LIFE), Settled::Running);
}

#[test]
fn peek_does_not_fence() {
    let mut ledger = ledger();
    let ticket = ledger.ticket(SECOND);
    assert_eq!(ledger.peek(1, ticket, SECOND), Settled::NeverSeen);
    assert_eq!(ledger.arrive(1, ticket, SECOND), Arrival::New);
}
