//! Compact `MessagePack` forms of resources and keys.
//!
//! `rmp_serde` encodes structs as arrays but enum variants by name, so the variants are renamed to
//! single letters. These are part of the wire format: never reuse one.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::ids::{CustomerName, PolicyName, RouteName, ServiceName, UpstreamName};
use crate::key::{Key, Kind};
use crate::key_digest::KeyDigest;
use crate::types::{
    Customer, Policy, Quota, Resource, Retry, Route, Service, Share, TenantLimit, Upstream,
};

/// Compact form of a [`Resource`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum PackedResource {
    #[serde(rename = "p")]
    Policy {
        name: PolicyName,
        timeout: Duration,
        latency_objective: Option<Duration>,
        priority: Option<u8>,
        attempts: u32,
        budget_percent: u32,
        limits: Vec<PackedLimit>,
    },
    #[serde(rename = "s")]
    Service {
        name: ServiceName,
        policy: Option<PolicyName>,
        health_path: Option<SmolStr>,
    },
    #[serde(rename = "u")]
    Upstream {
        name: UpstreamName,
        service: ServiceName,
        slots: u32,
        connections: u32,
    },
    #[serde(rename = "r")]
    Route {
        name: RouteName,
        host: Option<SmolStr>,
        prefix: SmolStr,
        service: ServiceName,
        split: Vec<(ServiceName, u32)>,
        policy: Option<PolicyName>,
        idempotent: bool,
        public: bool,
    },
    #[serde(rename = "c")]
    Customer {
        name: CustomerName,
        keys: Vec<KeyDigest>,
        /// Calls per minute and the burst.
        quota: Option<(u32, u32)>,
        priority: Option<u8>,
    },
}

/// Compact form of a [`TenantLimit`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct PackedLimit {
    tenant: CustomerName,
    weight: u32,
    concurrency: Option<u32>,
}

/// Compact form of a [`Key`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum PackedKey {
    #[serde(rename = "p")]
    Policy(PolicyName),
    #[serde(rename = "s")]
    Service(ServiceName),
    #[serde(rename = "u")]
    Upstream(UpstreamName),
    #[serde(rename = "r")]
    Route(RouteName),
    #[serde(rename = "c")]
    Customer(CustomerName),
}

impl From<&Resource> for PackedResource {
    fn from(resource: &Resource) -> Self {
        match resource {
            Resource::Policy(policy) => Self::Policy {
                name: policy.name.clone(),
                timeout: policy.timeout,
                latency_objective: policy.latency_objective,
                priority: policy.priority,
                attempts: policy.retry.attempts,
                budget_percent: policy.retry.budget_percent,
                limits: policy.limits.iter().map(PackedLimit::from).collect(),
            },
            Resource::Service(service) => Self::Service {
                name: service.name.clone(),
                policy: service.policy.clone(),
                health_path: service.health_path.clone(),
            },
            Resource::Upstream(upstream) => Self::Upstream {
                name: upstream.name.clone(),
                service: upstream.service.clone(),
                slots: upstream.slots,
                connections: upstream.connections,
            },
            Resource::Route(route) => Self::Route {
                name: route.name.clone(),
                host: route.host.clone(),
                prefix: route.prefix.clone(),
                service: route.service.clone(),
                split: route
                    .split
                    .iter()
                    .map(|share| (share.service.clone(), share.weight))
                    .collect(),
                policy: route.policy.clone(),
                idempotent: route.idempotent,
                public: route.public,
            },
            Resource::Customer(customer) => Self::Customer {
                name: customer.name.clone(),
                keys: customer.keys.clone(),
                quota: customer.quota.map(|it| (it.per_minute, it.burst)),
                priority: customer.priority,
            },
        }
    }
}

impl From<PackedResource> for Resource {
    fn from(packed: PackedResource) -> Self {
        match packed {
            PackedResource::Policy {
                name,
                timeout,
                latency_objective,
                priority,
                attempts,
                budget_percent,
                limits,
            } => Self::Policy(Policy {
                name,
                timeout,
                latency_objective,
                priority,
                retry: Retry {
                    attempts,
                    budget_percent,
                },
                limits: limits.into_iter().map(TenantLimit::from).collect(),
            }),
            PackedResource::Service {
                name,
                policy,
                health_path,
            } => Self::Service(Service {
                name,
                policy,
                health_path,
            }),
            PackedResource::Upstream {
                name,
                service,
                slots,
                connections,
            } => Self::Upstream(Upstream {
                name,
                service,
                slots,
                connections,
            }),
            PackedResource::Route {
                name,
                host,
                prefix,
                service,
                split,
                policy,
                idempotent,
                public,
            } => Self::Route(Route {
                name,
                host,
                prefix,
                service,
                split: split
                    .into_iter()
                    .map(|(service, weight)| Share { service, weight })
                    .collect(),
                policy,
                idempotent,
                public,
            }),
            PackedResource::Customer {
                name,
                keys,
                quota,
                priority,
            } => Self::Customer(Customer {
                name,
                keys,
                quota: quota.map(|(per_minute, burst)| Quota { per_minute, burst }),
                priority,
            }),
        }
    }
}

impl From<&TenantLimit> for PackedLimit {
    fn from(limit: &TenantLimit) -> Self {
        Self {
            tenant: limit.tenant.clone(),
            weight: limit.weight,
            concurrency: limit.concurrency,
        }
    }
}

impl From<PackedLimit> for TenantLimit {
    fn from(packed: PackedLimit) -> Self {
        Self {
            tenant: packed.tenant,
            weight: packed.weight,
            concurrency: packed.concurrency,
        }
    }
}

impl From<&Key> for PackedKey {
    fn from(key: &Key) -> Self {
        let name = key.name.clone();
        match key.kind {
            Kind::Policy => Self::Policy(name),
            Kind::Service => Self::Service(name),
            Kind::Upstream => Self::Upstream(name),
            Kind::Route => Self::Route(name),
            Kind::Customer => Self::Customer(name),
        }
    }
}

impl From<PackedKey> for Key {
    fn from(packed: PackedKey) -> Self {
        let (kind, name) = match packed {
            PackedKey::Policy(name) => (Kind::Policy, name),
            PackedKey::Service(name) => (Kind::Service, name),
            PackedKey::Upstream(name) => (Kind::Upstream, name),
            PackedKey::Route(name) => (Kind::Route, name),
            PackedKey::Customer(name) => (Kind::Customer, name),
        };
        Self { kind, name }
    }
}
