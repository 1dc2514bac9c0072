//! Rules for the fields of one resource.

use std::collections::BTreeSet;
use std::ops::RangeInclusive;

use smol_str::SmolStr;

use super::limits::{
    MAX_ATTEMPTS, MAX_BUDGET_PERCENT, MAX_CONNECTIONS, MAX_KEYS, MAX_PRIORITY, MAX_SLOTS,
    MAX_TENANT_LIMITS, MAX_TIMEOUT, MAX_WEIGHT, MIN_TIMEOUT,
};
use super::names::{check_name, check_prefix};
use crate::finding::{Finding, Place};
use crate::key::Key;
use crate::key_digest::KeyDigest;
use crate::types::{Customer, Policy, Resource, Route, Service, TenantLimit, Upstream};
use crate::wire::duration_text;

/// Adds every finding of one resource, seen by itself.
pub(super) fn check(resource: &Resource, findings: &mut Vec<Finding>) {
    let mut check = Check {
        key: resource.key(),
        findings,
    };
    check.name();
    match resource {
        Resource::Policy(policy) => check.policy(policy),
        Resource::Service(service) => check.service(service),
        Resource::Upstream(upstream) => check.upstream(upstream),
        Resource::Route(route) => check.route(route),
        Resource::Customer(customer) => check.customer(customer),
    }
}

struct Check<'a> {
    key: Key,
    findings: &'a mut Vec<Finding>,
}

impl Check<'_> {
    fn add(&mut self, field: impl Into<SmolStr>, message: impl Into<String>) {
        let place = Place::field(self.key.clone(), field);
        self.findings.push(Finding::new(place, message));
    }

    fn name(&mut self) {
        if let Err(message) = check_name(&self.key.name) {
            self.add("name", message);
        }
    }

    fn within(&mut self, field: impl Into<SmolStr>, value: u32, bounds: RangeInclusive<u32>) {
        if !bounds.contains(&value) {
            let (least, most) = bounds.into_inner();
            self.add(
                field,
                format!("is {value}; it must be from {least} to {most}"),
            );
        }
    }

    fn service(&mut self, service: &Service) {
        let Some(path) = &service.health_path else {
            return;
        };
        if let Err(message) = check_prefix(path) {
            self.add("health_path", message);
        }
    }

    fn upstream(&mut self, upstream: &Upstream) {
        self.within("slots", upstream.slots, 1..=MAX_SLOTS);
        self.within("connections", upstream.connections, 1..=MAX_CONNECTIONS);
        // A call in a slot needs a connection of its own, so slots beyond the
        // connections would never be filled and capacity would be overstated.
        if upstream.connections < upstream.slots {
            let message = format!(
                "is {}; it must be at least the number of slots, {}",
                upstream.connections, upstream.slots
            );
            self.add("connections", message);
        }
    }

    fn route(&mut self, route: &Route) {
        if let Err(message) = check_prefix(&route.prefix) {
            self.add("prefix", message);
        }
        for (i, share) in route.split.iter().enumerate() {
            self.within(format!("split[{i}].weight"), share.weight, 1..=MAX_WEIGHT);
        }
    }

    fn customer(&mut self, customer: &Customer) {
        let len = customer.keys.len();
        if len > MAX_KEYS {
            let message = format!("names {len} keys; at most {MAX_KEYS} are allowed");
            self.add("keys", message);
        }
        let empty = KeyDigest::of(b"");
        for (i, key) in customer.keys.iter().enumerate() {
            if *key == empty {
                self.add(format!("keys[{i}]"), "is the digest of an empty key");
            }
        }
        if let Some(priority) = customer.priority {
            self.within("priority", priority.into(), 0..=MAX_PRIORITY);
        }
        if let Some(quota) = customer.quota {
            self.within("quota.per_minute", quota.per_minute, 1..=u32::MAX);
            self.within("quota.burst", quota.burst, 1..=u32::MAX);
        }
    }

    fn policy(&mut self, policy: &Policy) {
        self.timeout(policy);
        self.latency_objective(policy);
        if let Some(priority) = policy.priority {
            self.within("priority", priority.into(), 0..=MAX_PRIORITY);
        }
        self.within("retry.attempts", policy.retry.attempts, 1..=MAX_ATTEMPTS);
        self.within(
            "retry.budget_percent",
            policy.retry.budget_percent,
            0..=MAX_BUDGET_PERCENT,
        );
        self.tenant_limits(&policy.limits);
    }

    fn timeout(&mut self, policy: &Policy) {
        let timeout = policy.timeout;
        if !(MIN_TIMEOUT..=MAX_TIMEOUT).contains(&timeout) {
            let message = format!(
                "is {}; it must be from {} to {}",
                duration_text(timeout),
                duration_text(MIN_TIMEOUT),
                duration_text(MAX_TIMEOUT)
            );
            self.add("timeout", message);
        } else if !timeout.subsec_nanos().is_multiple_of(NANOS_PER_MILLI) {
            self.add("timeout", "must be whole milliseconds");
        }
    }

    fn latency_objective(&mut self, policy: &Policy) {
        let Some(objective) = policy.latency_objective else {
            return;
        };
        if !(MIN_TIMEOUT..=policy.timeout).contains(&objective) {
            let message = format!(
                "is {}; it must be from {} to the timeout, {}",
                duration_text(objective),
                duration_text(MIN_TIMEOUT),
                duration_text(policy.timeout)
            );
            self.add("latency_objective", message);
        }
    }

    fn tenant_limits(&mut self, limits: &[TenantLimit]) {
        if limits.len() > MAX_TENANT_LIMITS {
            let message = format!(
                "names {} tenants; at most {MAX_TENANT_LIMITS} are allowed",
                limits.len()
            );
            self.add("limits", message);
        }
        let mut seen = BTreeSet::new();
        for (i, limit) in limits.iter().enumerate() {
            self.tenant_limit(i, limit);
            if !seen.insert(&limit.tenant) {
                let message = format!("\"{}\" has a limit already", limit.tenant);
                self.add(format!("limits[{i}].tenant"), message);
            }
        }
    }

    fn tenant_limit(&mut self, i: usize, limit: &TenantLimit) {
        if let Err(message) = check_name(&limit.tenant) {
            self.add(format!("limits[{i}].tenant"), message);
        }
        self.within(format!("limits[{i}].weight"), limit.weight, 1..=MAX_WEIGHT);
        if let Some(concurrency) = limit.concurrency {
            self.within(
                format!("limits[{i}].concurrency"),
                concurrency,
                1..=MAX_SLOTS,
            );
        }
    }
}

const NANOS_PER_MILLI: u32 = 1_000_000;
