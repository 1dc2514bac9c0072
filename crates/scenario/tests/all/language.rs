//! A wrong scenario is reported and never run.

use proptest::prelude::*;
use stoatstep_scenario::{Finding, parse};

fn findings(text: &str) -> Vec<String> {
    let findings = parse(text).err().unwrap_or_default();
    findings.iter().map(Finding::to_string).collect()
}

/// An operator of the tests mistypes three lines; each is named with line and
/// column in one go, or the second would be found only after the first is
/// mended and the whole suite is run again.
#[test]
fn every_wrong_line_is_reported_with_its_place() {
    let text = "\
fleet zones=2 per-zone=2
at 2s kil i1
at 3s kill i9
expect by 4s version 2 everywhere
expect by 5s version two everywhere
at 5s freeze i1 for 4
";
    let expected = [
        "2:7: `kil` is nothing that can happen",
        "3:12: `i9` is no instance; there are i1 to i4",
        "5:22: `two` is no number that fits here",
        "6:21: `4` is no time; write 800ms, 5s or 2m",
    ];
    assert_eq!(findings(text), expected);
}

#[test]
fn words_that_are_missing_or_too_many_are_reported() {
    assert_eq!(
        findings("at 2s kill")[0],
        "1:11: `iN`, `zone zN` or `all` is missing"
    );
    assert_eq!(
        findings("at 2s kill i1 twice")[0],
        "1:15: `twice` is one word too many"
    );
}

#[test]
fn a_scenario_in_which_nothing_happens_is_refused() {
    assert_eq!(
        findings("# nothing\nfleet zones=1 per-zone=1\n"),
        ["1:1: nothing happens in this scenario"]
    );
}

const WORDS: &[&str] = &[
    "at",
    "expect",
    "by",
    "fleet",
    "zones=2",
    "per-zone=1",
    "seeds=1",
    "2s",
    "99999999999s",
    "kill",
    "restart",
    "zone",
    "z1",
    "i1",
    "all",
    "cut",
    "from",
    "platform",
    "for",
    "slow",
    "800ms",
    "call",
    "claim",
    "k1",
    "deadline=1s",
    "tenant=",
    "load",
    "read",
    "10",
    "per",
    "second",
    "version",
    "everywhere",
    "in",
    "accept",
    "upstream",
    "slots=",
    "slots=99",
    "route",
    "é",
    "#",
    "=",
    "-1",
    "without",
    "repair",
    "violation",
    "never-back",
    "answered",
    "at-least",
    "percent",
    "\u{3000}",
];

proptest! {
    #[test]
    fn arbitrary_text_never_panics(text in "\\PC{0,200}") {
        let _ = parse(&text);
    }

    #[test]
    fn arbitrary_statements_never_panic(
        lines in prop::collection::vec(prop::collection::vec(prop::sample::select(WORDS), 0..9), 0..6)
    ) {
        let lines: Vec<String> = lines.into_iter().map(|words| words.join(" ")).collect();
        let text = lines.join("\n");
        if let Err(findings) = parse(&text) {
            prop_assert!(!findings.is_empty());
            let places: Vec<_> = findings.iter().map(|it| it.line).collect();
            prop_assert!(places.is_sorted());
        }
    }
}
