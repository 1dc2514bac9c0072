//! `stoatctl explain`, from log lines as daemons write them.

use std::io::Write;
use std::process::{Command, Stdio};

/// What three daemons logged, mixed up as a collector brings it.
const LINES: &str = include_str!("../logs/three-failures.jsonl");

/// What the executor and the entry logged of a call behind a copy of another call's answer.
const LATE_COPY: &str = include_str!("../logs/late-copy.jsonl");

fn explain(request: &str) -> (bool, String) {
    explain_from(request, LINES)
}

fn explain_from(request: &str, lines: &str) -> (bool, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_stoatctl"));
    read_lines(command.args(["explain", request]), lines)
}

/// Has a command read these lines; gives whether it succeeded, and what it printed.
pub(crate) fn read_lines(command: &mut Command, lines: &str) -> (bool, String) {
    let command = command.stdin(Stdio::piped()).stdout(Stdio::piped());
    let mut child = command.spawn().expect("the program starts");
    let mut stdin = child.stdin.take().expect("a pipe");
    stdin.write_all(lines.as_bytes()).expect("it reads");
    drop(stdin);
    let output = child.wait_with_output().expect("it ends");
    let text = String::from_utf8(output.stdout).expect("text");
    (output.status.success(), text)
}

#[test]
fn a_refusal_leads_to_the_queue_that_was_too_long() {
    let (found, text) = explain("r-refused");
    assert!(found);
    let order = ["executor of i-a", "entry: attempt at i-a", "entry: not-run"];
    let places: Vec<_> = order.iter().map(|it| text.find(it)).collect();
    assert!(places.is_sorted() && places[0].is_some(), "{text}");
    assert!(text.contains("13 running and 9 waiting"), "{text}");
    assert!(text.contains("=> it did not run and never will"), "{text}");
}

#[test]
fn an_unknown_outcome_leads_to_the_lost_answer() {
    let (found, text) = explain("r-unknown");
    assert!(found);
    assert!(text.contains("its target got to see it"), "{text}");
    assert!(
        text.contains("=> it may have run, and its answer is lost"),
        "{text}"
    );
}

#[test]
fn a_late_answer_leads_to_where_its_time_went() {
    let (found, text) = explain("r-late");
    assert!(found);
    assert!(text.contains("waiting for a slot"), "{text}");
}

#[test]
fn a_request_that_no_line_speaks_of_is_said_to_be_so() {
    let (found, text) = explain("r-nowhere");
    assert!(!found);
    assert!(text.contains("no line speaks of it"), "{text}");
}

#[test]
fn a_call_that_an_exit_cut_off_is_told_with_where_its_answer_was() {
    let (found, text) = explain("r-cut-off");
    assert!(found);
    assert!(
        text.contains("executor: 0 of 90000 bytes of its answer sent (link-lost, late)"),
        "{text}"
    );
    assert!(text.contains("while i-8 had it"), "{text}");
    assert!(
        text.contains("=> its daemon exited before it ended"),
        "{text}"
    );
}

#[test]
fn a_caller_that_left_is_told_from_a_daemon_that_died() {
    let (found, text) = explain("r-left");
    assert!(found);
    assert!(text.contains("its caller left after 41 ms"), "{text}");
    assert!(
        text.contains("=> its caller left before it ended"),
        "{text}"
    );
}

/// Guards against an answer that was not believed and leaves no trace at the call that waited.
#[test]
fn an_answer_to_another_request_is_shown_with_both_ids() {
    let (found, text) = explain_from("r-copied", LATE_COPY);
    assert!(found);
    assert!(
        text.contains("x-attempt-id is r-refused in place of r-copied"),
        "{text}"
    );
    assert!(text.contains("=> it was answered in time"), "{text}");
}
