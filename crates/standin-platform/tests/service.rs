//! Tests of the client with the stand-in over TCP: the result that a caller gets, compared with the
//! effect of its request.

use std::io::Read;
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use ntex::client::Client;
use ntex::time::{Millis, sleep};
use stoatstep_platform::{
    CommitAnswer, CommitRequest, Condition, HttpPlatform, Platform, PlatformError, RangeRead,
    ReadRequest, Write,
};
use stoatstep_standin_platform::{CountsReport, Options, serve};

const TIMEOUT: Duration = Duration::from_millis(200);

fn free_addr() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("an address")
}

fn start_limited(reads_per_second: u32, writes_per_second: u32) -> SocketAddr {
    let addr = free_addr();
    let options = Options {
        addr,
        reads_per_second,
        writes_per_second,
    };
    let running = serve(&options).expect("the port is free");
    ntex::rt::spawn(running.ended());
    addr
}

fn start() -> SocketAddr {
    start_limited(2_000, 300)
}

async fn client(addr: SocketAddr, zone: &str) -> HttpPlatform {
    let builder = HttpPlatform::builder(addr, zone).timeout(TIMEOUT);
    builder.build().await.expect("a client")
}

fn put(key: &str, value: &str) -> CommitRequest {
    CommitRequest {
        conditions: vec![Condition::Absent(key.into())],
        writes: vec![Write::Put {
            key: key.into(),
            value: value.into(),
        }],
    }
}

async fn exists(platform: &HttpPlatform, key: &str) -> bool {
    let req = ReadRequest {
        gets: vec![key.into()],
        ranges: Vec::new(),
    };
    let answer = platform.read(req).await.expect("a read");
    answer.rows[0].is_some()
}

async fn set_fault(addr: SocketAddr, fault: &serde_json::Value) {
    let url = format!("http://{addr}/admin/fault");
    let client = Client::new().await;
    let res = client.post(url).send_json(fault).await.expect("an answer");
    assert_eq!(res.status().as_u16(), 204);
}

async fn counts(addr: SocketAddr) -> CountsReport {
    let client = Client::new().await;
    let url = format!("http://{addr}/admin/counts");
    let res = client.get(url).send().await.expect("an answer");
    res.json().await.expect("counts")
}

#[ntex::test]
async fn transactions_are_all_or_nothing() {
    let platform = client(start(), "a").await;
    let committed = platform.commit(put("k/1", "one")).await;
    assert_eq!(committed, Ok(CommitAnswer::Committed { revision: 1 }));
    let mut req = put("k/2", "two");
    req.conditions.push(Condition::AtRevision("k/1".into(), 7));
    let conflict = platform.commit(req).await;
    assert_eq!(conflict, Ok(CommitAnswer::Conflict { failed: vec![1] }));
    assert!(!exists(&platform, "k/2").await);
}

#[ntex::test]
async fn ranges_end_before_their_end_and_at_their_limit() {
    let platform = client(start(), "a").await;
    for key in ["k/1", "k/2", "k/3", "l/1"] {
        platform.commit(put(key, key)).await.expect("a commit");
    }
    let range = |start: &str, end: &str, limit| RangeRead {
        start: start.into(),
        end: end.into(),
        limit,
    };
    let ranges = vec![
        range("k/", "k0", 10),
        range("k/2", "l0", 2),
        range("z", "a", 9),
    ];
    let gets = vec!["none".into()];
    let answer = platform.read(ReadRequest { gets, ranges }).await.unwrap();
    let keys: Vec<Vec<&str>> = answer
        .ranges
        .iter()
        .map(|rows| rows.iter().map(|row| row.key.as_str()).collect())
        .collect();
    assert_eq!(answer.rows, vec![None]);
    assert_eq!(
        keys,
        vec![vec!["k/1", "k/2", "k/3"], vec!["k/2", "k/3"], vec![]]
    );
}

#[ntex::test]
async fn objects_are_kept_listed_and_deleted() {
    let platform = client(start(), "a").await;
    let name = "snapshot/00000000000000000064";
    assert_eq!(
        platform.get_object(name).await,
        Err(PlatformError::NotFound)
    );
    let bytes: Vec<u8> = (0..=255).cycle().take(1_000_000).collect();
    platform.put_object(name, bytes.clone()).await.unwrap();
    assert_eq!(platform.get_object(name).await, Ok(bytes));
    let names = platform.list_objects("snapshot/").await.unwrap();
    assert_eq!(names, vec![name]);
    platform.delete_object(name).await.unwrap();
    platform.delete_object(name).await.unwrap();
    assert!(platform.list_objects("").await.unwrap().is_empty());
}

#[ntex::test]
async fn down_means_not_done() {
    // The caller is refused with a time after which to retry, and the row does not exist
    // afterwards. "Down" is the one fault after which a writer may simply retry, so the write must
    // not have taken effect. The fault applies to one zone only; the other is not affected.
    let addr = start();
    let cut_off = client(addr, "a").await;
    let other = client(addr, "b").await;
    set_fault(
        addr,
        &serde_json::json!({"service": "table", "zone": "a", "kind": "down", "for_ms": 300}),
    )
    .await;
    let refused = cut_off.commit(put("k", "v")).await.unwrap_err();
    assert!(
        matches!(refused, PlatformError::Unavailable { .. }),
        "{refused}"
    );
    assert!(refused.retry_after().is_some());
    assert!(!exists(&other, "k").await);
    sleep(Millis(350)).await;
    assert!(cut_off.commit(put("k", "v")).await.is_ok());
}

#[ntex::test]
async fn a_lost_answer_is_unknown_though_the_write_is_there() {
    // The service commits, and the connection ends before the answer. The HTTP library reports that
    // as a failed connect; a writer that treated it as not done would write twice.
    let addr = start();
    let platform = client(addr, "a").await;
    set_fault(
        addr,
        &serde_json::json!({"kind": "lose-answers", "for_ms": 200}),
    )
    .await;
    let lost = platform.commit(put("k", "v")).await.unwrap_err();
    assert!(matches!(lost, PlatformError::Unknown { .. }), "{lost}");
    sleep(Millis(250)).await;
    assert!(exists(&platform, "k").await);
}

#[ntex::test]
async fn a_paused_service_writes_after_the_caller_gave_up() {
    // The caller times out and reads that the row is absent; then the service resumes and executes
    // the request that had reached it. After an unknown outcome, an absent row therefore proves
    // nothing.
    let addr = start();
    let paused = client(addr, "a").await;
    let other = client(addr, "b").await;
    set_fault(
        addr,
        &serde_json::json!({"zone": "a", "kind": "pause", "for_ms": 600}),
    )
    .await;
    let late = paused.commit(put("k", "v")).await.unwrap_err();
    assert!(matches!(late, PlatformError::Unknown { .. }), "{late}");
    assert!(!exists(&other, "k").await);
    sleep(Millis(600)).await;
    assert!(exists(&other, "k").await);
}

#[ntex::test]
async fn a_connection_that_ends_during_a_request_is_unknown() {
    // A service fails after it read the request, and its connection ends without any byte of an
    // answer. Whether the request took effect can't be known.
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let server = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut buf = [0; 4096];
        stream.read(&mut buf).unwrap()
    });
    let platform = client(addr, "a").await;
    let ended = platform.commit(put("k", "v")).await.unwrap_err();
    assert!(server.join().unwrap() > 0);
    assert!(matches!(ended, PlatformError::Unknown { .. }), "{ended}");
}

#[ntex::test]
async fn a_refused_connect_is_not_done() {
    let platform = client(free_addr(), "a").await;
    let refused = platform.commit(put("k", "v")).await.unwrap_err();
    assert!(
        matches!(refused, PlatformError::Unavailable { .. }),
        "{refused}"
    );
}

#[ntex::test]
async fn over_the_limit_is_throttled_and_counted() {
    let addr = start_limited(50, 5);
    let platform = client(addr, "a").await;
    let mut throttled = 0;
    for number in 0..20 {
        match platform.commit(put(&format!("k/{number}"), "v")).await {
            Ok(_) => {}
            Err(PlatformError::Throttled { retry_after }) => {
                assert!(retry_after <= Duration::from_secs(1));
                throttled += 1;
            }
            Err(e) => panic!("{e}"),
        }
    }
    assert!(throttled >= 10, "{throttled} of 20 throttled");
    let counts = counts(addr).await;
    let zone = &counts.zones["a"];
    assert_eq!((zone.writes, zone.throttled), (20, throttled));
    assert!(zone.peak_writes >= 10 && zone.bytes_in > 0);
    assert_eq!(&counts.total, zone);
}

#[ntex::test]
async fn bad_requests_are_refused_and_change_nothing() {
    let addr = start();
    let client = Client::new().await;
    let post = |path: &str, kind: &str, body: Vec<u8>| {
        let req = client.post(format!("http://{addr}{path}"));
        let req = req.content_type(kind);
        let sent = format!("{path} with {} bytes", body.len());
        async move {
            let res = req.send_body(body).await;
            res.unwrap_or_else(|e| panic!("{sent}: {e}"))
                .status()
                .as_u16()
        }
    };
    let table = "application/msgpack";
    let json = "application/json";
    let long = serde_json::json!({"kind": "down", "for_ms": 999_999_999_u64});
    let unknown_field = serde_json::json!({"kind": "down", "for_ms": 1, "fro_ms": 1});
    assert_eq!(post("/table/commit", table, vec![0xc1; 64]).await, 400);
    assert_eq!(post("/table/read", table, Vec::new()).await, 400);
    assert_eq!(post("/table/read", table, vec![0; 9 << 20]).await, 413);
    for fault in [long, unknown_field] {
        let body = fault.to_string().into();
        assert_eq!(post("/admin/fault", json, body).await, 400, "{fault}");
    }
    assert_eq!(counts(addr).await.total.writes, 0);
}
