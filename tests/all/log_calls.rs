//! `stoatctl calls`, from log lines as daemons write them.

use std::process::Command;

use crate::explain::read_lines;

/// What two daemons logged in eight seconds, mixed up as a collector brings it.
const LINES: &str = include_str!("../logs/calls.jsonl");

fn calls(args: &[&str]) -> (bool, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_stoatctl"));
    read_lines(command.arg("calls").args(args), LINES)
}

#[test]
fn calls_are_added_up_by_route_and_span() {
    let (found, text) = calls(&["--span", "5s"]);
    assert!(found);
    assert_eq!(
        text.trim_end(),
        include_str!("../logs/calls.txt").trim_end()
    );
}

#[test]
fn without_a_span_the_whole_hour_is_one() {
    let (_, text) = calls(&[]);
    assert_eq!(text.lines().count(), 1 + 2 + 1, "{text}");
}

#[test]
fn programs_get_every_count() {
    let (_, text) = calls(&["--output", "json"]);
    let report: serde_json::Value = serde_json::from_str(&text).expect("JSON");
    let claims = &report["rows"][0];
    assert_eq!(claims["route"], "r-claims");
    assert_eq!(claims["not_run"]["overload"], 2);
    assert_eq!(claims["unknown"]["lost-answer"], 1);
    assert_eq!(report["left_out"], 2);
}

#[test]
fn lines_of_others_make_no_calls() {
    let mut command = Command::new(env!("CARGO_BIN_EXE_stoatctl"));
    let (found, text) = read_lines(command.arg("calls"), "nothing of ours\n{}\n");
    assert!(!found);
    assert!(text.contains("no line speaks of a call"), "{text}");
}
