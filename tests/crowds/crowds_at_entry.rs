//! Crowds at a daemon without a target, which forwards to another one.

use std::thread;
use std::time::Duration;

use serde_json::json;

use crate::crowd::{Crowd, Framing, Misbehaviour};
use crate::limits::{Limited, Limits, SMALL, USUAL, alone};
use crate::support::process::addr;

const MIB: usize = 1 << 20;

/// Starts an executor with its target, and an entry without one.
fn start(test: u8, limits: Limits) -> (Limited, Limited) {
    let executor = Limited::start(test, limits);
    let store = json!({"address": addr(test, 5)});
    let fields = json!({"node": "n1", "platform": store});
    let entry = Limited::start_daemon(test + 1, limits, fields);
    entry.serves("at first");
    (executor, entry)
}

fn check(test: u8, limits: Limits, callers: usize, what: Misbehaviour) {
    let _alone = alone();
    let (executor, entry) = start(test, limits);
    let crowd = Crowd::gather(entry.callers(), callers, what);
    thread::sleep(Duration::from_secs(1));
    entry.serves("beside");
    executor.serves("beside");
    drop(crowd);
    entry.serves("afterwards");
    entry.ends_within_limits();
    executor.ends_within_limits();
}

/// A single request inside the limits is served in calm.
#[test]
fn one_body_of_the_largest_size_is_forwarded() {
    let _alone = alone();
    let (executor, entry) = start(30, USUAL);
    let what = Misbehaviour::SendsWhole(Framing::Stated, 64 * MIB);
    let mut crowd = Crowd::gather(entry.callers(), 1, what);
    assert_eq!(crowd.statuses(Duration::from_mins(1)), [200]);
    entry.ends_within_limits();
    executor.ends_within_limits();
}

/// Guards against bodies that are held several times on their way to another daemon.
#[test]
fn four_bodies_of_the_largest_size_are_forwarded() {
    let what = Misbehaviour::SendsWhole(Framing::Stated, 64 * MIB);
    check(32, USUAL, 4, what);
}

/// Guards against many bodies on their way to one daemon.
#[test]
fn whole_bodies_are_forwarded_at_once() {
    let what = Misbehaviour::SendsWhole(Framing::Stated, MIB);
    check(34, SMALL, 100, what);
}

/// Guards against large answers of another daemon that nobody reads.
#[test]
fn answers_of_another_daemon_that_are_not_read() {
    check(36, SMALL, 12, Misbehaviour::DoesNotRead);
}
