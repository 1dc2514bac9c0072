//! Reads a scenario, all its wrong lines in one go.

use smol_str::SmolStr;

use super::words::Words;
use super::{Action, Finding, Fleet, Rule, Safeguard, Script, Step, condition, deed};

const MOST_INSTANCES: usize = 200;
const MOST_SEEDS: u64 = 100;

/// Reads a scenario.
///
/// # Errors
///
/// A finding for each wrong line.
pub fn parse(text: &str) -> Result<Script, Vec<Finding>> {
    let mut script = Script {
        fleet: Fleet::default(),
        without: std::collections::BTreeSet::new(),
        expected: None,
        steps: Vec::new(),
    };
    let mut findings = Vec::new();
    for (index, line) in text.lines().enumerate() {
        let mut words = Words::new(index + 1, line, script.fleet);
        if words.is_empty() {
            continue;
        }
        let read = statement(&mut script, &mut words, index + 1);
        if let Err(finding) = read.and_then(|()| words.finish()) {
            findings.push(finding);
        }
    }
    // A scenario that expects nothing could not fail.
    if findings.is_empty() && script.steps.is_empty() {
        findings.push(Finding {
            line: 1,
            column: 1,
            message: "nothing happens in this scenario".to_owned(),
        });
    }
    if !findings.is_empty() {
        return Err(findings);
    }
    script.steps.sort_by_key(|step| step.at);
    Ok(script)
}

fn statement(script: &mut Script, words: &mut Words<'_>, line: usize) -> Result<(), Finding> {
    match words.next("a statement")? {
        "fleet" => script.fleet = fleet(words)?,
        "without" => {
            let safeguard = one_of(words, "a safeguard", Safeguard::ALL, Safeguard::as_str)?;
            script.without.insert(safeguard);
        }
        "at" => {
            let at = words.time()?;
            let action = Action::Do(deed::deed(words)?);
            script.steps.push(Step { line, at, action });
        }
        "expect" if words.peek() == Some("violation") => {
            words.keyword("violation")?;
            let rule = one_of(words, "a rule", Rule::ALL, Rule::as_str)?;
            script.expected = Some(rule);
        }
        "expect" => {
            words.keyword("by")?;
            let at = words.time()?;
            let action = Action::Expect(condition::condition(words)?);
            script.steps.push(Step { line, at, action });
        }
        word => {
            let message = format!("`{word}` is no statement; there are fleet, without, at, expect");
            return Err(words.wrong(message));
        }
    }
    Ok(())
}

fn fleet(words: &mut Words<'_>) -> Result<Fleet, Finding> {
    let mut fleet = Fleet::default();
    while words.peek().is_some() {
        if let Some(value) = words.option("zones") {
            fleet.zones = words.parse_number(value)?;
        } else if let Some(value) = words.option("per-zone") {
            fleet.per_zone = words.parse_number(value)?;
        } else if let Some(value) = words.option("seeds") {
            fleet.seeds = words.parse_number(value)?;
        } else if let Some(value) = words.option("slots") {
            fleet.slots = words.parse_number(value)?;
        } else if let Some(value) = words.option("target") {
            fleet.target_time = words.parse_time(value)?;
        } else {
            let word = words.next("a setting")?;
            return Err(words.wrong(format!("`{word}` is no setting of the fleet")));
        }
    }
    let instances = fleet.zones.saturating_mul(fleet.per_zone);
    if !(1..=MOST_INSTANCES).contains(&instances) {
        return Err(words.wrong("a fleet has 1 to 200 instances"));
    }
    if !(1..=MOST_SEEDS).contains(&fleet.seeds) {
        return Err(words.wrong("a scenario runs with 1 to 100 seeds"));
    }
    Ok(fleet)
}

/// The variant whose word comes next.
pub(super) fn one_of<T: Copy>(
    words: &mut Words<'_>,
    what: &str,
    all: &[T],
    as_str: impl Fn(T) -> &'static str,
) -> Result<T, Finding> {
    let word: SmolStr = words.name(what)?;
    let found = all.iter().copied().find(|it| as_str(*it) == word);
    found.ok_or_else(|| {
        let known: Vec<&str> = all.iter().map(|it| as_str(*it)).collect();
        let known = known.join(", ");
        words.wrong(format!("`{word}` is not {what}; there are {known}"))
    })
}
