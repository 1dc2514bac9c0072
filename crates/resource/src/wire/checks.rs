//! Rules for a change as a whole.

use std::collections::BTreeSet;

use super::change::ChangeRequest;
use crate::finding::{Finding, Place};
use crate::key::Key;

/// Longest operation id; it is part of a row's key at the platform.
const MAX_OPERATION_LEN: usize = 64;

/// Operation ids name rows, so only characters that need no escaping pass.
pub(super) fn check_operation(operation: &str) -> Vec<Finding> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
    let fits = (1..=MAX_OPERATION_LEN).contains(&operation.len());
    if fits && operation.chars().all(allowed) {
        return Vec::new();
    }
    let place = Place {
        field: Some("operation".into()),
        ..Place::default()
    };
    let message = format!(
        "must have 1 to {MAX_OPERATION_LEN} characters, all of them letters, digits, \"-\" or \"_\""
    );
    vec![Finding::new(place, message)]
}

/// A key that stands twice in one change has no order in which to apply it.
pub(super) fn check_keys(req: &ChangeRequest) -> Vec<Finding> {
    let puts = req.puts.iter().map(|put| put.resource.key());
    let deletes = req.deletes.iter().map(|delete| delete.key.clone());
    let mut seen: BTreeSet<Key> = BTreeSet::new();
    let mut findings = Vec::new();
    for key in puts.chain(deletes) {
        if !seen.insert(key.clone()) {
            let place = Place::resource(key);
            findings.push(Finding::new(place, "stands twice in one change"));
        }
    }
    if seen.is_empty() {
        findings.push(Finding::new(Place::default(), "the change is empty"));
    }
    findings
}
