//! Times what a daemon does with a state of the size that the next two years
//! need: 48 services and 610 upstreams. Prints one JSON line for each figure.

use std::hint::black_box;
use std::time::Instant;

use stoatstep_resource::wire::{DeltaWire, SnapshotWire};
use stoatstep_resource::{Resource, Route, Service, State, Upstream, validate};

const SERVICES: usize = 48;
const UPSTREAMS: usize = 610;
const ROUNDS: u32 = 500;

fn main() {
    let state = state();
    print_time("digest_us", || {
        black_box(black_box(&state).digest());
    });
    let delta = state.delta(vec![upstream(7, 12)], Vec::new());
    print_time("apply_us", || {
        black_box(black_box(&state).apply(&delta)).ok();
    });
    print_time("validate_us", || {
        black_box(validate(black_box(&state)));
    });
    let snapshot = rmp_serde::to_vec(&SnapshotWire::from(&state)).unwrap_or_default();
    print_size("snapshot_bytes", snapshot.len());
    print_mean_change(&state);
}

/// Digests differ in how long they are on the wire in some encodings, so the
/// size of a change is a mean over many.
fn print_mean_change(state: &State) {
    let sizes = (0..UPSTREAMS).map(|i| {
        let delta = state.delta(vec![upstream(i, 12)], Vec::new());
        let bytes = rmp_serde::to_vec(&DeltaWire::from(&delta));
        bytes.unwrap_or_default().len()
    });
    let total: usize = sizes.sum();
    let mean = total / UPSTREAMS;
    println!(
        r#"{{"name":"one_upstream_change_bytes","value":{mean},"unit":"bytes","count":{UPSTREAMS}}}"#
    );
}

fn state() -> State {
    let mut resources = Vec::new();
    for i in 0..SERVICES {
        let name = format!("service-{i:02}").into();
        resources.push(Resource::Service(Service { name, policy: None }));
        resources.push(Resource::Route(Route {
            name: format!("route-{i:02}").into(),
            prefix: format!("/service-{i:02}").into(),
            service: format!("service-{i:02}").into(),
            policy: None,
            idempotent: false,
        }));
    }
    resources.extend((0..UPSTREAMS).map(|i| upstream(i, 13)));
    let empty = State::default();
    let delta = empty.delta(resources, Vec::new());
    empty.apply(&delta).unwrap_or_default()
}

fn upstream(i: usize, slots: u32) -> Resource {
    let service = i % SERVICES;
    Resource::Upstream(Upstream {
        name: format!("service-{service:02}-upstream-{i:03}").into(),
        service: format!("service-{service:02}").into(),
        slots,
        connections: 120,
    })
}

fn print_time(name: &str, mut work: impl FnMut()) {
    let start = Instant::now();
    for _ in 0..ROUNDS {
        work();
    }
    let micros = start.elapsed().as_secs_f64() * 1e6 / f64::from(ROUNDS);
    println!(r#"{{"name":"{name}","value":{micros:.1},"unit":"us","count":{ROUNDS}}}"#);
}

fn print_size(name: &str, bytes: usize) {
    println!(r#"{{"name":"{name}","value":{bytes},"unit":"bytes","count":1}}"#);
}
