//! Computes the state that a change produces and checks whether the change is allowed.

use std::collections::BTreeMap;
use std::sync::Arc;

use stoatstep_resource::wire::Change;
use stoatstep_resource::{
    Customer, Delta, Digest, Finding, Key, Kind, Place, Resource, Revision, State,
    VersionedResource, validate,
};

use super::error::{RevisionConflict, WriteError};

/// Returns the delta of `change` relative to `state`, and the resulting state.
pub(super) fn prepare(change: &Change, state: &State) -> Result<(Delta, State), WriteError> {
    let conflicts = conflicts(change, state);
    let change = &keep_key_check(change, state);
    if !conflicts.is_empty() {
        return Err(WriteError::Conflict(conflicts));
    }
    let next = apply_change(change, state)?;
    let findings = validate(&next);
    if !findings.is_empty() {
        return Err(WriteError::Invalid(findings));
    }
    let delta = Delta {
        version: next.version(),
        puts: delta_puts(change, state),
        deletes: delta_deletes(change, state),
        digest: next.digest(),
    };
    Ok((delta, next))
}

/// Adds [`Customer::nobody`] to a change that deletes the last customer, so that its keys open nothing
/// afterwards. Keys are no longer checked once that one is deleted as well.
fn keep_key_check(change: &Change, state: &State) -> Change {
    let mut change = change.clone();
    let is_deleted = |key: &Key| change.deletes.iter().any(|(deleted, _)| deleted == key);
    let held = state.of_kind(Kind::Customer).map(|it| it.resource.key());
    let held: Vec<_> = held.collect();
    let is_any_left = held.iter().any(|it| !is_deleted(it));
    let is_any_put = change
        .puts
        .iter()
        .any(|(it, _)| it.kind() == Kind::Customer);
    let takes_last_key = held.iter().any(|it| it.name != Customer::NOBODY);
    if takes_last_key && !is_any_left && !is_any_put {
        let nobody = Resource::Customer(Customer::nobody());
        change.puts.push((nobody, None));
    }
    change
}

/// Hashes the content of the change, to tell a retry from another change under the same operation
/// id.
pub(super) fn fingerprint(change: &Change) -> Digest {
    let body = (&change.puts, &change.deletes);
    let bytes = rmp_serde::to_vec(&body).expect("plain data always encodes");
    let mut fingerprint = [0; 16];
    fingerprint.copy_from_slice(&blake3::hash(&bytes).as_bytes()[..16]);
    Digest(fingerprint)
}

/// Lists every resource that is not at the expected revision. Comparing revisions instead of the
/// head lets operators change different resources at the same time, and still reports a conflict on
/// the same resource.
fn conflicts(change: &Change, state: &State) -> Vec<RevisionConflict> {
    let puts = change
        .puts
        .iter()
        .map(|(resource, expected)| (resource.key(), *expected));
    let deletes = change.deletes.iter().cloned();
    puts.chain(deletes)
        .filter_map(|(key, expected)| conflict(state, key, expected?))
        .collect()
}

fn conflict(state: &State, key: Key, expected: Revision) -> Option<RevisionConflict> {
    let found = state.get(&key).map_or(0, |held| held.revision);
    (found != expected).then_some(RevisionConflict {
        key,
        expected,
        found,
    })
}

/// The resulting state, not yet validated.
fn apply_change(change: &Change, state: &State) -> Result<State, WriteError> {
    let version = state.version() + 1;
    let mut items: BTreeMap<Key, VersionedResource> = state
        .iter()
        .map(|(key, held)| (key.clone(), held.clone()))
        .collect();
    for (key, _) in &change.deletes {
        items.remove(key);
    }
    for resource in changed_puts(change, state) {
        let held = VersionedResource {
            revision: version,
            resource: Arc::new(resource.clone()),
        };
        items.insert(resource.key(), held);
    }
    State::from_snapshot(version, items.into_values()).map_err(|e| {
        let finding = Finding::new(Place::default(), e.to_string());
        WriteError::Invalid(vec![finding])
    })
}

fn delta_puts(change: &Change, state: &State) -> Vec<Resource> {
    changed_puts(change, state).cloned().collect()
}

/// The resources that differ from those in the state. Operators often apply a whole folder of which
/// one file changed; sending the rest again would cost every daemon about as much as a snapshot,
/// and would change revisions that other operators expect.
fn changed_puts<'a>(change: &'a Change, state: &'a State) -> impl Iterator<Item = &'a Resource> {
    let puts = change.puts.iter().map(|(resource, _)| resource);
    puts.filter(|resource| {
        let held = state.get(&resource.key());
        held.is_none_or(|held| *held.resource != **resource)
    })
}

fn delta_deletes(change: &Change, state: &State) -> Vec<Key> {
    let deletes = change.deletes.iter().map(|(key, _)| key);
    let held = deletes.filter(|key| state.get(key).is_some());
    held.cloned().collect()
}
