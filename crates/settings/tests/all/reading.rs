//! Flags, variables, defaults, and the findings about them.

use std::ffi::OsString;
use std::net::SocketAddr;

use stoatstep_settings::{EarlyExit, Finding, Place, Program, Setting, Values};

const PROGRAM: Program = Program {
    name: "example",
    about: "An example.",
    settings: &[
        Setting::new("peer-addr", "IP:PORT", "Address for other daemons."),
        Setting::new("slots", "N", "Calls at a time.").default("13"),
        Setting::new("zone", "NAME", "Availability zone."),
        Setting::new("peer-token", "TOKEN", "Secret."),
        Setting::switch("json", "Print JSON."),
    ],
    operands: "",
};

const WITH_OPERANDS: Program = Program {
    operands: "FILE...",
    ..PROGRAM
};

fn read(args: &[&str], env: &[(&str, &str)]) -> Values {
    read_with(&PROGRAM, args, env).expect("no help was asked for")
}

fn read_with(program: &Program, args: &[&str], env: &[(&str, &str)]) -> Result<Values, EarlyExit> {
    let args: Vec<OsString> = args.iter().map(OsString::from).collect();
    program.read_from(args, |name| {
        let found = env.iter().find(|(key, _)| *key == name);
        found.map(|(_, value)| (*value).to_owned())
    })
}

fn findings(values: Values) -> Vec<String> {
    match values.finish() {
        Err(EarlyExit::Findings(findings)) => findings.iter().map(Finding::to_string).collect(),
        Err(stop) => panic!("unexpected {stop:?}"),
        Ok(()) => Vec::new(),
    }
}

#[test]
fn flag_wins_over_variable_and_variable_over_default() {
    let env = [("STOATSTEP_SLOTS", "9"), ("STOATSTEP_ZONE", "north-1")];
    let mut values = read(&["--zone", "north-2"], &env);
    assert_eq!(values.required::<u32>("slots"), Some(9));
    assert_eq!(
        values.required::<String>("zone").as_deref(),
        Some("north-2")
    );
    assert_eq!(read(&[], &[]).required::<u32>("slots"), Some(13));
    assert_eq!(findings(values), Vec::<String>::new());
}

#[test]
fn empty_variable_counts_as_absent() {
    let mut values = read(&[], &[("STOATSTEP_SLOTS", "")]);
    assert_eq!(values.required::<u32>("slots"), Some(13));
}

#[test]
fn switch_is_on_by_flag_or_variable() {
    assert!(!read(&[], &[]).switch("json"));
    assert!(read(&["--json"], &[]).switch("json"));
    assert!(read(&[], &[("STOATSTEP_JSON", "true")]).switch("json"));
    assert!(!read(&[], &[("STOATSTEP_JSON", "off")]).switch("json"));
    let found = findings(read(&[], &[("STOATSTEP_JSON", "perhaps")]));
    assert_eq!(found, ["--json (STOATSTEP_JSON): must be true or false"]);
}

/// Reports all mistakes of an operator at once: an invalid address, a missing zone, an unknown flag
/// and a flag that is given twice. Stopping at the first would cost a restart for each mistake.
#[test]
fn every_mistake_is_reported_at_once_with_flag_and_variable() {
    let args = [
        "--peer-addr=here",
        "--slots",
        "4",
        "--slots",
        "5",
        "--colour",
        "red",
    ];
    let mut values = read(&args, &[]);
    let _ = values.required::<SocketAddr>("peer-addr");
    let _ = values.required::<u32>("slots");
    let _ = values.required::<String>("zone");
    values.reject("slots", "must be even");
    let found = findings(values);
    assert_eq!(
        found,
        [
            "--slots (STOATSTEP_SLOTS): is given more than once",
            "--colour: is no setting of this program",
            "--peer-addr (STOATSTEP_PEER_ADDR): \"here\" is not valid: invalid socket address syntax",
            "--zone (STOATSTEP_ZONE): is required",
            "--slots (STOATSTEP_SLOTS): must be even",
        ]
    );
}

#[test]
fn flag_without_value_is_one_finding_and_leaves_the_next_flag_alone() {
    let mut values = read(&["--zone", "--slots", "3", "--peer-addr="], &[]);
    assert_eq!(values.required::<String>("zone"), None);
    assert_eq!(values.required::<u32>("slots"), Some(3));
    assert_eq!(values.optional::<SocketAddr>("peer-addr"), None);
    let found = findings(values);
    assert_eq!(
        found,
        [
            "--zone (STOATSTEP_ZONE): needs a value",
            "--peer-addr (STOATSTEP_PEER_ADDR): is empty",
        ]
    );
}

#[test]
fn switch_with_value_is_a_finding() {
    let found = findings(read(&["--json=yes"], &[]));
    assert_eq!(found, ["--json (STOATSTEP_JSON): takes no value"]);
}

#[test]
fn operands_are_kept_where_expected_and_found_where_not() {
    let values = read_with(&WITH_OPERANDS, &["a", "--json", "b"], &[]).expect("no help");
    assert_eq!(values.operands(), ["a", "b"]);
    let found = findings(read(&["a"], &[]));
    assert_eq!(found, ["a: is not expected"]);
}

#[test]
fn help_names_flag_variable_and_default_and_wins_over_mistakes() {
    let stop = read_with(&PROGRAM, &["--colour", "--help"], &[]).expect_err("help");
    let EarlyExit::Help(text) = stop else {
        panic!("not help: {stop:?}");
    };
    assert!(text.contains("--peer-addr IP:PORT (STOATSTEP_PEER_ADDR)"));
    assert!(text.contains("[default: 13]"));
    assert!(text.contains("--json (STOATSTEP_JSON)"));
}

#[test]
fn version_names_the_program() {
    let stop = read_with(&PROGRAM, &["-V"], &[]).expect_err("version");
    assert!(matches!(stop, EarlyExit::Version(text) if text.starts_with("example ")));
}

#[test]
fn finding_keeps_its_place_apart() {
    let mut values = read(&[], &[]);
    let _ = values.required::<String>("zone");
    let Err(EarlyExit::Findings(findings)) = values.finish() else {
        panic!("a zone is required");
    };
    let place = Place::Setting {
        flag: "zone",
        variable: "STOATSTEP_ZONE".to_owned(),
    };
    assert_eq!(findings[0].place, place);
}
