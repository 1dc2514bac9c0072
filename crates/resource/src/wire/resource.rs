//! JSON forms of resources, which operators read and write.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::duration::{duration_text, parse_duration};
use crate::finding::{Finding, Place};
use crate::ids::{CustomerName, PolicyName, RouteName, ServiceName, UpstreamName};
use crate::key::{Key, Kind};
use crate::key_digest::KeyDigest;
use crate::types::{
    Customer, Policy, Quota, Resource, Retry, Route, Service, Share, TenantLimit, Upstream,
};

/// JSON form of a resource of any kind, such as `{"kind": "upstream", "name": ...}`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "lowercase")]
pub enum ResourceWire {
    /// A policy.
    Policy(PolicyWire),
    /// A service.
    Service(ServiceWire),
    /// An upstream.
    Upstream(UpstreamWire),
    /// A route.
    Route(RouteWire),
    /// A customer.
    Customer(CustomerWire),
}

/// JSON form of a [`Service`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceWire {
    /// Name of the service.
    pub name: ServiceName,
    /// Policy of calls whose route sets none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub policy: Option<PolicyName>,
    /// Path of the targets' health check.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub health_path: Option<SmolStr>,
}

/// JSON form of an [`Upstream`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamWire {
    /// Name of the upstream.
    pub name: UpstreamName,
    /// The service that it serves.
    pub service: ServiceName,
    /// Calls that the target runs concurrently.
    pub slots: u32,
    /// Connections that the target accepts concurrently.
    pub connections: u32,
}

/// JSON form of a [`Route`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteWire {
    /// Name of the route.
    pub name: RouteName,
    /// Host that requests must name; any host if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub host: Option<SmolStr>,
    /// Path prefix.
    pub prefix: SmolStr,
    /// The service that runs the calls.
    pub service: ServiceName,
    /// Services among which the calls are split by weight; `service` runs them all if empty.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub split: Vec<ShareWire>,
    /// Policy of these calls; the service's if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub policy: Option<PolicyName>,
    /// Whether a POST to this route may run more than once without harm. It is `false` if absent: a
    /// wrong `false` costs a retry, and a wrong `true` causes a duplicate run.
    #[serde(default)]
    pub idempotent: bool,
    /// Whether callers need no API key on this route; `false` if absent.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub public: bool,
}

/// JSON form of a [`Customer`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CustomerWire {
    /// Name of the customer.
    pub name: CustomerName,
    /// BLAKE3 digests of its API keys, in hexadecimal.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub keys: Vec<KeyDigest>,
    /// Limit of its calls; unlimited if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub quota: Option<QuotaWire>,
    /// Priority of its calls, 0 being the most urgent; that of the route's policy if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub priority: Option<u8>,
}

/// JSON form of a [`Quota`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QuotaWire {
    /// Calls per minute.
    pub per_minute: u32,
    /// Calls that are allowed at once after an idle period.
    pub burst: u32,
}

impl From<QuotaWire> for Quota {
    fn from(wire: QuotaWire) -> Self {
        Self {
            per_minute: wire.per_minute,
            burst: wire.burst,
        }
    }
}

impl From<Quota> for QuotaWire {
    fn from(quota: Quota) -> Self {
        Self {
            per_minute: quota.per_minute,
            burst: quota.burst,
        }
    }
}

/// JSON form of a [`Share`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ShareWire {
    /// The service.
    pub service: ServiceName,
    /// The service's share, relative to the sum of all weights of the route.
    pub weight: u32,
}

/// JSON form of a [`Policy`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PolicyWire {
    /// Name of the policy.
    pub name: PolicyName,
    /// Timeout of a call whose caller sets no deadline, as text such as `"250ms"`.
    pub timeout: SmolStr,
    /// Time within which an answer has its full value to the caller, as text.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub latency_objective: Option<SmolStr>,
    /// Priority of the calls, 0 being the most urgent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub priority: Option<u8>,
    /// How attempts that did not run are retried.
    #[serde(default)]
    pub retry: RetryWire,
    /// Limits of single tenants.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub limits: Vec<TenantLimitWire>,
}

/// JSON form of [`Retry`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RetryWire {
    /// Maximum number of attempts of one call, including the first.
    pub attempts: u32,
    /// Retries allowed for every hundred first attempts.
    pub budget_percent: u32,
}

/// The default of a policy without `retry`: one retry, within a budget that adds at most a fifth to
/// the load.
impl Default for RetryWire {
    fn default() -> Self {
        Self {
            attempts: 2,
            budget_percent: 20,
        }
    }
}

/// JSON form of a [`TenantLimit`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TenantLimitWire {
    /// The tenant.
    pub tenant: CustomerName,
    /// The tenant's weight under overload; 1 if absent.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Calls of this tenant that one upstream runs concurrently; without a separate limit if
    /// absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub concurrency: Option<u32>,
}

pub(crate) fn default_weight() -> u32 {
    1
}

impl ResourceWire {
    /// Returns the key of the resource.
    #[must_use]
    pub fn key(&self) -> Key {
        let (kind, name) = match self {
            Self::Policy(policy) => (Kind::Policy, &policy.name),
            Self::Service(service) => (Kind::Service, &service.name),
            Self::Upstream(upstream) => (Kind::Upstream, &upstream.name),
            Self::Route(route) => (Kind::Route, &route.name),
            Self::Customer(customer) => (Kind::Customer, &customer.name),
        };
        Key {
            kind,
            name: name.clone(),
        }
    }
}

impl TryFrom<ResourceWire> for Resource {
    type Error = Finding;

    fn try_from(wire: ResourceWire) -> Result<Self, Finding> {
        let key = wire.key();
        Ok(match wire {
            ResourceWire::Policy(policy) => Self::Policy(policy_from(&key, policy)?),
            ResourceWire::Service(service) => Self::Service(Service {
                name: service.name,
                policy: service.policy,
                health_path: service.health_path,
            }),
            ResourceWire::Upstream(upstream) => Self::Upstream(Upstream {
                name: upstream.name,
                service: upstream.service,
                slots: upstream.slots,
                connections: upstream.connections,
            }),
            ResourceWire::Route(route) => Self::Route(Route {
                name: route.name,
                host: route.host,
                prefix: route.prefix,
                service: route.service,
                split: route.split.into_iter().map(Share::from).collect(),
                policy: route.policy,
                idempotent: route.idempotent,
                public: route.public,
            }),
            ResourceWire::Customer(customer) => Self::Customer(Customer {
                name: customer.name,
                keys: customer.keys,
                quota: customer.quota.map(Quota::from),
                priority: customer.priority,
            }),
        })
    }
}

fn policy_from(key: &Key, wire: PolicyWire) -> Result<Policy, Finding> {
    let duration = |field: &'static str, text: &str| {
        let place = || Place::field(key.clone(), field);
        parse_duration(text).map_err(|message| Finding::new(place(), message))
    };
    let timeout = duration("timeout", &wire.timeout)?;
    let objective = wire.latency_objective.as_deref();
    let objective = objective.map(|text| duration("latency_objective", text));
    let limits = wire.limits.into_iter().map(TenantLimit::from).collect();
    Ok(Policy {
        name: wire.name,
        timeout,
        latency_objective: objective.transpose()?,
        priority: wire.priority,
        retry: wire.retry.into(),
        limits,
    })
}

impl From<ShareWire> for Share {
    fn from(wire: ShareWire) -> Self {
        Self {
            service: wire.service,
            weight: wire.weight,
        }
    }
}

impl From<&Share> for ShareWire {
    fn from(share: &Share) -> Self {
        Self {
            service: share.service.clone(),
            weight: share.weight,
        }
    }
}

impl From<RetryWire> for Retry {
    fn from(wire: RetryWire) -> Self {
        Self {
            attempts: wire.attempts,
            budget_percent: wire.budget_percent,
        }
    }
}

impl From<TenantLimitWire> for TenantLimit {
    fn from(wire: TenantLimitWire) -> Self {
        Self {
            tenant: wire.tenant,
            weight: wire.weight,
            concurrency: wire.concurrency,
        }
    }
}

impl From<&TenantLimit> for TenantLimitWire {
    fn from(limit: &TenantLimit) -> Self {
        Self {
            tenant: limit.tenant.clone(),
            weight: limit.weight,
            concurrency: limit.concurrency,
        }
    }
}

impl From<&Resource> for ResourceWire {
    fn from(resource: &Resource) -> Self {
        match resource {
            Resource::Policy(policy) => Self::Policy(PolicyWire {
                name: policy.name.clone(),
                timeout: duration_text(policy.timeout).into(),
                latency_objective: policy.latency_objective.map(|it| duration_text(it).into()),
                priority: policy.priority,
                retry: RetryWire {
                    attempts: policy.retry.attempts,
                    budget_percent: policy.retry.budget_percent,
                },
                limits: policy.limits.iter().map(TenantLimitWire::from).collect(),
            }),
            Resource::Service(service) => Self::Service(ServiceWire {
                name: service.name.clone(),
                policy: service.policy.clone(),
                health_path: service.health_path.clone(),
            }),
            Resource::Upstream(upstream) => Self::Upstream(UpstreamWire {
                name: upstream.name.clone(),
                service: upstream.service.clone(),
                slots: upstream.slots,
                connections: upstream.connections,
            }),
            Resource::Route(route) => Self::Route(RouteWire {
                name: route.name.clone(),
                host: route.host.clone(),
                prefix: route.prefix.clone(),
                service: route.service.clone(),
                split: route.split.iter().map(ShareWire::from).collect(),
                policy: route.policy.clone(),
                idempotent: route.idempotent,
                public: route.public,
            }),
            Resource::Customer(customer) => Self::Customer(CustomerWire {
                name: customer.name.clone(),
                keys: customer.keys.clone(),
                quota: customer.quota.map(QuotaWire::from),
                priority: customer.priority,
            }),
        }
    }
}
