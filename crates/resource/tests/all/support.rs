//! Helpers that build states and resources, and a strategy for arbitrary resources.

use std::time::Duration;

use proptest::prelude::*;
use stoatstep_resource::{
    Customer, KeyDigest, Policy, Quota, Resource, Retry, Route, Service, State, TenantLimit,
    Upstream,
};

pub(crate) fn service(name: &str) -> Resource {
    Resource::Service(Service {
        name: name.into(),
        policy: None,
        health_path: None,
    })
}

pub(crate) fn upstream(name: &str, service: &str) -> Resource {
    Resource::Upstream(Upstream {
        name: name.into(),
        service: service.into(),
        slots: 13,
        connections: 120,
    })
}

pub(crate) fn state_of(resources: Vec<Resource>) -> State {
    let empty = State::default();
    let delta = empty.delta(resources, Vec::new());
    empty.apply(&delta).expect("resources apply")
}

pub(crate) fn any_resource() -> impl Strategy<Value = Resource> {
    let name = || "[a-z0-9]{1,12}".prop_map(smol_str::SmolStr::from);
    let reference = || proptest::option::of(name());
    let service = (name(), reference(), reference()).prop_map(|(name, policy, health_path)| {
        Resource::Service(Service {
            name,
            policy,
            health_path,
        })
    });
    let upstream = (name(), name(), any::<u32>(), any::<u32>()).prop_map(
        |(name, service, slots, connections)| {
            Resource::Upstream(Upstream {
                name,
                service,
                slots,
                connections,
            })
        },
    );
    let route = (name(), name(), name(), reference(), any::<(bool, bool)>()).prop_map(
        |(name, prefix, service, policy, (idempotent, public))| {
            Resource::Route(Route {
                name,
                prefix,
                service,
                policy,
                host: None,
                split: Vec::new(),
                idempotent,
                public,
            })
        },
    );
    let limit =
        (name(), any::<u32>(), any::<Option<u32>>()).prop_map(|(tenant, weight, concurrency)| {
            TenantLimit {
                tenant,
                weight,
                concurrency,
            }
        });
    let limits = proptest::collection::vec(limit, 0..4);
    let policy = (name(), any::<u64>(), any::<(u32, u32)>(), limits).prop_map(
        |(name, nanos, (attempts, budget_percent), limits)| {
            Resource::Policy(Policy {
                name,
                timeout: Duration::from_nanos(nanos),
                retry: Retry {
                    attempts,
                    budget_percent,
                },
                latency_objective: None,
                priority: None,
                limits,
            })
        },
    );
    let digest = any::<u64>().prop_map(|it| KeyDigest::of(&it.to_be_bytes()));
    let keys = proptest::collection::vec(digest, 0..4);
    let customer = (
        name(),
        keys,
        any::<Option<(u32, u32)>>(),
        any::<Option<u8>>(),
    )
        .prop_map(|(name, keys, quota, priority)| {
            Resource::Customer(Customer {
                name,
                keys,
                quota: quota.map(|(per_minute, burst)| Quota { per_minute, burst }),
                priority,
            })
        });
    prop_oneof![service, upstream, route, policy, customer]
}
