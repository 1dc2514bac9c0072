//! The configuration in the form in which calls use it.

use std::sync::Arc;

use stoatstep_calls::{KeyRing, RouteTable};
use stoatstep_membership::ConfigId;
use stoatstep_resource::{Key, Kind, Resource, Service, State, Version};

/// One version of the configuration, compiled for routing. It is immutable: a call keeps the one
/// with which it began, and a new version replaces the pointer to it.
#[derive(Debug)]
pub(crate) struct InForce {
    pub(crate) state: Arc<State>,
    pub(crate) config_id: ConfigId,
    pub(crate) routes: RouteTable,
    /// Whether the calls of any route are served after their objective.
    pub(crate) any_serves_late: bool,
    pub(crate) keys: KeyRing,
    /// Whether an earlier configuration of this process had customers.
    pub(crate) had_customers: bool,
}

impl InForce {
    /// Compiles a state. `had_customers` says whether an earlier one had customers.
    pub(crate) fn new(state: State, had_customers: bool) -> Self {
        let routes = RouteTable::new(&state);
        Self {
            config_id: stoatstep_distribution::config_id_of(&state),
            any_serves_late: routes.any_serves_late(),
            routes,
            keys: KeyRing::new(&state),
            had_customers,
            state: Arc::new(state),
        }
    }

    /// The service with this name.
    pub(crate) fn service(&self, name: &str) -> Option<&Service> {
        let key = Key {
            kind: Kind::Service,
            name: name.into(),
        };
        match self.state.get(&key)?.resource.as_ref() {
            Resource::Service(service) => Some(service),
            _ => None,
        }
    }

    pub(crate) fn version(&self) -> Version {
        self.state.version()
    }
}
