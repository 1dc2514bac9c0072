//! Sizes of rows and numbers of requests at the largest supported site, printed for the docs.

mod support;

use std::sync::Arc;
use std::time::Instant;

use stoatstep_platform::{MemoryPlatform, Platform, ReadRequest, encode_commit, encode_read};
use stoatstep_resource::{Resource, State, Upstream};
use stoatstep_versionlog::{
    HEAD, LOG_PREFIX, LogConfig, OPERATION_PREFIX, WriteAction, encode_snapshot, head_request,
};
use support::{Stepper, change, log, route, run, service};

const SERVICES: usize = 48;
const UPSTREAMS: usize = 610;

fn upstream(number: usize, slots: u32) -> Resource {
    Resource::Upstream(Upstream {
        name: format!("upstream-{number:03}").into(),
        service: format!("service-{:02}", number % SERVICES).into(),
        slots,
        connections: 120,
    })
}

fn site_resources() -> Vec<Resource> {
    let services = (0..SERVICES).map(|it| service(&format!("service-{it:02}")));
    let routes = (0..SERVICES).map(|it| {
        let service = format!("service-{it:02}");
        route(&format!("route-{it:02}"), &format!("/{service}"), &service)
    });
    let upstreams = (0..UPSTREAMS).map(|it| upstream(it, 13));
    services.chain(routes).chain(upstreams).collect()
}

fn value_size(platform: &MemoryPlatform, prefix: &str) -> usize {
    let rows: Vec<_> = platform.with_table(|table| table.with_prefix(prefix).collect());
    rows.last().map_or(0, |row| row.value.len())
}

#[test]
fn sizes_at_the_size_to_design_for() {
    let platform = MemoryPlatform::new();
    let log = log(&platform, &LogConfig::default());
    let write = |operation: String, resources: Vec<Resource>, state: &Arc<State>| {
        let puts = resources.into_iter().map(|it| (it, None)).collect();
        let change = change(&operation, puts);
        run(log.write(change, "operator@site".into(), Arc::clone(state))).unwrap()
    };
    let mut state = write("load".to_owned(), site_resources(), &Arc::default()).state;
    let before = platform.usage();
    let started = Instant::now();
    let changes = 500;
    for number in 0..changes {
        let id = format!("0198c0de-0000-7000-8000-{number:012}");
        let resource = upstream(number % UPSTREAMS, 9);
        let accepted = write(id, vec![resource], &state);
        state = accepted.state;
        if log.snapshot_is_due(&accepted.head) {
            run(log.snapshot(Arc::clone(&state))).unwrap();
        }
    }
    let took = started.elapsed() / u32::try_from(changes).unwrap();
    let after = platform.usage();
    println!("head row: {} bytes", value_size(&platform, HEAD));
    println!("log row: {} bytes", value_size(&platform, LOG_PREFIX));
    println!(
        "operation row: {} bytes",
        value_size(&platform, OPERATION_PREFIX)
    );
    println!("snapshot: {} bytes", encode_snapshot(&state).len());
    println!("poll request: {} bytes", encode_read(head_request()).len());
    println!("table reads: {}", after.reads - before.reads);
    println!("commits: {}", after.commits - before.commits);
    println!(
        "object writes: {}",
        after.object_writes - before.object_writes
    );
    println!("wall time for a change, snapshots included: {took:?}");
    let before = platform.usage();
    let started = Instant::now();
    let recovered = run(log.recover()).unwrap();
    println!("cold start: {:?}", started.elapsed());
    assert_eq!(recovered.state, state);
    assert_eq!(platform.usage().reads - before.reads, 2);
    assert!(encode_snapshot(&state).len() < 100_000);
}

#[test]
fn a_change_is_one_read_and_one_commit() {
    let platform = MemoryPlatform::new();
    let mut stepper = Stepper::new(change("op", vec![(service("floatdesk"), None)]), 1);
    let WriteAction::Read(ReadRequest { gets, ranges }) = stepper.action.clone() else {
        panic!("reads first");
    };
    assert_eq!((gets.len(), ranges.len()), (2, 1));
    stepper.step(&platform);
    let WriteAction::Commit(req) = stepper.action.clone() else {
        panic!("commits next");
    };
    assert_eq!(req.writes.len(), 3);
    println!("transaction: {} bytes", encode_commit(req.clone()).len());
    run(platform.commit(req)).unwrap();
}
