//! The configuration in the form in which calls use it.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use smol_str::SmolStr;
use stoatstep_resource::{
    Digest, Key, Kind, Policy, PolicyName, Resource, Retry, Route, ServiceName, State, Upstream,
    UpstreamName,
};

/// What a call gets where neither its route nor its service names a policy.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(2);
const DEFAULT_RETRY: Retry = Retry {
    attempts: 3,
    budget_percent: 20,
};

/// A route together with all that it needs, resolved once for each version.
#[derive(Clone, Debug)]
pub(crate) struct ResolvedRoute {
    pub(crate) route: Route,
    pub(crate) policy: Arc<Policy>,
}

/// One version, compiled for routing. It is immutable: a call keeps the one
/// that it began with, and a new version replaces the pointer to it.
#[derive(Debug)]
pub(crate) struct InForce {
    pub(crate) state: Arc<State>,
    pub(crate) digest: Digest,
    /// Longest prefix first, so that the first match is the right one.
    routes: Vec<Arc<ResolvedRoute>>,
    services: BTreeMap<ServiceName, Vec<UpstreamName>>,
    upstreams: BTreeMap<UpstreamName, Arc<Upstream>>,
}

impl InForce {
    /// Compiles `state`, whose references have been checked.
    pub(crate) fn new(state: &Arc<State>) -> Self {
        let mut in_force = Self {
            digest: state.digest(),
            routes: Vec::new(),
            services: BTreeMap::new(),
            upstreams: BTreeMap::new(),
            state: Arc::clone(state),
        };
        for (_, held) in state.iter() {
            match held.resource.as_ref() {
                Resource::Policy(_) => {}
                Resource::Service(service) => {
                    in_force.services.entry(service.name.clone()).or_default();
                }
                Resource::Upstream(upstream) => in_force.add_upstream(upstream),
                Resource::Route(route) => {
                    let resolved = resolve(state, route);
                    in_force.routes.push(Arc::new(resolved));
                }
            }
        }
        in_force
            .routes
            .sort_by_key(|it| std::cmp::Reverse(it.route.prefix.len()));
        in_force
    }

    /// The route for `path`, whose prefix is the longest of those that match
    /// whole path segments.
    pub(crate) fn route(&self, path: &str) -> Option<&Arc<ResolvedRoute>> {
        self.routes
            .iter()
            .find(|it| matches_segments(&it.route.prefix, path))
    }

    /// Names of a service's upstreams, in order.
    pub(crate) fn upstreams_of(&self, service: &str) -> &[UpstreamName] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// The upstream of this name.
    pub(crate) fn upstream(&self, name: &str) -> Option<&Arc<Upstream>> {
        self.upstreams.get(name)
    }

    fn add_upstream(&mut self, upstream: &Upstream) {
        self.services
            .entry(upstream.service.clone())
            .or_default()
            .push(upstream.name.clone());
        self.upstreams
            .insert(upstream.name.clone(), Arc::new(upstream.clone()));
    }
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

fn matches_segments(prefix: &str, path: &str) -> bool {
    let prefix = prefix.trim_end_matches('/');
    path.strip_prefix(prefix)
        .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}
