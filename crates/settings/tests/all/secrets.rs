//! Secret settings, which are never printed.

use std::ffi::OsString;

use stoatstep_settings::{EarlyExit, Program, Secret, Setting};

const PROGRAM: Program = Program {
    name: "example",
    about: "An example.",
    settings: &[Setting::new("peer-token", "TOKEN", "Secret.")],
    operands: "",
};

/// Returns the findings that are printed for these arguments.
fn printed(args: &[&str]) -> String {
    let args: Vec<OsString> = args.iter().map(OsString::from).collect();
    let mut values = PROGRAM.read_from(args, |_| None).expect("no help");
    // Reads the token also as a type whose parse error quotes its input, as those of `char` or of
    // numbers may in the future.
    let _ = values.optional::<Secret>("peer-token");
    let _ = values.optional::<Quoting>("peer-token");
    values.finish().expect_err("a wrong token").to_string()
}

/// A type whose parse error quotes its input, as many do.
struct Quoting;

impl std::str::FromStr for Quoting {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Err(format!("cannot read {text}"))
    }
}

/// An operator mistypes a token or its flag. The findings go to the log of the service manager,
/// which is readable by people who must not know the token.
#[test]
fn wrong_token_is_reported_without_its_value() {
    for args in [
        &["--peer-token", "s3cret"][..],
        &["--peer-token=s3cret", "--peer-token=s3cret"],
        &["--peer-tokn", "s3cret"],
        &["--peer-tokn=s3cret"],
    ] {
        let mut args = args.to_vec();
        args.push("--unknown");
        let text = printed(&args);
        assert!(!text.contains("s3cret"), "{args:?} printed {text}");
    }
}

#[test]
fn short_token_says_how_long_it_must_be() {
    let text = printed(&["--peer-token", "s3cret"]);
    assert!(text.contains("--peer-token (STOATSTEP_PEER_TOKEN): is not valid: at least 16"));
}

#[test]
fn secret_matches_itself_alone_and_hides_when_debugged() {
    let secret: Secret = "0123456789abcdef".parse().expect("long enough");
    assert!(secret.matches(b"0123456789abcdef"));
    assert!(!secret.matches(b"0123456789abcdeg"));
    assert!(!secret.matches(b"0123456789abcde"));
    assert_eq!(format!("{secret:?}"), "Secret");
    assert!("0123456789abcdef \r\n".parse::<Secret>().is_err());
}

#[test]
fn findings_stop_with_exit_code_two() {
    let stop = EarlyExit::Findings(Vec::new());
    let code = format!("{:?}", stop.report());
    assert_eq!(code, format!("{:?}", std::process::ExitCode::from(2)));
}
