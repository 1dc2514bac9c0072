//! Sizes of encoded messages, on which the byte budget is based. `--nocapture` prints them;
//! `docs/design/spreading.md` quotes them.

use stoatstep_distribution::{LogReply, PushRequest};
use stoatstep_membership::{ConfigId, Exchange, member_key};
use stoatstep_resource::wire::{DeltaWire, SnapshotWire};
use stoatstep_resource::{Resource, State, Upstream};

use crate::support::{route, service};

fn upstream(n: usize) -> Resource {
    Resource::Upstream(Upstream {
        name: format!("floatdesk-{n:03}").into(),
        service: format!("service-{:02}", n % 48).into(),
        slots: 13,
        connections: 120,
    })
}

/// 48 services with a route each, and 610 upstreams.
fn full_size() -> State {
    let services = (0..48).map(|n| service(&format!("service-{n:02}")));
    let routes = (0..48).map(|n| route(&format!("route-{n:02}"), &format!("service-{n:02}")));
    let puts = services
        .chain(routes)
        .chain((0..610).map(upstream))
        .collect();
    let state = State::default();
    let delta = state.delta(puts, Vec::new());
    state.apply(&delta).expect("every service is there")
}

#[test]
fn sizes_stay_within_the_budget() {
    let exchange = Exchange {
        from: member_key("i-1"),
        incarnation: 1_700_000_000_000,
        mark: ConfigId {
            version: 2100,
            digest: u64::MAX,
        },
        floor: 2100,
        head_age: 20,
        table: u64::MAX,
        introduce: false,
        words: Vec::new(),
        rows: Vec::new(),
        drained: None,
    };
    let state = full_size();
    let one = state.delta(vec![upstream(5)], Vec::new());
    let push = PushRequest {
        origin: member_key("i-1"),
        delta: DeltaWire::from(&one),
    };
    let whole = LogReply::Snapshot(SnapshotWire::from(&state));
    let size = |bytes: Result<Vec<u8>, _>| bytes.map_or(usize::MAX, |it: Vec<u8>| it.len());
    let exchange = size(rmp_serde::to_vec(&exchange));
    let push = size(rmp_serde::to_vec(&push));
    let whole = size(rmp_serde::to_vec(&whole));
    println!("exchange {exchange}, push of one upstream {push}, whole state {whole}");
    assert!(exchange <= 64);
    assert!(push <= 160);
    assert!(whole <= 64 * 1024);
}
