//! Checks of a change request as a whole.

use std::collections::BTreeSet;

use super::change::ChangeRequest;
use crate::finding::{Finding, Place};
use crate::key::Key;

/// Maximum length of an operation id, which is part of the key of a row of the platform.
const MAX_OPERATION_LEN: usize = 64;

/// Checks an operation id. Since it is part of a row key, it may have only characters that need no
/// escaping.
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

/// Checks that the change is not empty and that no key appears twice in it, since the order of its
/// puts and deletes is undefined.
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
