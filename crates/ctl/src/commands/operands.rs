//! Arguments that are no flags, checked together with the settings.

use std::fmt::Display;

use stoatstep_resource::Key;
use stoatstep_settings::{EarlyExit, Finding, Place, Values};

/// A command's operands, or everything wrong with them.
pub(super) type Operands<T> = Result<T, Vec<Finding>>;

/// At least one operand; `needed` says of what kind.
pub(super) fn some(values: &Values, needed: &str) -> Operands<Vec<String>> {
    let operands = values.operands().to_vec();
    if operands.is_empty() {
        return Err(vec![finding("operands", needed)]);
    }
    Ok(operands)
}

/// Exactly one operand.
pub(super) fn one(values: &Values, needed: &str) -> Operands<String> {
    match values.operands() {
        [operand] => Ok(operand.clone()),
        _ => Err(vec![finding("operands", needed)]),
    }
}

/// At least one key.
pub(super) fn keys(values: &Values) -> Operands<Vec<Key>> {
    let operands = some(values, "a resource is needed: KIND/NAME")?;
    let (keys, wrong): (Vec<_>, Vec<_>) = operands
        .iter()
        .map(|text| parse::<Key>(text))
        .partition(Result::is_ok);
    let findings: Vec<Finding> = wrong
        .into_iter()
        .filter_map(Result::err)
        .flatten()
        .collect();
    if findings.is_empty() {
        Ok(keys.into_iter().flatten().collect())
    } else {
        Err(findings)
    }
}

/// One operand of any type.
pub(super) fn parse<T>(text: &str) -> Operands<T>
where
    T: std::str::FromStr,
    T::Err: Display,
{
    let parsed = text.parse::<T>();
    parsed.map_err(|error| vec![finding(text, &error.to_string())])
}

pub(super) fn finding(argument: &str, message: &str) -> Finding {
    Finding {
        place: Place::Argument(argument.to_owned()),
        message: message.to_owned(),
    }
}

/// Ends the reading of settings and operands, with the findings of both.
pub(super) fn finish<T>(values: Values, operands: Operands<T>) -> Result<T, EarlyExit> {
    let (operands, wrong) = match operands {
        Ok(operands) => (Some(operands), Vec::new()),
        Err(findings) => (None, findings),
    };
    let mut findings = match values.finish() {
        Ok(()) => Vec::new(),
        Err(EarlyExit::Findings(findings)) => findings,
        Err(other) => return Err(other),
    };
    findings.extend(wrong);
    match operands {
        Some(operands) if findings.is_empty() => Ok(operands),
        _ => Err(EarlyExit::Findings(findings)),
    }
}
