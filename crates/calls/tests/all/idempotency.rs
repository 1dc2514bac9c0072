use std::sync::Arc;
use std::time::Duration;

use stoatstep_calls::{
    Answer, Fingerprint, HomeAnswer, IdempotencyConfig, IdempotencyKey, IdempotencyTable,
    KeyDecision, KeyError, KeyText, Reason,
};
use uuid::{NoContext, Timestamp, Uuid};

const START: Duration = Duration::from_secs(1_000_000);
const SECOND: Duration = Duration::from_secs(1);
const MINUTE: Duration = Duration::from_mins(1);
const REQUEST: Fingerprint = Fingerprint(1);

/// A key made at `created`.
pub(crate) fn timed_key(created: Duration) -> IdempotencyKey {
    let stamp = Timestamp::from_unix(NoContext, created.as_secs(), created.subsec_nanos());
    key(&Uuid::new_v7(stamp).to_string())
}

fn key(text: &str) -> IdempotencyKey {
    IdempotencyKey {
        service: "floatdesk".into(),
        tenant: "elm-school".into(),
        key: KeyText::try_from(text).expect("the key is well formed"),
    }
}

fn table() -> IdempotencyTable {
    IdempotencyTable::new(START, IdempotencyConfig::default())
}

fn answer() -> Arc<Answer> {
    Arc::new(Answer {
        status: 201,
        headers: Vec::new(),
        body: b"claim 17".to_vec().into(),
    })
}

fn reason(begin: &KeyDecision) -> Option<Reason> {
    match begin {
        KeyDecision::Refused(refusal) => Some(refusal.reason),
        KeyDecision::Run | KeyDecision::Wait(_) | KeyDecision::Replay(_) => None,
    }
}

// A caller does not receive the answer and sends its request again with the same key. It
// gets the answer of the first run, and the request does not run twice.
#[test]
fn same_key_runs_once() {
    let mut table = table();
    let now = START + MINUTE;
    let key = timed_key(now);
    assert_eq!(table.begin(&key, REQUEST, 1, now), KeyDecision::Run);
    assert_eq!(table.begin(&key, REQUEST, 2, now), KeyDecision::Wait(1));
    table.done(&key, 1, answer());
    assert_eq!(
        table.begin(&key, REQUEST, 3, now),
        KeyDecision::Replay(answer())
    );
}

// A request ran at the home of its key, and its caller retries while a previous home is down. The
// home knows the outcome without asking the previous home, so the caller must get the
// answer and not "not run". For an unknown key the table returns nothing.
#[test]
fn what_ran_here_is_known_without_asking_previous_homes() {
    let mut table = table();
    let now = START + MINUTE;
    let key = timed_key(now);
    assert_eq!(table.lookup(&key, REQUEST), None);
    assert_eq!(table.begin(&key, REQUEST, 1, now), KeyDecision::Run);
    assert_eq!(table.lookup(&key, REQUEST), Some(KeyDecision::Wait(1)));
    table.done(&key, 1, answer());
    assert_eq!(
        table.lookup(&key, REQUEST),
        Some(KeyDecision::Replay(answer()))
    );
    let reused = table.lookup(&key, Fingerprint(2));
    assert_eq!(reused.as_ref().and_then(reason), Some(Reason::KeyReused));
}

// The daemon restarts between a call and its retry. The new process has no record of
// the first call, so it must not treat the key as a new one.
#[test]
fn key_from_before_the_start_is_unsettled() {
    let mut table = table();
    let now = START + MINUTE;
    let within_skew = timed_key(START + SECOND);
    let begin = table.begin(&within_skew, REQUEST, 1, now);
    assert_eq!(reason(&begin), Some(Reason::KeyUnsettled));
    assert_eq!(table.status_for_new_home(&within_skew), HomeAnswer::Unknown);
}

// A caller whose clock is ahead by the maximum skew makes a key at the moment at which
// this process starts, and the previous process runs it. The creation time of the key
// is the last one about which the new process must not decide.
#[test]
fn key_from_the_moment_of_the_start_is_unsettled() {
    let mut table = table();
    let now = START + MINUTE;
    let at_the_bound = timed_key(START + 2 * SECOND);
    let begin = table.begin(&at_the_bound, REQUEST, 1, now);
    assert_eq!(reason(&begin), Some(Reason::KeyUnsettled));
    assert_eq!(
        table.status_for_new_home(&at_the_bound),
        HomeAnswer::Unknown
    );
    let after = timed_key(START + 3 * SECOND);
    assert_eq!(table.begin(&after, REQUEST, 2, now), KeyDecision::Run);
}

// The home of a key moves to this executor. The clock of the previous home is ahead by
// the maximum skew: it has just dropped the record of the run and replies that the key
// never ran. By this executor's clock, the key expires at this very moment.
#[test]
fn key_is_expired_here_once_a_previous_home_may_have_dropped_it() {
    let mut table = table();
    let key = timed_key(START + MINUTE);
    let begin = table.begin(&key, REQUEST, 1, START + 11 * MINUTE);
    assert_eq!(reason(&begin), Some(Reason::KeyExpired));
}

// The record of a run has expired, and the caller retries after that.
#[test]
fn key_older_than_its_record_is_expired() {
    let mut table = table();
    let now = START + MINUTE;
    let key = timed_key(now);
    assert_eq!(table.begin(&key, REQUEST, 1, now), KeyDecision::Run);
    table.done(&key, 1, answer());
    let later = now + 11 * MINUTE;
    table.tick(later);
    assert!(table.is_empty());
    let begin = table.begin(&key, REQUEST, 2, later);
    assert_eq!(reason(&begin), Some(Reason::KeyExpired));
}

// A key with a creation time of tomorrow would be accepted for a day, long after its
// record has expired.
#[test]
fn key_from_the_future_is_refused() {
    let now = START + MINUTE;
    let begin = table().begin(&timed_key(now + 5 * SECOND), REQUEST, 1, now);
    assert_eq!(reason(&begin), Some(Reason::KeyFromFuture));
}

// The connection to the target breaks during a run. It is unknown whether the request
// ran, so a retry must not run it.
#[test]
fn broken_run_keeps_the_key_taken() {
    let mut table = table();
    let now = START + MINUTE;
    let key = timed_key(now);
    table.begin(&key, REQUEST, 1, now);
    table.lost(&key, 1);
    let begin = table.begin(&key, REQUEST, 2, now);
    assert_eq!(reason(&begin), Some(Reason::LostAnswer));
}

// The queue refuses the first attempt as not run, so a second one may run. Late reports
// about the first attempt must not release or complete the key of the second.
#[test]
fn late_report_of_a_refused_attempt_does_not_change_the_next() {
    let mut table = table();
    let now = START + MINUTE;
    let key = timed_key(now);
    table.begin(&key, REQUEST, 1, now);
    table.release(&key, 1);
    assert_eq!(table.begin(&key, REQUEST, 2, now), KeyDecision::Run);
    table.release(&key, 1);
    table.done(&key, 1, answer());
    assert_eq!(table.begin(&key, REQUEST, 3, now), KeyDecision::Wait(2));
}

#[test]
fn key_with_another_request_is_refused() {
    let mut table = table();
    let now = START + MINUTE;
    let key = timed_key(now);
    table.begin(&key, REQUEST, 1, now);
    let begin = table.begin(&key, Fingerprint(2), 2, now);
    assert_eq!(reason(&begin), Some(Reason::KeyReused));
}

// Keys arrive faster than they expire. New ones are refused as not run, and no key
// that may still be retried is dropped.
#[test]
fn full_table_refuses_instead_of_dropping_keys() {
    let mut table = IdempotencyTable::new(START, IdempotencyConfig::default().keys(1));
    let now = START + MINUTE;
    let first = timed_key(now);
    assert_eq!(table.begin(&first, REQUEST, 1, now), KeyDecision::Run);
    let second = table.begin(&timed_key(now), REQUEST, 2, now);
    assert_eq!(reason(&second), Some(Reason::MemoryFull));
    assert_eq!(table.begin(&first, REQUEST, 3, now), KeyDecision::Wait(1));
}

// The first attempt of a key without a creation time was refused, and the key is used
// again later. The expiry of the first record must not drop the second one.
#[test]
fn reused_plain_key_has_its_own_expiry() {
    let mut table = table();
    let key = key("refund-2211");
    table.begin(&key, REQUEST, 1, START);
    table.release(&key, 1);
    let reused = START + 9 * MINUTE;
    table.begin(&key, REQUEST, 2, reused);
    table.done(&key, 2, answer());
    let now = START + 15 * MINUTE;
    table.tick(now);
    assert_eq!(
        table.begin(&key, REQUEST, 3, now),
        KeyDecision::Replay(answer())
    );
}

#[test]
fn keys_are_checked() {
    assert_eq!(KeyText::try_from(""), Err(KeyError::Empty));
    assert_eq!(KeyText::try_from("a b"), Err(KeyError::NotGraphic));
    let long = "k".repeat(65);
    assert_eq!(KeyText::try_from(long.as_str()), Err(KeyError::TooLong(65)));
    let upper = "01890A5D-AC96-774B-BCCE-B302099A8057";
    let lower = KeyText::try_from(upper.to_lowercase().as_str());
    assert_eq!(KeyText::try_from(upper), lower);
    assert!(lower.is_ok_and(|it| it.created().is_some()));
}

// A home is restarted as planned while callers retry. The new process restores the
// table: a key that ran gets its answer and a key that did not run may run, although
// both were made before the process started.
#[test]
fn restored_table_decides_about_keys_older_than_the_process() {
    let made = START + MINUTE;
    let (ran, new) = (timed_key(made), timed_key(made + SECOND));
    let mut before = table();
    assert_eq!(before.begin(&ran, REQUEST, 1, made), KeyDecision::Run);
    assert_eq!(before.snapshot(), None, "a request is still running");
    before.done(&ran, 1, answer());
    let snapshot = before.snapshot().expect("nothing runs");

    let restarted = made + 3 * SECOND;
    let mut after = IdempotencyTable::new(restarted, IdempotencyConfig::default());
    let unsettled = after.begin(&new, REQUEST, 2, restarted);
    assert_eq!(reason(&unsettled), Some(Reason::KeyUnsettled));
    after.restore(snapshot);
    assert_eq!(
        after.begin(&ran, REQUEST, 3, restarted),
        KeyDecision::Replay(answer())
    );
    assert_eq!(after.begin(&new, REQUEST, 4, restarted), KeyDecision::Run);
    assert_eq!(after.len(), 2);
    after.tick(made + Duration::from_mins(20));
    assert_eq!(after.len(), 1, "only the running request is kept");
}
