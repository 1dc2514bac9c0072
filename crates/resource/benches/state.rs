//! Measures a daemon's operations on states of several sizes, up to twice the number of upstreams
//! that is planned for: 48 services and 610 upstreams within two years. Prints one JSON line for
//! each figure, whose name ends with the number of upstreams.

use std::hint::black_box;
use std::time::{Duration, Instant};

use stoatstep_resource::wire::{DeltaWire, SnapshotWire};
use stoatstep_resource::{Resource, Route, Service, State, Upstream, validate};

const SERVICES: usize = 48;
const UPSTREAMS: [usize; 4] = [153, 305, 610, 1220];
const ROUNDS: usize = 500;

fn main() {
    for upstreams in UPSTREAMS {
        measure(upstreams);
    }
}

fn measure(upstreams: usize) {
    let state = state(upstreams);
    print_time("digest_us", upstreams, || {
        black_box(black_box(&state).digest());
    });
    let delta = state.delta(vec![upstream(7, 12)], Vec::new());
    print_time("apply_us", upstreams, || {
        black_box(black_box(&state).apply(&delta)).ok();
    });
    print_time("validate_us", upstreams, || {
        black_box(validate(black_box(&state)));
    });
    let snapshot = rmp_serde::to_vec(&SnapshotWire::from(&state)).unwrap_or_default();
    let snapshot = snapshot.len();
    println!(
        r#"{{"name":"snapshot_bytes_{upstreams}","value":{snapshot},"unit":"bytes","count":1}}"#
    );
    let mean = mean_change(&state, upstreams);
    println!(
        r#"{{"name":"change_bytes_{upstreams}","value":{mean},"unit":"bytes","count":{upstreams}}}"#
    );
}

/// Returns the mean encoded size of a change of one upstream.
fn mean_change(state: &State, upstreams: usize) -> usize {
    let sizes = (0..upstreams).map(|i| {
        let delta = state.delta(vec![upstream(i, 12)], Vec::new());
        let bytes = rmp_serde::to_vec(&DeltaWire::from(&delta));
        bytes.unwrap_or_default().len()
    });
    sizes.sum::<usize>() / upstreams
}

fn state(upstreams: usize) -> State {
    let mut resources = Vec::new();
    for i in 0..SERVICES {
        let name = format!("service-{i:02}").into();
        resources.push(Resource::Service(Service {
            name,
            policy: None,
            health_path: None,
        }));
        resources.push(Resource::Route(Route {
            name: format!("route-{i:02}").into(),
            prefix: format!("/service-{i:02}").into(),
            service: format!("service-{i:02}").into(),
            policy: None,
            host: None,
            split: Vec::new(),
            idempotent: false,
            public: false,
        }));
    }
    resources.extend((0..upstreams).map(|i| upstream(i, 13)));
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

/// Prints the median time of `work`, which other load on the machine affects less than the mean.
fn print_time(name: &str, upstreams: usize, mut work: impl FnMut()) {
    let mut times: Vec<Duration> = (0..ROUNDS)
        .map(|_| {
            let start = Instant::now();
            work();
            start.elapsed()
        })
        .collect();
    times.sort();
    let micros = times[ROUNDS / 2].as_secs_f64() * 1e6;
    println!(r#"{{"name":"{name}_{upstreams}","value":{micros:.1},"unit":"us","count":{ROUNDS}}}"#);
}
