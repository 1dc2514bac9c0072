//! The resources that operators write, by kind.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::ids::{CustomerName, PolicyName, RouteName, ServiceName, UpstreamName};
use crate::key::{Key, Kind};
use crate::key_digest::KeyDigest;

/// Path of a target's health check, unless its service sets another one.
pub const HEALTH_PATH: &str = "/healthz";

/// A service, which callers address and its upstreams provide.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Service {
    /// Name of the service.
    pub name: ServiceName,
    /// Policy of calls whose route sets none.
    pub policy: Option<PolicyName>,
    /// Path of the targets' health check; [`HEALTH_PATH`] if absent.
    pub health_path: Option<SmolStr>,
}

impl Service {
    /// Returns the path of the targets' health check.
    #[must_use]
    pub fn health_path(&self) -> &str {
        self.health_path.as_deref().unwrap_or(HEALTH_PATH)
    }
}

/// An upstream: one target that serves a service. It has no address here, since targets announce
/// theirs themselves.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Upstream {
    /// Name of the upstream, which the target's daemon announces.
    pub name: UpstreamName,
    /// The service that it serves.
    pub service: ServiceName,
    /// Calls that the target runs concurrently.
    pub slots: u32,
    /// Connections that the target accepts concurrently.
    pub connections: u32,
}

/// A route, which maps a path prefix to a service.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Route {
    /// Name of the route.
    pub name: RouteName,
    /// Host that requests must name; any host if absent.
    pub host: Option<SmolStr>,
    /// Path prefix, matched by whole path segments; the longest matching prefix wins.
    pub prefix: SmolStr,
    /// The service that runs the calls.
    pub service: ServiceName,
    /// Services among which the calls are split by weight, instead of `service` running them all;
    /// empty if they are not split.
    pub split: Vec<Share>,
    /// Policy of these calls; the service's if absent.
    pub policy: Option<PolicyName>,
    /// Whether a POST to this route may run more than once without harm.
    pub idempotent: bool,
    /// Whether callers need no API key on this route. If no customer is configured, no route needs
    /// one.
    pub public: bool,
}

/// One service's share of a route's calls.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Share {
    /// The service.
    pub service: ServiceName,
    /// The service's share, relative to the sum of all weights of the route.
    pub weight: u32,
}

/// A policy: timeout, priority and retries of calls, and the limits of tenants.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Policy {
    /// Name of the policy.
    pub name: PolicyName,
    /// Timeout of a call whose caller sets no deadline.
    pub timeout: Duration,
    /// Time within which an answer has its full value to the caller; the timeout if absent.
    pub latency_objective: Option<Duration>,
    /// Priority of the calls, 0 being the most urgent; if absent, each caller states its class.
    pub priority: Option<u8>,
    /// How attempts that did not run are retried.
    pub retry: Retry,
    /// Limits of single tenants; a tenant without an entry has weight 1.
    pub limits: Vec<TenantLimit>,
}

/// Multiple of the latency objective from which a timeout says that callers are still served well
/// after it. Up to that, the timeout only bounds how long a caller is kept.
const LATE_TIMEOUT_FACTOR: u32 = 3;

impl Policy {
    /// Returns whether calls are to be served after their latency objective as well, while there
    /// is too little room for all in time: if the timeout is three times the objective or more.
    #[must_use]
    pub fn serves_late(&self) -> bool {
        self.latency_objective
            .is_some_and(|it| self.timeout >= it * LATE_TIMEOUT_FACTOR)
    }
}

/// Limits of retries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Retry {
    /// Maximum number of attempts of one call, including the first.
    pub attempts: u32,
    /// Retries allowed for every hundred first attempts.
    pub budget_percent: u32,
}

/// Limits of one tenant's calls to a service.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TenantLimit {
    /// The tenant.
    pub tenant: CustomerName,
    /// The tenant's share under overload, relative to the weights of the other tenants.
    pub weight: u32,
    /// Calls of this tenant that one upstream runs concurrently; without a separate limit if
    /// absent.
    pub concurrency: Option<u32>,
}

/// A customer, whose callers are identified by their API keys.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Customer {
    /// Name of the customer, which is passed on to targets.
    pub name: CustomerName,
    /// Digests of its API keys. A customer without keys cannot make calls.
    pub keys: Vec<KeyDigest>,
    /// Limit of its calls over the whole fleet; unlimited if absent.
    pub quota: Option<Quota>,
    /// Priority of its calls, which overrides that of the route's policy.
    pub priority: Option<u8>,
}

impl Customer {
    /// Name of [`Customer::nobody`].
    pub const NOBODY: &str = "nobody";

    /// Returns a customer without keys. Daemons check keys where the configuration holds any
    /// customer; this one stands for customers that are configured but none is left. See
    /// [how keys are switched off](../../../docs/concepts/customers.md#keys-are-switched-off).
    #[must_use]
    pub fn nobody() -> Self {
        Self {
            name: Self::NOBODY.into(),
            keys: Vec::new(),
            quota: None,
            priority: None,
        }
    }
}

/// Limit of a customer's calls, over all daemons together. Within any period, at most as many calls
/// are allowed as the rate yields in it, plus the burst.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Quota {
    /// Calls per minute.
    pub per_minute: u32,
    /// Calls that are allowed at once after an idle period.
    pub burst: u32,
}

impl Quota {
    /// Returns the rate in calls per second.
    #[must_use]
    pub fn per_second(&self) -> f64 {
        f64::from(self.per_minute) / 60.0
    }
}

/// One resource of any kind.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Resource {
    /// A policy.
    Policy(Policy),
    /// A service.
    Service(Service),
    /// An upstream.
    Upstream(Upstream),
    /// A route.
    Route(Route),
    /// A customer.
    Customer(Customer),
}

impl Resource {
    /// Returns the kind of this resource.
    #[must_use]
    pub fn kind(&self) -> Kind {
        match self {
            Self::Policy(_) => Kind::Policy,
            Self::Service(_) => Kind::Service,
            Self::Upstream(_) => Kind::Upstream,
            Self::Route(_) => Kind::Route,
            Self::Customer(_) => Kind::Customer,
        }
    }

    /// Returns the key of this resource in a state.
    #[must_use]
    pub fn key(&self) -> Key {
        let name = match self {
            Self::Policy(policy) => &policy.name,
            Self::Service(service) => &service.name,
            Self::Upstream(upstream) => &upstream.name,
            Self::Route(route) => &route.name,
            Self::Customer(customer) => &customer.name,
        };
        Key {
            kind: self.kind(),
            name: name.clone(),
        }
    }

    /// Returns the keys of the resources that this one refers to, all of which must exist.
    #[must_use]
    pub fn references(&self) -> Vec<Key> {
        let policy = |name: &PolicyName| Key {
            kind: Kind::Policy,
            name: name.clone(),
        };
        let service = |name: &ServiceName| Key {
            kind: Kind::Service,
            name: name.clone(),
        };
        match self {
            Self::Policy(_) | Self::Customer(_) => Vec::new(),
            Self::Service(it) => it.policy.iter().map(policy).collect(),
            Self::Upstream(it) => vec![service(&it.service)],
            Self::Route(it) => {
                let mut keys = vec![service(&it.service)];
                keys.extend(it.split.iter().map(|share| service(&share.service)));
                keys.extend(it.policy.iter().map(policy));
                keys
            }
        }
    }
}
