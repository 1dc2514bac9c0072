//! The configuration, compiled for the call path.

use std::collections::BTreeMap;
use std::sync::Arc;

use stoatstep_calls::{KeyRing, ResolvedRoute, RouteTable};
use stoatstep_resource::{Digest, Resource, ServiceName, State, Upstream, UpstreamName};

/// A configuration version, compiled for routing. It is immutable: a call uses the same one until
/// it ends, and a new version replaces the pointer to it.
#[derive(Debug)]
pub(crate) struct InForce {
    pub(crate) state: Arc<State>,
    pub(crate) digest: Digest,
    /// The customers by their keys.
    pub(crate) keys: KeyRing,
    routes: RouteTable,
    services: BTreeMap<ServiceName, Vec<UpstreamName>>,
    upstreams: BTreeMap<UpstreamName, Arc<Upstream>>,
}

impl InForce {
    /// Compiles `state`, whose references must have been validated.
    pub(crate) fn new(state: &Arc<State>) -> Self {
        let mut in_force = Self {
            digest: state.digest(),
            keys: KeyRing::new(state),
            routes: RouteTable::new(state),
            services: BTreeMap::new(),
            upstreams: BTreeMap::new(),
            state: Arc::clone(state),
        };
        for (_, held) in state.iter() {
            match held.resource.as_ref() {
                Resource::Policy(_) | Resource::Route(_) | Resource::Customer(_) => {}
                Resource::Service(service) => {
                    in_force.services.entry(service.name.clone()).or_default();
                }
                Resource::Upstream(upstream) => in_force.add_upstream(upstream),
            }
        }
        in_force
    }

    /// Finds the route for a request.
    pub(crate) fn route(&self, host: &str, path: &str) -> Option<&Arc<ResolvedRoute>> {
        self.routes.find(host, path)
    }

    /// Returns the names of a service's upstreams, in order.
    pub(crate) fn upstreams_of(&self, service: &str) -> &[UpstreamName] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns the upstream with this name.
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
