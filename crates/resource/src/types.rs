//! The kinds of resource that operators write.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::ids::{CustomerName, PolicyName, RouteName, ServiceName, UpstreamName};
use crate::key::{Key, Kind};
use crate::key_digest::KeyDigest;

/// Path at which a target says whether it takes calls, unless its service names
/// another one.
pub const HEALTH_PATH: &str = "/healthz";

/// A service: what callers ask for, carried by its upstreams.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Service {
    /// Name of the service.
    pub name: ServiceName,
    /// Policy for calls whose route names none.
    pub policy: Option<PolicyName>,
    /// Path at which a target says whether it takes calls; [`HEALTH_PATH`] where
    /// absent.
    pub health_path: Option<SmolStr>,
}

impl Service {
    /// The path at which targets of this service say whether they take calls.
    #[must_use]
    pub fn health_path(&self) -> &str {
        self.health_path.as_deref().unwrap_or(HEALTH_PATH)
    }
}

/// An upstream: one target's share of a service. Its address is not written
/// here, since targets announce themselves.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Upstream {
    /// Name of the upstream, which the target's daemon announces.
    pub name: UpstreamName,
    /// The service that it serves.
    pub service: ServiceName,
    /// Calls that the target runs at a time.
    pub slots: u32,
    /// Connections that the target accepts at a time.
    pub connections: u32,
}

/// A route: which paths belong to which service.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Route {
    /// Name of the route.
    pub name: RouteName,
    /// Host that callers name; any where absent.
    pub host: Option<SmolStr>,
    /// Path prefix; the longest that matches whole path segments wins.
    pub prefix: SmolStr,
    /// The service that answers.
    pub service: ServiceName,
    /// Shares of calls that go to services by weight, in place of all of them
    /// to `service`; empty where they are not split.
    pub split: Vec<Share>,
    /// Policy for these calls; the service's where absent.
    pub policy: Option<PolicyName>,
    /// Whether a POST here may run more than once without harm.
    pub idempotent: bool,
    /// Whether callers need no key here. Where no customer is configured, nobody needs
    /// one.
    pub public: bool,
}

/// One service's part of a route's calls.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Share {
    /// The service.
    pub service: ServiceName,
    /// Its part, relative to the sum of all weights of the route.
    pub weight: u32,
}

/// A policy: how long calls may take, how they are retried, and what each
/// tenant may use.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Policy {
    /// Name of the policy.
    pub name: PolicyName,
    /// Longest time of a call whose caller states no deadline.
    pub timeout: Duration,
    /// Time within which an answer is worth its full price to the caller; the
    /// timeout where absent.
    pub latency_objective: Option<Duration>,
    /// Rank of the calls among others, 0 the most urgent; where absent, each
    /// caller states its own class.
    pub priority: Option<u8>,
    /// How attempts that did not run are tried again.
    pub retry: Retry,
    /// Limits of single tenants; a tenant not named here has weight 1.
    pub limits: Vec<TenantLimit>,
}

/// How attempts are tried again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Retry {
    /// Attempts for one call, the first one included.
    pub attempts: u32,
    /// Retries allowed for each hundred first attempts.
    pub budget_percent: u32,
}

/// What one tenant may use of a service.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TenantLimit {
    /// The tenant.
    pub tenant: CustomerName,
    /// Share under overload, relative to the other tenants' weights.
    pub weight: u32,
    /// Calls of this tenant that one upstream runs at a time; no bound of its
    /// own where absent.
    pub concurrency: Option<u32>,
}

/// A customer: who its callers are is known by their keys.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Customer {
    /// Name of the customer, which targets are told.
    pub name: CustomerName,
    /// Digests of its keys. A customer without any can make no calls.
    pub keys: Vec<KeyDigest>,
    /// What it may use of the whole fleet; as much as it likes where absent.
    pub quota: Option<Quota>,
    /// Rank of its calls among others, in place of that of the route's policy.
    pub priority: Option<u8>,
}

/// Bound of a customer's calls, over all daemons together. In any span of time there are
/// at most as many as the rate allows in it, and a burst on top.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Quota {
    /// Calls a minute.
    pub per_minute: u32,
    /// Calls that may come at once after a pause.
    pub burst: u32,
}

impl Quota {
    /// Calls a second.
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
    /// The kind of this resource.
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

    /// The key under which the state holds this resource.
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

    /// The keys that must exist for this resource to mean anything.
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
