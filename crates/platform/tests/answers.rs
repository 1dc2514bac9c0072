//! Tests of how the client handles invalid, truncated and failed answers.

use std::io::{Read, Write as _};
use std::net::{SocketAddr, TcpListener};
use std::thread::JoinHandle;
use std::time::Duration;

use stoatstep_platform::{
    CommitAnswer, CommitRequest, HttpPlatform, Platform, PlatformError, ReadAnswer, ReadRequest,
    encode_commit_answer, encode_read_answer,
};

/// Answers one request with these bytes and closes the connection. The whole request is read first,
/// since a client whose connection ends while it still sends does not read the answer.
fn answer_with(bytes: Vec<u8>) -> (SocketAddr, JoinHandle<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let server = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut received = Vec::new();
        let mut buf = [0; 4096];
        while !is_complete(&received) {
            let read = stream.read(&mut buf).unwrap();
            assert!(read > 0);
            received.extend_from_slice(&buf[..read]);
        }
        stream.write_all(&bytes).unwrap();
    });
    (addr, server)
}

fn is_complete(received: &[u8]) -> bool {
    let text = String::from_utf8_lossy(received).to_lowercase();
    let Some((head, _)) = text.split_once("\r\n\r\n") else {
        return false;
    };
    let length = head
        .lines()
        .find_map(|it| it.strip_prefix("content-length: "));
    let length: usize = length.map_or(0, |it| it.parse().unwrap());
    let head = received.windows(4).position(|it| it == b"\r\n\r\n");
    received.len() >= head.unwrap() + 4 + length
}

fn response(status: &str, length: usize, body: &[u8]) -> Vec<u8> {
    let head = format!("HTTP/1.1 {status}\r\ncontent-length: {length}\r\n\r\n");
    [head.as_bytes(), body].concat()
}

async fn client(addr: SocketAddr) -> HttpPlatform {
    let builder = HttpPlatform::builder(addr, "a").timeout(Duration::from_millis(500));
    builder.build().await.unwrap()
}

async fn commit(bytes: Vec<u8>) -> Result<CommitAnswer, PlatformError> {
    let (addr, server) = answer_with(bytes);
    let result = client(addr).await.commit(CommitRequest::default()).await;
    server.join().unwrap();
    result
}

fn committed() -> Vec<u8> {
    encode_commit_answer(CommitAnswer::Committed { revision: 7 })
}

#[ntex::test]
async fn a_whole_answer_is_taken() {
    let body = committed();
    let result = commit(response("200 OK", body.len(), &body)).await;
    assert_eq!(result, Ok(CommitAnswer::Committed { revision: 7 }));
}

#[ntex::test]
async fn an_answer_cut_short_is_unknown() {
    // The connection ends in the middle of the body. The commit took effect, and a client that
    // treated it as failed might repeat it.
    let body = committed();
    let result = commit(response("200 OK", body.len() + 5, &body)).await;
    let error = result.unwrap_err();
    assert!(matches!(error, PlatformError::Unknown { .. }), "{error}");
}

#[ntex::test]
async fn only_the_services_own_refusals_count_as_not_done() {
    // A 500, or a gateway's 502 or 504, may follow a commit that took effect. The statuses by which
    // the service states that it did nothing are 429, 503 and the client errors.
    for status in ["500 Error", "502 Bad Gateway", "504 Gateway Timeout"] {
        let error = commit(response(status, 0, b"")).await.unwrap_err();
        assert!(!error.is_not_done(), "{status}: {error}");
    }
    for status in ["400 Bad Request", "413 Too Large", "429 Slow", "503 Down"] {
        let error = commit(response(status, 0, b"")).await.unwrap_err();
        assert!(error.is_not_done(), "{status}: {error}");
    }
}

#[ntex::test]
async fn an_answer_that_is_no_message_is_bad() {
    let error = commit(response("200 OK", 3, b"abc")).await.unwrap_err();
    assert!(matches!(error, PlatformError::BadAnswer { .. }), "{error}");
    assert!(!error.is_not_done());
}

#[ntex::test]
async fn an_answer_of_another_shape_is_bad() {
    // One row was requested and the answer has no entry for it. If the client accepted that, the
    // row would appear to be absent, and a writer would start a new log.
    let body = encode_read_answer(ReadAnswer::default());
    let (addr, server) = answer_with(response("200 OK", body.len(), &body));
    let req = ReadRequest {
        gets: vec!["head".into()],
        ranges: Vec::new(),
    };
    let error = client(addr).await.read(req).await.unwrap_err();
    server.join().unwrap();
    assert!(matches!(error, PlatformError::BadAnswer { .. }), "{error}");
}

#[ntex::test]
async fn names_that_would_change_the_url_are_refused() {
    let (addr, _) = answer_with(Vec::new());
    let platform = client(addr).await;
    for name in ["", "a b", "a?b", "a#b", "a%2e"] {
        let error = platform.get_object(name).await.unwrap_err();
        assert!(matches!(error, PlatformError::Refused { .. }), "{name}");
    }
    assert_eq!(platform.usage().bytes_sent, 0);
}
