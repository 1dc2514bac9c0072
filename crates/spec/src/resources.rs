//! Resources that the specifications write.

use smol_str::SmolStr;
use stoatstep_resource::{Key, Kind, Resource, Route, Service};

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
        prefix: SmolStr::from_iter(["/", name]),
        service: service.into(),
        policy: None,
        host: None,
        split: Vec::new(),
        idempotent: false,
        public: false,
    })
}

pub(crate) fn key(kind: Kind, name: &str) -> Key {
    let name = name.into();
    Key { kind, name }
}
