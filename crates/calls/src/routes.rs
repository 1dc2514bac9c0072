//! Which route a request takes, and which service of it.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use smol_str::SmolStr;
use stoatstep_resource::{
    Key, Kind, Policy, PolicyName, Resource, Retry, Route, ServiceName, State,
};

/// What a call gets where neither its route nor its service names a policy.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(2);
const DEFAULT_RETRY: Retry = Retry {
    attempts: 3,
    budget_percent: 20,
};

/// A route together with all that it needs, resolved once for each version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResolvedRoute {
    /// The route.
    pub route: Route,
    /// Its policy, or that of its service, or the built-in one.
    pub policy: Arc<Policy>,
}

impl ResolvedRoute {
    /// The service that a call goes to, by a number drawn for it. Calls of a
    /// split route are dealt out by weight. The draw is random, but for a call
    /// with an idempotency key, which always has to meet the same service.
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

/// The routes of one version, by host and prefix.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RouteTable {
    /// Routes for any host stand under the empty name.
    hosts: HashMap<SmolStr, HashMap<SmolStr, Arc<ResolvedRoute>>>,
}

impl RouteTable {
    /// Compiles the routes of `state`, whose references have been checked.
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

    /// The route for a request: of those of its host, or else of those for any
    /// host, the one with the longest prefix that the path begins with.
    ///
    /// A prefix without a slash at its end stands for whole path segments. One
    /// with a slash at its end does not match the path without it.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<ResolvedRoute>> {
        let host = host_name(host);
        let named = self.hosts.get(host.as_str());
        let any = self.hosts.get("");
        named
            .and_then(|routes| longest(routes, path))
            .or_else(|| any.and_then(|routes| longest(routes, path)))
    }

    fn add(&mut self, resolved: ResolvedRoute) {
        let host = resolved.route.host.as_deref().unwrap_or_default();
        let routes = self.hosts.entry(host_name(host)).or_default();
        routes.insert(resolved.route.prefix.clone(), Arc::new(resolved));
    }
}

/// Host names are compared without their port and regardless of case.
fn host_name(host: &str) -> SmolStr {
    let name = host.split(':').next().unwrap_or_default();
    if name.bytes().any(|it| it.is_ascii_uppercase()) {
        return name.to_ascii_lowercase().into();
    }
    name.into()
}

fn longest<'a>(
    routes: &'a HashMap<SmolStr, Arc<ResolvedRoute>>,
    path: &str,
) -> Option<&'a Arc<ResolvedRoute>> {
    prefixes(path).find_map(|prefix| routes.get(prefix))
}

/// Every prefix of whole segments, the longest first. Looking each up costs as
/// many steps as the path has segments; going through all routes would cost a
/// comparison for each of hundreds.
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
