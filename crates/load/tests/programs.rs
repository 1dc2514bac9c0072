//! How the programs of this crate take their arguments.

use std::process::{Command, Output};

fn run(program: &str, args: &[&str]) -> Output {
    Command::new(program).args(args).output().unwrap()
}

#[test]
fn an_unknown_experiment_is_named_beside_the_known_ones() {
    let out = run(env!("CARGO_BIN_EXE_stoat-measure"), &["hop", "hopp"]);
    assert_eq!(out.status.code(), Some(2));
    let text = String::from_utf8(out.stderr).unwrap();
    assert!(
        text.contains("hopp:") && text.contains("overload"),
        "{text}"
    );
}

#[test]
fn a_measurement_without_an_experiment_lists_them() {
    let out = run(env!("CARGO_BIN_EXE_stoat-measure"), &[]);
    assert_eq!(out.status.code(), Some(2));
    let text = String::from_utf8(out.stderr).unwrap();
    assert!(text.contains("convergence"), "{text}");
}

#[test]
fn a_wrong_route_of_the_plain_router_is_named() {
    let args = ["--addr=127.0.0.1:0", "--routes=/floats"];
    let out = run(env!("CARGO_BIN_EXE_stoat-baseline"), &args);
    assert_eq!(out.status.code(), Some(2));
    let text = String::from_utf8(out.stderr).unwrap();
    assert!(text.contains("--routes"), "{text}");
}
