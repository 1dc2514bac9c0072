//! Tests of the version log over TCP with a faulty platform.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::{Duration, Instant};

use ntex::client::Client;
use ntex::time::{Millis, sleep};
use stoatstep_platform::HttpPlatform;
use stoatstep_resource::wire::Change;
use stoatstep_resource::{Resource, Service, State};
use stoatstep_standin_platform::{Options, serve};
use stoatstep_versionlog::{Environment, LogConfig, Tail, VersionLog};

struct Process {
    platform: HttpPlatform,
    started: Instant,
    seed: u64,
}

impl Environment for Process {
    type Platform = HttpPlatform;

    fn platform(&self) -> &HttpPlatform {
        &self.platform
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    async fn sleep(&self, time: Duration) {
        sleep(time).await;
    }

    fn seed(&self) -> u64 {
        self.seed
    }
}

fn start() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    drop(listener);
    let options = Options {
        addr,
        reads_per_second: 2_000,
        writes_per_second: 300,
    };
    ntex::rt::spawn(serve(&options).unwrap().ended());
    addr
}

async fn log(addr: SocketAddr, zone: &str, seed: u64) -> VersionLog<Process> {
    let builder = HttpPlatform::builder(addr, zone).timeout(Duration::from_millis(200));
    let process = Process {
        platform: builder.build().await.unwrap(),
        started: Instant::now(),
        seed,
    };
    VersionLog::new(process, LogConfig::default())
}

async fn set_fault(addr: SocketAddr, fault: serde_json::Value) {
    let client = Client::new().await;
    let req = client.post(format!("http://{addr}/admin/fault"));
    assert_eq!(req.send_json(&fault).await.unwrap().status().as_u16(), 204);
}

fn put_service(operation: &str, name: &str) -> Change {
    let resource = Resource::Service(Service {
        name: name.into(),
        policy: None,
        health_path: None,
    });
    Change {
        operation: operation.into(),
        puts: vec![(resource, Some(0))],
        deletes: Vec::new(),
    }
}

async fn versions(log: &VersionLog<Process>) -> usize {
    match log.tail(0).await.unwrap() {
        Tail::Deltas { deltas, .. } => deltas.len(),
        Tail::Trimmed { .. } => panic!("nothing was trimmed"),
    }
}

#[ntex::test]
async fn lost_answers_end_in_one_version() {
    // For a while, the table executes requests but all its answers are lost, also those to the
    // reads with which the writer looks for its change. Once answers arrive again, it finds the
    // change and reports it.
    let addr = start();
    let log = log(addr, "a", 1).await;
    let fault = serde_json::json!({"service": "table", "kind": "lose-answers", "for_ms": 400});
    set_fault(addr, fault).await;
    let create = put_service("op-1", "floatdesk");
    let accepted = log.write(create, "tester".into(), Arc::default()).await;
    assert_eq!(accepted.unwrap().version, 1);
    assert_eq!(versions(&log).await, 1);
}

#[ntex::test]
async fn a_write_that_wakes_late_lands_once() {
    // The platform is suspended for callers of one zone. The writer's requests stay unanswered and
    // are all executed when the platform resumes, also the old transaction. Then the same operation
    // is sent from another zone.
    let addr = start();
    let frozen = log(addr, "a", 1).await;
    let other = log(addr, "b", 2).await;
    let fault = serde_json::json!({"zone": "a", "kind": "pause", "for_ms": 700});
    set_fault(addr, fault).await;
    let create = || put_service("op-1", "floatdesk");
    let there = frozen.write(create(), "tester".into(), Arc::default());
    let here = other.write(create(), "tester".into(), Arc::default());
    let (there, here) = ntex::util::join(there, here).await;
    assert_eq!((there.unwrap().version, here.unwrap().version), (1, 1));
    sleep(Millis(800)).await;
    assert_eq!(versions(&other).await, 1);
}

async fn write_five(addr: SocketAddr, number: u64) {
    let log = log(addr, "a", number).await;
    let mut state: Arc<State> = Arc::default();
    for turn in 0..5 {
        let name = format!("service-{number}-{turn}");
        let create = put_service(&name, &name);
        let accepted = log.write(create, "tester".into(), state).await;
        state = accepted.unwrap().state;
    }
}

#[ntex::test]
async fn many_operators_pass_within_the_platforms_limit() {
    // Eight operators at eight daemons write five changes each at the same time, 120 rows in all,
    // and their writes conflict with each other at the head of the log again and again.
    let addr = start();
    let started = Instant::now();
    let operators: Vec<_> = (0..8)
        .map(|it| ntex::rt::spawn(write_five(addr, it)))
        .collect();
    for operator in operators {
        operator.await.unwrap();
    }
    println!("40 changes by 8 operators: {:?}", started.elapsed());
    assert_eq!(versions(&log(addr, "a", 9).await).await, 40);
}
