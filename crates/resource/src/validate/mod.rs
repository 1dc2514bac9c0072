//! Validation of a whole state.
//!
//! A version is accepted only if the whole resulting state is valid, so that no daemon has to deal
//! with a partly valid configuration. `docs/operators/resources.md` lists the rules for operators.

mod limits;
mod names;
mod resources;

use std::collections::BTreeMap;

use smol_str::SmolStr;

use crate::finding::{Finding, Place};
use crate::key::{Key, Kind};
use crate::key_digest::KeyDigest;
use crate::state::State;
use crate::types::Resource;

pub use limits::{
    MAX_ATTEMPTS, MAX_BUDGET_PERCENT, MAX_CONNECTIONS, MAX_KEYS, MAX_NAME_LEN, MAX_PREFIX_LEN,
    MAX_PRIORITY, MAX_RESOURCES, MAX_SLOTS, MAX_TENANT_LIMITS, MAX_TIMEOUT, MAX_WEIGHT,
    MIN_TIMEOUT,
};
pub use names::check_name;

/// Validates a whole state and returns the findings, ordered by resource; none if it is valid.
#[must_use]
pub fn validate(state: &State) -> Vec<Finding> {
    let mut findings = Vec::new();
    check_size(state, &mut findings);
    for (key, held) in state.iter() {
        check_key(key, &held.resource, &mut findings);
        resources::check(&held.resource, &mut findings);
        check_references(state, &held.resource, &mut findings);
    }
    check_prefixes(state, &mut findings);
    check_keys(state, &mut findings);
    findings.sort();
    findings
}

fn check_size(state: &State, findings: &mut Vec<Finding>) {
    let len = state.iter().count();
    if len > MAX_RESOURCES {
        let message = format!("the state has {len} resources; at most {MAX_RESOURCES} are allowed");
        findings.push(Finding::new(Place::default(), message));
    }
}

/// Checks that a resource is stored under its own key. A decoded state may violate this, and a
/// lookup of the key would then return the wrong resource.
fn check_key(key: &Key, resource: &Resource, findings: &mut Vec<Finding>) {
    let own = resource.key();
    if *key != own {
        let message = format!("holds {own} under another key");
        findings.push(Finding::new(Place::resource(key.clone()), message));
    }
}

fn check_references(state: &State, resource: &Resource, findings: &mut Vec<Finding>) {
    for target in resource.references() {
        if state.get(&target).is_none() {
            let place = Place::field(resource.key(), target.kind.as_str());
            findings.push(Finding::new(place, format!("{target} does not exist")));
        }
    }
}

/// Checks that no two routes have the same host and prefix. It would be undefined which of them a
/// call takes, and daemons could choose differently.
fn check_prefixes(state: &State, findings: &mut Vec<Finding>) {
    let mut first_with: BTreeMap<(&Option<SmolStr>, &SmolStr), Key> = BTreeMap::new();
    for held in state.of_kind(Kind::Route) {
        let Resource::Route(route) = &*held.resource else {
            continue;
        };
        let key = held.resource.key();
        if let Some(first) = first_with.get(&(&route.host, &route.prefix)) {
            let message = format!("prefix \"{}\" belongs to {first} already", route.prefix);
            findings.push(Finding::new(Place::field(key, "prefix"), message));
        } else {
            first_with.insert((&route.host, &route.prefix), key);
        }
    }
}

/// Checks that no two customers have the same API key, which could not identify the customer of a
/// call. The finding names the customers but not the key.
fn check_keys(state: &State, findings: &mut Vec<Finding>) {
    let mut holders: BTreeMap<KeyDigest, Key> = BTreeMap::new();
    for held in state.of_kind(Kind::Customer) {
        let Resource::Customer(customer) = &*held.resource else {
            continue;
        };
        let key = held.resource.key();
        for (i, digest) in customer.keys.iter().enumerate() {
            if let Some(first) = holders.get(digest) {
                let message = format!("belongs to {first} already");
                let place = Place::field(key.clone(), format!("keys[{i}]"));
                findings.push(Finding::new(place, message));
            } else {
                holders.insert(*digest, key.clone());
            }
        }
    }
}
