//! Watches resume, never go back and say when they must start anew.

use serde_json::{Value, json};
use stoatstep_ctl::Exit;

use crate::fake::{Fake, nobody};
use crate::program::stoatctl_at;

fn event(version: u64) -> Value {
    let service = json!({"kind": "service", "name": format!("s-{version}")});
    json!({"version": version, "puts": [service], "deletes": []})
}

fn answer(events: &[u64]) -> Value {
    let version = events.last().copied().unwrap_or_default();
    let events: Vec<Value> = events.iter().map(|version| event(*version)).collect();
    json!({"version": version, "events": events})
}

#[test]
fn watch_asks_on_from_what_it_has_shown() {
    let fake = Fake::start();
    fake.answer("/v1/watch", 200, answer(&[3, 4]))
        .answer("/v1/watch", 200, answer(&[5]));
    let done = stoatctl_at(&[fake.addr], "watch --from 2 --until 5");
    assert_eq!(done.exit, Exit::Success, "{}", done.err);
    let expected = "\
version 3  put     service/s-3
version 4  put     service/s-4
version 5  put     service/s-5
";
    assert_eq!(done.out, expected);
    let paths: Vec<String> = fake.seen().into_iter().map(|seen| seen.path).collect();
    assert!(paths[0].starts_with("/v1/watch?from=2&"), "{paths:?}");
    assert!(paths[1].starts_with("/v1/watch?from=4&"), "{paths:?}");
}

#[test]
fn watch_without_a_version_begins_now() {
    let fake = Fake::start();
    fake.answer(
        "/v1/resources/policy",
        200,
        json!({"version": 6, "items": []}),
    )
    .answer("/v1/watch", 200, answer(&[7]));
    let done = stoatctl_at(&[fake.addr], "watch --until 7 --output json");
    assert_eq!(done.exit, Exit::Success, "{}", done.err);
    assert_eq!(serde_json::from_str::<Value>(&done.out).unwrap(), event(7));
}

// The daemon of a watch dies, and the next one lags: its answer begins with
// changes that were shown already. Showing them again after newer ones would
// take a reader back, so they are left out.
#[test]
fn watch_never_goes_back() {
    let fake = Fake::start();
    fake.answer("/v1/watch", 200, answer(&[3, 4]))
        .answer("/v1/watch", 200, answer(&[2, 3]))
        .answer("/v1/watch", 200, answer(&[3, 4, 5]));
    let done = stoatctl_at(&[nobody(), fake.addr], "watch --from 2 --until 5");
    assert_eq!(done.exit, Exit::Success, "{}", done.err);
    let versions: Vec<&str> = done.out.lines().map(|line| &line[8..9]).collect();
    assert_eq!(versions, ["3", "4", "5"]);
}

// A daemon leaves out a change. What follows it cannot be shown, since a reader
// that keeps a copy of the state would go on with a wrong one.
#[test]
fn watch_stops_at_a_gap() {
    let fake = Fake::start();
    fake.answer("/v1/watch", 200, answer(&[3, 5]));
    let done = stoatctl_at(&[fake.addr], "watch --from 2 --until 5");
    assert_eq!(done.exit, Exit::Failure);
    assert_eq!(done.out, "version 3  put     service/s-3\n");
    assert!(done.err.contains("shown up to version 3"), "{}", done.err);
    assert!(
        done.err.contains("version 4 should come next, not 5"),
        "{}",
        done.err
    );
}

// The reader was away for so long that the changes since are no longer held.
#[test]
fn watch_says_when_it_must_start_anew() {
    let fake = Fake::start();
    fake.answer("/v1/watch", 410, json!({"findings": []}));
    let done = stoatctl_at(&[fake.addr], "watch --from 2");
    assert_eq!(done.exit, Exit::NotFound);
    assert!(
        done.err.contains("no longer held; start anew"),
        "{}",
        done.err
    );
}
