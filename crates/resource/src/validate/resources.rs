//! Validation of the fields of one resource.

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

/// Adds the findings of one resource that do not depend on other resources.
pub(super) fn check(resource: &Resource, findings: &mut Vec<Finding>) {
    let mut checker = ResourceChecker {
        key: resource.key(),
        findings,
    };
    checker.check_resource_name();
    match resource {
        Resource::Policy(policy) => checker.check_policy(policy),
        Resource::Service(service) => checker.check_service(service),
        Resource::Upstream(upstream) => checker.check_upstream(upstream),
        Resource::Route(route) => checker.check_route(route),
        Resource::Customer(customer) => checker.check_customer(customer),
    }
}

struct ResourceChecker<'a> {
    key: Key,
    findings: &'a mut Vec<Finding>,
}

impl ResourceChecker<'_> {
    fn report(&mut self, field: impl Into<SmolStr>, message: impl Into<String>) {
        let place = Place::field(self.key.clone(), field);
        self.findings.push(Finding::new(place, message));
    }

    fn check_resource_name(&mut self) {
        if let Err(message) = check_name(&self.key.name) {
            self.report("name", message);
        }
    }

    fn check_range(&mut self, field: impl Into<SmolStr>, value: u32, bounds: RangeInclusive<u32>) {
        if !bounds.contains(&value) {
            let (least, most) = bounds.into_inner();
            self.report(
                field,
                format!("is {value}; it must be from {least} to {most}"),
            );
        }
    }

    fn check_service(&mut self, service: &Service) {
        let Some(path) = &service.health_path else {
            return;
        };
        if let Err(message) = check_prefix(path) {
            self.report("health_path", message);
        }
    }

    fn check_upstream(&mut self, upstream: &Upstream) {
        self.check_range("slots", upstream.slots, 1..=MAX_SLOTS);
        self.check_range("connections", upstream.connections, 1..=MAX_CONNECTIONS);
        // Each running call needs its own connection, so slots beyond the number of connections
        // would never be used and the capacity would be overstated.
        if upstream.connections < upstream.slots {
            let message = format!(
                "is {}; it must be at least the number of slots, {}",
                upstream.connections, upstream.slots
            );
            self.report("connections", message);
        }
    }

    fn check_route(&mut self, route: &Route) {
        if let Err(message) = check_prefix(&route.prefix) {
            self.report("prefix", message);
        }
        for (i, share) in route.split.iter().enumerate() {
            self.check_range(format!("split[{i}].weight"), share.weight, 1..=MAX_WEIGHT);
        }
    }

    fn check_customer(&mut self, customer: &Customer) {
        let len = customer.keys.len();
        if len > MAX_KEYS {
            let message = format!("names {len} keys; at most {MAX_KEYS} are allowed");
            self.report("keys", message);
        }
        let empty = KeyDigest::of(b"");
        for (i, key) in customer.keys.iter().enumerate() {
            if *key == empty {
                self.report(format!("keys[{i}]"), "is the digest of an empty key");
            }
        }
        if let Some(priority) = customer.priority {
            self.check_range("priority", priority.into(), 0..=MAX_PRIORITY);
        }
        if let Some(quota) = customer.quota {
            self.check_range("quota.per_minute", quota.per_minute, 1..=u32::MAX);
            self.check_range("quota.burst", quota.burst, 1..=u32::MAX);
        }
    }

    fn check_policy(&mut self, policy: &Policy) {
        self.check_timeout(policy);
        self.check_latency_objective(policy);
        if let Some(priority) = policy.priority {
            self.check_range("priority", priority.into(), 0..=MAX_PRIORITY);
        }
        self.check_range("retry.attempts", policy.retry.attempts, 1..=MAX_ATTEMPTS);
        self.check_range(
            "retry.budget_percent",
            policy.retry.budget_percent,
            0..=MAX_BUDGET_PERCENT,
        );
        self.check_tenant_limits(&policy.limits);
    }

    fn check_timeout(&mut self, policy: &Policy) {
        let timeout = policy.timeout;
        if !(MIN_TIMEOUT..=MAX_TIMEOUT).contains(&timeout) {
            let message = format!(
                "is {}; it must be from {} to {}",
                duration_text(timeout),
                duration_text(MIN_TIMEOUT),
                duration_text(MAX_TIMEOUT)
            );
            self.report("timeout", message);
        } else if !timeout.subsec_nanos().is_multiple_of(NANOS_PER_MILLI) {
            self.report("timeout", "must be whole milliseconds");
        }
    }

    fn check_latency_objective(&mut self, policy: &Policy) {
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
            self.report("latency_objective", message);
        }
    }

    fn check_tenant_limits(&mut self, limits: &[TenantLimit]) {
        if limits.len() > MAX_TENANT_LIMITS {
            let message = format!(
                "names {} tenants; at most {MAX_TENANT_LIMITS} are allowed",
                limits.len()
            );
            self.report("limits", message);
        }
        let mut seen = BTreeSet::new();
        for (i, limit) in limits.iter().enumerate() {
            self.check_tenant_limit(i, limit);
            if !seen.insert(&limit.tenant) {
                let message = format!("\"{}\" has a limit already", limit.tenant);
                self.report(format!("limits[{i}].tenant"), message);
            }
        }
    }

    fn check_tenant_limit(&mut self, i: usize, limit: &TenantLimit) {
        if let Err(message) = check_name(&limit.tenant) {
            self.report(format!("limits[{i}].tenant"), message);
        }
        self.check_range(format!("limits[{i}].weight"), limit.weight, 1..=MAX_WEIGHT);
        if let Some(concurrency) = limit.concurrency {
            self.check_range(
                format!("limits[{i}].concurrency"),
                concurrency,
                1..=MAX_SLOTS,
            );
        }
    }
}

const NANOS_PER_MILLI: u32 = 1_000_000;
