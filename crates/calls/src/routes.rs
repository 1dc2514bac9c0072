//! Lookup of the route of a request, and selection of the service of a split route.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use smol_str::SmolStr;
use stoatstep_resource::{
    Key, Kind, Policy, PolicyName, Resource, Retry, Route, ServiceName, State,
};

/// Policy of a call if neither its route nor its service names one.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(2);
const DEFAULT_RETRY: Retry = Retry {
    attempts: 3,
    budget_percent: 20,
};

/// A route with its policy, resolved once for each version of the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResolvedRoute {
    /// The route.
    pub route: Route,
    /// Policy of the route, or else of its service, or else the built-in one.
    pub policy: Arc<Policy>,
}

impl ResolvedRoute {
    /// The service that a call goes to. Calls of a split route are distributed by weight
    /// according to `draw`. It is random, except for a call with an idempotency key, which
    /// must always reach the same service.
    #[must_use]
    pub fn service(&self, draw: u32) -> &ServiceName {
        let split = &self.route.split;
        let sum: u32 = split.iter().map(|share| share.weight).sum();
        if sum == 0 {
            return &self.route.service;
        }
        let mut rest = draw % sum;
        for share in split {
            let Some(beyond) = rest.checked_sub(share.weight) else {
                return &share.service;
            };
            rest = beyond;
        }
        &self.route.service
    }
}

/// The routes of one version of the configuration, by host and prefix.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RouteTable {
    /// Routes for any host have the empty host name.
    hosts: HashMap<SmolStr, HashMap<SmolStr, Arc<ResolvedRoute>>>,
}

impl RouteTable {
    /// Compiles the routes of `state`, whose references must have been validated.
    #[must_use]
    pub fn new(state: &State) -> Self {
        let mut table = Self::default();
        for held in state.of_kind(Kind::Route) {
            if let Resource::Route(route) = held.resource.as_ref() {
                table.add(resolve(state, route));
            }
        }
        table
    }

    /// The route of a request: the one with the longest matching prefix among the routes
    /// of its host, or else among those for any host.
    ///
    /// A prefix without a slash at its end matches whole path segments. A prefix with a
    /// slash at its end does not match the same path without the slash.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<ResolvedRoute>> {
        let host = normalize_host(host);
        let named = self.hosts.get(host.as_str());
        let any = self.hosts.get("");
        named
            .and_then(|routes| longest_match(routes, path))
            .or_else(|| any.and_then(|routes| longest_match(routes, path)))
    }

    /// Whether the calls of any route are served after their objective.
    #[must_use]
    pub fn any_serves_late(&self) -> bool {
        let mut routes = self.hosts.values().flat_map(HashMap::values);
        routes.any(|it| it.policy.serves_late())
    }

    fn add(&mut self, resolved: ResolvedRoute) {
        let host = resolved.route.host.as_deref().unwrap_or_default();
        let routes = self.hosts.entry(normalize_host(host)).or_default();
        routes.insert(resolved.route.prefix.clone(), Arc::new(resolved));
    }
}

/// Normalizes a host name, which is compared without its port and regardless of case.
fn normalize_host(host: &str) -> SmolStr {
    let name = host.split(':').next().unwrap_or_default();
    if name.bytes().any(|it| it.is_ascii_uppercase()) {
        return name.to_ascii_lowercase().into();
    }
    name.into()
}

fn longest_match<'a>(
    routes: &'a HashMap<SmolStr, Arc<ResolvedRoute>>,
    path: &str,
) -> Option<&'a Arc<ResolvedRoute>> {
    prefixes(path).find_map(|prefix| routes.get(prefix))
}

/// Every prefix of whole segments, the longest first. Looking them up takes as many steps
/// as the path has segments, whereas a scan would compare hundreds of routes.
fn prefixes(path: &str) -> impl Iterator<Item = &str> {
    let slashes = path.match_indices('/').map(|(at, _)| at).rev();
    let cut = slashes.flat_map(|at| [&path[..=at], &path[..at]]);
    std::iter::once(path).chain(cut)
}

fn resolve(state: &State, route: &Route) -> ResolvedRoute {
    let service = Key {
        kind: Kind::Service,
        name: route.service.clone(),
    };
    let of_service = match state.get(&service).map(|held| held.resource.as_ref()) {
        Some(Resource::Service(service)) => service.policy.as_ref(),
        _ => None,
    };
    ResolvedRoute {
        policy: policy_of(state, route.policy.as_ref(), of_service),
        route: route.clone(),
    }
}

fn policy_of(
    state: &State,
    first: Option<&PolicyName>,
    second: Option<&PolicyName>,
) -> Arc<Policy> {
    first
        .or(second)
        .and_then(|name| named_policy(state, name))
        .unwrap_or_else(|| {
            Arc::new(Policy {
                name: SmolStr::new_static("default"),
                timeout: DEFAULT_TIMEOUT,
                latency_objective: None,
                priority: None,
                retry: DEFAULT_RETRY,
                limits: Vec::new(),
            })
        })
}

fn named_policy(state: &State, name: &PolicyName) -> Option<Arc<Policy>> {
    let key = Key {
        kind: Kind::Policy,
        name: name.clone(),
    };
    match state.get(&key)?.resource.as_ref() {
        Resource::Policy(policy) => Some(Arc::new(policy.clone())),
        _ => None,
    }
}
