//! States and versions for tests.

use std::sync::Arc;
use std::time::Duration;

use stoatstep_distribution::ZoneMembers;
use stoatstep_membership::MemberKey;
use stoatstep_resource::{Delta, Key, Kind, Resource, Route, Service, State};

pub(crate) const T0: Duration = Duration::ZERO;

pub(crate) fn service(name: &str) -> Resource {
    Resource::Service(Service {
        name: name.into(),
        policy: None,
        health_path: None,
    })
}

pub(crate) fn route(name: &str, service: &str) -> Resource {
    Resource::Route(Route {
        name: name.into(),
        prefix: format!("/{name}").into(),
        service: service.into(),
        policy: None,
        host: None,
        split: Vec::new(),
        idempotent: false,
        public: false,
    })
}

pub(crate) fn service_key(name: &str) -> Key {
    Key {
        kind: Kind::Service,
        name: name.into(),
    }
}

/// Returns versions 1 to `n`, each with one more service, and the last state.
pub(crate) fn log(n: u64) -> (Vec<Arc<Delta>>, State) {
    let mut state = State::default();
    let mut deltas = Vec::new();
    for version in 1..=n {
        let delta = state.delta(vec![service(&format!("s{version}"))], Vec::new());
        state = state.apply(&delta).expect("a new service fits");
        deltas.push(Arc::new(delta));
    }
    (deltas, state)
}

pub(crate) fn view(zones: u64, per_zone: u64) -> ZoneMembers {
    let zone = |z: u64| (z * 1000..z * 1000 + per_zone).collect::<Vec<MemberKey>>();
    (0..zones)
        .map(|z| (format!("z{z}").into(), zone(z)))
        .collect()
}
