//! Help, settings and files, without a daemon.

use stoatstep_ctl::Exit;

use crate::program::{TempFile, stoatctl};

#[test]
fn every_command_has_help_with_exit_codes() {
    let overview = stoatctl("--help");
    assert_eq!(overview.exit, Exit::Success);
    for command in [
        "validate", "apply", "get", "delete", "watch", "status", "drain",
    ] {
        assert!(overview.out.contains(command), "{}", overview.out);
        let help = stoatctl(&format!("{command} --help"));
        assert_eq!(help.exit, Exit::Success);
        assert!(help.out.contains("--output"), "{}", help.out);
        assert!(help.out.contains("Exit codes:"), "{}", help.out);
    }
}

#[test]
fn exit_codes_differ() {
    let exits = [
        Exit::Success,
        Exit::Failure,
        Exit::Usage,
        Exit::Conflict,
        Exit::Invalid,
        Exit::NotFound,
        Exit::NotInForce,
    ];
    let codes = exits.map(Exit::code);
    assert_eq!(codes, [0, 1, 2, 3, 4, 5, 6]);
}

#[test]
fn all_wrong_settings_are_reported_together() {
    let done = stoatctl("apply --daemon nowhere --timeout soon --output xml --expect service/a");
    assert_eq!(done.exit, Exit::Usage);
    for part in [
        "--daemon",
        "--operator-token",
        "--timeout",
        "--output",
        "--expect",
        "operands",
    ] {
        assert!(done.err.contains(part), "{part} in {}", done.err);
    }
}

#[test]
fn unknown_command_and_operands() {
    assert_eq!(stoatctl("").exit, Exit::Usage);
    assert_eq!(stoatctl("frobnicate").exit, Exit::Usage);
    let done = stoatctl("delete service floatdesk");
    assert_eq!(done.exit, Exit::Usage);
    assert!(
        done.err.contains("service: a key is written KIND/NAME"),
        "{}",
        done.err
    );
}

// The token is mistyped and too short. An error that repeated it would put it
// into the logs of whatever started the program.
#[test]
fn token_is_never_printed() {
    let done = stoatctl("status --daemon 127.0.0.1:1 --operator-token hunter2");
    assert_eq!(done.exit, Exit::Usage);
    assert!(!done.err.contains("hunter2"), "{}", done.err);
}

#[test]
fn validate_needs_no_daemon() {
    let root = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples");
    let done = stoatctl(&format!("validate {root}/chalkbox"));
    assert_eq!(done.exit, Exit::Success, "{}", done.err);
    assert_eq!(done.out, "21 resources, all valid\n");
}

#[test]
fn validate_reports_every_finding_of_every_file() {
    let first = TempFile::new("[[service]]\nname = \"a\"\npolcy = \"p\"\n");
    let second = TempFile::new("[[upstream]]\nname = \"a-1\"\nservice = \"b\"\nslots = 0\n");
    let args = format!("validate {} {}", first.path(), second.path());
    let done = stoatctl(&args);
    assert_eq!(done.exit, Exit::Invalid);
    let expected = [
        format!("{}:3: service/a: polcy: is unknown", first.path()),
        format!("{}:1: upstream/a-1: connections: is missing", second.path()),
        format!(
            "{}:3: upstream/a-1: service: service/b does not exist",
            second.path()
        ),
        format!("{}:4: upstream/a-1: slots: is 0", second.path()),
    ];
    for line in &expected {
        assert!(done.err.contains(line), "{line} in {}", done.err);
    }
    let json = stoatctl(&format!("{args} --output json"));
    let report: serde_json::Value = serde_json::from_str(&json.err).unwrap();
    assert_eq!(report["findings"].as_array().unwrap().len(), expected.len());
    assert_eq!(report["exit_code"], 4);
}

#[test]
fn missing_files_are_reported_together() {
    let done = stoatctl("validate /nowhere/a.toml /nowhere/b.toml");
    assert_eq!(done.exit, Exit::Usage);
    assert!(done.err.contains("/nowhere/a.toml"));
    assert!(done.err.contains("/nowhere/b.toml"));
}
