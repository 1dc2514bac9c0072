use std::sync::Arc;
use std::time::Duration;

use stoatstep_calls::{Answer, Arrival, AttemptStatus, Ledger, LedgerConfig, Reason, Ticket};

const SECOND: Duration = Duration::from_secs(1);
const TICKET_LIFETIME: Duration = Duration::from_secs(10);

fn ledger() -> Ledger {
    let cfg = LedgerConfig {
        ticket_life: TICKET_LIFETIME,
        records: 4,
        answer_bytes: 1_000,
    };
    Ledger::new(7, cfg)
}

fn answer(bytes: usize) -> Arc<Answer> {
    Arc::new(Answer {
        status: 200,
        headers: Vec::new(),
        body: vec![b'x'; bytes].into(),
    })
}

fn reason(arrival: &Arrival) -> Option<Reason> {
    match arrival {
        Arrival::Refused(refusal) => Some(refusal.reason),
        Arrival::New | Arrival::Seen(_) => None,
    }
}

// The caller is told "not run" and sends the request again. The first request was
// delayed on the network and arrives after the revoke. Without the fence, both would
// run.
#[test]
fn late_arrival_after_revoke_does_not_run() {
    let mut ledger = ledger();
    let ticket = ledger.ticket(SECOND);
    assert_eq!(ledger.revoke(1, ticket, 2 * SECOND), AttemptStatus::NotRun);
    let late = ledger.arrive(1, ticket, 3 * SECOND);
    assert_eq!(reason(&late), Some(Reason::Revoked));
}

// The record of the revoke expires, and the delayed request arrives after that. Its
// ticket must have expired by then.
#[test]
fn late_arrival_after_the_fence_was_forgotten_does_not_run() {
    let mut ledger = ledger();
    let ticket = ledger.ticket(SECOND);
    ledger.revoke(1, ticket, 2 * SECOND);
    let later = 2 * SECOND + TICKET_LIFETIME;
    ledger.tick(later);
    assert!(ledger.is_empty());
    assert_eq!(
        reason(&ledger.arrive(1, ticket, later)),
        Some(Reason::StaleTicket)
    );
}

// An entry was suspended for a while and revokes an attempt whose record has expired.
// The attempt ran, so the absence of a record must not be taken for "not run".
#[test]
fn revoke_with_an_old_ticket_is_unknown() {
    let mut ledger = ledger();
    let ticket = ledger.ticket(SECOND);
    assert_eq!(ledger.arrive(1, ticket, SECOND), Arrival::New);
    assert!(ledger.start(1));
    ledger.done(1, answer(10));
    ledger.tick(SECOND + TICKET_LIFETIME);
    assert_eq!(
        ledger.revoke(1, ticket, SECOND + TICKET_LIFETIME),
        AttemptStatus::Unknown
    );
}

// The executor restarts while an attempt is running. The new process has no record of
// the attempt, but the previous one may have run it.
#[test]
fn restarted_executor_knows_nothing_of_earlier_attempts() {
    let ticket = Ticket {
        incarnation: 6,
        stamp: SECOND,
    };
    let mut ledger = ledger();
    assert_eq!(ledger.revoke(1, ticket, SECOND), AttemptStatus::Unknown);
    assert_eq!(
        reason(&ledger.arrive(1, ticket, SECOND)),
        Some(Reason::StaleTicket)
    );
}

// A queued attempt is revoked, its entry retries elsewhere, and then a slot becomes
// free. The revoked attempt must not start.
#[test]
fn revoked_while_queued_does_not_start() {
    let mut ledger = ledger();
    let ticket = ledger.ticket(SECOND);
    ledger.arrive(1, ticket, SECOND);
    assert_eq!(ledger.revoke(1, ticket, SECOND), AttemptStatus::NotRun);
    assert!(!ledger.start(1));
}

// The connection breaks after the run and before the answer was received. The revoke
// returns the complete answer, and a copy of the request does not run again.
#[test]
fn finished_attempt_hands_over_its_answer() {
    let mut ledger = ledger();
    let ticket = ledger.ticket(SECOND);
    ledger.arrive(1, ticket, SECOND);
    assert!(ledger.start(1));
    assert_eq!(ledger.revoke(1, ticket, SECOND), AttemptStatus::Running);
    ledger.done(1, answer(10));
    let done = AttemptStatus::Done(answer(10));
    assert_eq!(ledger.revoke(1, ticket, SECOND), done);
    assert_eq!(ledger.arrive(1, ticket, SECOND), Arrival::Seen(done));
}

// The ledger is full of queued attempts. A revoke may still return "not run", because
// all tickets issued so far are refused from then on.
#[test]
fn full_ledger_still_fences() {
    let mut ledger = ledger();
    let ticket = ledger.ticket(SECOND);
    for attempt in 1..=4 {
        assert_eq!(ledger.arrive(attempt, ticket, SECOND), Arrival::New);
    }
    let fifth = ledger.arrive(5, ticket, SECOND);
    assert_eq!(reason(&fifth), Some(Reason::MemoryFull));
    assert_eq!(ledger.revoke(6, ticket, 2 * SECOND), AttemptStatus::NotRun);
    ledger.tick(SECOND);
    let late = ledger.arrive(6, ticket, 3 * SECOND);
    assert_eq!(reason(&late), Some(Reason::StaleTicket));
    assert_eq!(ledger.revoke(6, ticket, 3 * SECOND), AttemptStatus::NotRun);
}

// The caller is told "not run, memory full" and may retry. A second copy of the
// refused attempt arrives after records have expired. There was no room to record the
// refusal, so the copy must be refused because of its ticket.
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

// The oldest answers are evicted to free memory. The records must stay: without its
// record, an attempt would look as if it had never arrived.
#[test]
fn evicted_answer_is_still_a_run() {
    let mut ledger = ledger();
    let ticket = ledger.ticket(SECOND);
    for attempt in 1..=3 {
        ledger.arrive(attempt, ticket, SECOND);
        assert!(ledger.start(attempt));
        ledger.done(attempt, answer(300));
    }
    let first = ledger.revoke(1, ticket, SECOND);
    assert_eq!(first, AttemptStatus::DoneWithoutAnswer);
    assert_eq!(
        ledger.revoke(3, ticket, SECOND),
        AttemptStatus::Done(answer(300))
    );
}

// A run takes longer than its ticket is valid. Its record must be kept, so that a
// revoke finds the run while it goes on.
#[test]
fn running_record_outlives_its_time() {
    let mut ledger = ledger();
    let ticket = ledger.ticket(SECOND);
    ledger.arrive(1, ticket, SECOND);
    assert!(ledger.start(1));
    ledger.tick(SECOND + 2 * TICKET_LIFETIME);
    assert_eq!(
        ledger.peek(1, ticket, SECOND + 2 * TICKET_LIFETIME),
        AttemptStatus::Running
    );
}

#[test]
fn peek_does_not_fence() {
    let mut ledger = ledger();
    let ticket = ledger.ticket(SECOND);
    assert_eq!(ledger.peek(1, ticket, SECOND), AttemptStatus::NeverSeen);
    assert_eq!(ledger.arrive(1, ticket, SECOND), Arrival::New);
}
