//! Versions and members between daemons that are separate processes.

use std::time::{Duration, Instant};

use ntex::time::sleep;
use stoatstep_resource::Version;
use stoatstep_resource::wire::{MemberState, ResourceWire, ServiceWire};

use crate::fleet::Fleet;
use crate::http::{Request, run};

const READY: Duration = Duration::from_secs(15);

/// The users' limit for a change to be in force everywhere.
const CONVERGENCE: Duration = Duration::from_secs(6);

const POLL: Duration = Duration::from_millis(50);

fn service(name: &str) -> Vec<ResourceWire> {
    vec![ResourceWire::Service(ServiceWire {
        name: name.into(),
        policy: None,
        health_path: None,
    })]
}

async fn started(instances: usize, zones: usize) -> (Fleet, Version) {
    let mut fleet = Fleet::builder().instances(instances).zones(zones).start();
    fleet.ready(READY).await;
    fleet.joined(READY).await;
    let version = fleet.apply(0, fleet.default_resources()).await;
    fleet.holds_everywhere(version, CONVERGENCE).await;
    (fleet, version)
}

async fn platform_down(fleet: &Fleet, time: Duration) {
    let body = format!(r#"{{"kind": "down", "for_ms": {}}}"#, time.as_millis());
    let req = Request::post(fleet.platform_addr, "/admin/fault", body);
    let answer = req.header("content-type", "application/json").send().await;
    let answer = answer.expect("the stand-in's answer");
    assert!(answer.status < 300, "{}", answer.text());
}

async fn sees(fleet: &Fleet, at: usize, of: &str, state: MemberState) -> bool {
    let status = fleet.status(at).await.expect("status");
    let found = status.members.iter().find(|it| it.instance == of);
    found.is_some_and(|it| it.state == state)
}

async fn until_all_see(fleet: &mut Fleet, of: &str, state: MemberState, within: Duration) {
    let end = Instant::now() + within;
    for at in 0..fleet.instances.len() {
        if fleet.instances[at].daemon.exited().is_some() {
            continue;
        }
        while !sees(fleet, at, of, state).await {
            assert!(Instant::now() < end, "{at} does not see {of} as {state}");
            sleep(POLL).await;
        }
    }
}

/// The platform goes down the moment after it accepted a change, so that no
/// other daemon can read it there. Callers at other daemons would be routed by
/// the old version until the outage ends. The daemon that wrote it tells them.
#[test]
fn accepted_change_spreads_without_the_platform() {
    run(async {
        let (mut fleet, _) = started(6, 2).await;
        let version = fleet.apply(1, service("just-before-the-outage")).await;
        platform_down(&fleet, Duration::from_secs(20)).await;
        fleet.holds_everywhere(version, CONVERGENCE).await;
    });
}

/// A daemon dies the moment after it had a change accepted, and may have told
/// nobody. The operator was told "accepted", so the change must take hold; the
/// pollers of each zone find it at the platform.
#[test]
fn accepted_change_survives_the_daemon_that_wrote_it() {
    run(async {
        let (mut fleet, _) = started(6, 2).await;
        let version = fleet.apply(1, service("last-words")).await;
        fleet.instances[1].daemon.kill();
        fleet.holds_everywhere(version, CONVERGENCE).await;
    });
}

/// A daemon is killed and started again while the platform is down: it can read
/// neither roster nor version there. Its callers would wait for the platform.
/// Peers that took it for gone still knock at its address, and from them it gets
/// both the version and the word that it may serve by it.
#[test]
fn daemon_restarts_while_the_platform_is_down() {
    run(async {
        let (mut fleet, version) = started(5, 1).await;
        fleet.instances[2].daemon.kill();
        let name = fleet.instances[2].name.clone();
        until_all_see(&mut fleet, &name, MemberState::Gone, READY).await;
        platform_down(&fleet, Duration::from_mins(1)).await;
        fleet.restart_daemon(2);
        fleet.ready(READY).await;
        fleet.holds_everywhere(version, CONVERGENCE).await;
    });
}

/// A whole zone's daemons die and start together. Each would fetch everything
/// from the platform; they take it from the other zone, and the platform sees a
/// bounded number of reads.
#[test]
fn zone_that_restarts_takes_the_version_from_peers() {
    run(async {
        let (mut fleet, version) = started(8, 2).await;
        let zone: Vec<usize> = (0..8).filter(|number| number % 2 == 1).collect();
        for number in &zone {
            fleet.instances[*number].daemon.kill();
        }
        let before = reads(&fleet).await;
        for number in &zone {
            fleet.restart_daemon(*number);
        }
        fleet.ready(READY).await;
        fleet.holds_everywhere(version, CONVERGENCE).await;
        let after = reads(&fleet).await;
        // One read by each that starts, a second look, and what pollers read.
        assert!(after - before < 60, "{} reads", after - before);
    });
}

/// A daemon is told to drain while a call is in flight, so that it stays for a
/// while. Others must know that it is leaving before they send it more work.
#[test]
fn departure_is_known_before_the_daemon_is_gone() {
    run(async {
        let (mut fleet, _) = started(4, 2).await;
        let name = fleet.instances[3].name.clone();
        let stopped = fleet.instances[3].daemon.terminate(READY).await;
        assert!(stopped.is_some_and(|status| status.success()));
        for at in 0..3 {
            let alive = sees(&fleet, at, &name, MemberState::Alive).await;
            assert!(!alive, "{at} still takes {name} for alive");
        }
    });
}

async fn reads(fleet: &Fleet) -> u64 {
    let answer = Request::get(fleet.platform_addr, "/admin/counts")
        .send()
        .await;
    let counts: serde_json::Value = answer.expect("the stand-in's answer").json();
    counts["total"]["reads"].as_u64().expect("a count")
}
