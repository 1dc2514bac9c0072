//! Every program says what it can be told, and all that is wrong with it.

use std::process::{Command, Output};

const PROGRAMS: [(&str, &str); 5] = [
    ("stoatstepd", env!("CARGO_BIN_EXE_stoatstepd")),
    ("stoatctl", env!("CARGO_BIN_EXE_stoatctl")),
    ("stoat-platform", env!("CARGO_BIN_EXE_stoat-platform")),
    ("stoat-target", env!("CARGO_BIN_EXE_stoat-target")),
    ("stoat-load", env!("CARGO_BIN_EXE_stoat-load")),
];

/// Runs a program with an environment of its own, so that variables of whoever
/// runs the tests change nothing.
fn run(program: &str, args: &[&str], env: &[(&str, &str)]) -> Output {
    Command::new(program)
        .args(args)
        .env_clear()
        .envs(env.iter().copied())
        .output()
        .expect("a program that starts")
}

fn stdout(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

#[test]
fn help_and_version_are_there_for_every_program() {
    for (name, program) in PROGRAMS {
        let help = run(program, &["--help"], &[]);
        assert_eq!(help.status.code(), Some(0), "{name} --help");
        assert!(stdout(&help).contains(name), "{name}: {}", stdout(&help));
        let version = run(program, &["--version"], &[]);
        assert_eq!(version.status.code(), Some(0), "{name} --version");
        let expected = format!("{name} {}\n", env!("CARGO_PKG_VERSION"));
        assert_eq!(stdout(&version), expected);
    }
}

#[test]
fn unknown_flag_ends_every_program_with_code_two() {
    for (name, program) in PROGRAMS {
        let output = run(program, &["--colour", "red"], &[]);
        assert_eq!(output.status.code(), Some(2), "{name}");
        let text = stderr(&output);
        assert!(text.contains("--colour: is no "), "{name}: {text}");
    }
}

/// An operator starts a daemon with one wrong address, in a variable, and a
/// token that is too short. All that is missing is named as well, and the
/// token isn't printed.
#[test]
fn daemon_reports_every_wrong_setting_at_once() {
    let env = [
        ("STOATSTEP_PEER_ADDR", "here"),
        ("STOATSTEP_PEER_TOKEN", "s3cret"),
    ];
    let (_, daemon) = PROGRAMS[0];
    let output = run(daemon, &[], &env);
    assert_eq!(output.status.code(), Some(2));
    let text = stderr(&output);
    for flag in [
        "--instance (STOATSTEP_INSTANCE)",
        "--zone (STOATSTEP_ZONE)",
        "--upstream (STOATSTEP_UPSTREAM)",
        "--caller-addr (STOATSTEP_CALLER_ADDR)",
        "--peer-addr (STOATSTEP_PEER_ADDR): \"here\"",
        "--operator-addr (STOATSTEP_OPERATOR_ADDR)",
        "--target-addr (STOATSTEP_TARGET_ADDR)",
        "--platform (STOATSTEP_PLATFORM)",
        "--operator-token (STOATSTEP_OPERATOR_TOKEN)",
        "--peer-token (STOATSTEP_PEER_TOKEN)",
    ] {
        assert!(text.contains(flag), "{flag} is not in {text}");
    }
    assert!(!text.contains("s3cret"), "{text}");
}

#[test]
fn page_of_settings_names_every_flag_of_the_daemon() {
    let page = include_str!("../../docs/operators/settings.md");
    let (_, daemon) = PROGRAMS[0];
    let help = stdout(&run(daemon, &["--help"], &[]));
    let lines = help.lines().filter_map(|line| line.strip_prefix("  --"));
    let flags = lines.filter_map(|line| line.split([' ', ',']).next());
    let missing: Vec<_> = flags
        .filter(|flag| !["help", "version"].contains(flag))
        .filter(|flag| !page.contains(&format!("`--{flag}`")))
        .collect();
    assert!(missing.is_empty(), "{missing:?}");
}
