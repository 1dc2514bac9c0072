//! Daemons that stop while answers are on their way to callers and other daemons.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use ntex::time::sleep;

use crate::calls::{behave, running};
use crate::fleet::{Fleet, FleetBuilder};
use crate::http::{Request, run};

const READY: Duration = Duration::from_secs(10);
const CONVERGENCE: Duration = Duration::from_secs(6);

/// An answer that is larger than what sockets buffer.
const LARGE: &str = "?bytes=4000000";

/// Longer than a daemon without calls needs to stop.
const LONGER_THAN_A_STOP: Duration = Duration::from_secs(7);

async fn serving(builder: FleetBuilder) -> Fleet {
    let mut fleet = builder.start();
    fleet.joined(READY).await;
    let version = fleet.apply(0, fleet.default_resources()).await;
    fleet.holds_everywhere(version, CONVERGENCE).await;
    fleet
}

fn send_get(stream: &mut TcpStream, path: &str) -> std::io::Result<()> {
    let text = format!("GET {path} HTTP/1.1\r\nhost: test\r\n\r\n");
    stream.write_all(text.as_bytes())
}

fn connect(addr: SocketAddr) -> std::io::Result<TcpStream> {
    let stream = TcpStream::connect(addr)?;
    stream.set_read_timeout(Some(READY))?;
    Ok(stream)
}

/// Reads the head of an answer, and returns it with the length of the body that it states.
fn read_head(stream: &mut TcpStream) -> std::io::Result<(String, usize)> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        stream.read_exact(&mut byte)?;
        head.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&head).to_ascii_lowercase();
    let mut lines = head.lines();
    let length = lines.find_map(|line| line.strip_prefix("content-length: "));
    let length = length.and_then(|it| it.parse().ok()).unwrap_or_default();
    Ok((head, length))
}

/// Requests `path` and starts to read the answer after `delay`. Returns the head of the answer,
/// or the error that came in place of the whole answer.
fn read_late(addr: SocketAddr, path: &str, delay: Duration) -> JoinHandle<Result<String, String>> {
    let path = path.to_owned();
    thread::spawn(move || {
        let mut stream = connect(addr).map_err(|err| err.to_string())?;
        send_get(&mut stream, &path).map_err(|err| err.to_string())?;
        thread::sleep(delay);
        let (head, length) = read_head(&mut stream).map_err(|err| format!("head: {err}"))?;
        let mut body = vec![0; length];
        let read = stream.read_exact(&mut body);
        read.map_err(|err| format!("body of {length} bytes: {err}"))?;
        Ok(head)
    })
}

async fn joined<T>(thread: JoinHandle<T>) -> T {
    while !thread.is_finished() {
        sleep(Duration::from_millis(10)).await;
    }
    thread.join().expect("a thread that does not panic")
}

/// Guards against a stop that cuts off an answer which a slow caller is still reading.
#[test]
fn answer_to_a_slow_reader_is_written_before_the_daemon_stops() {
    run(async {
        let mut fleet = serving(Fleet::builder().instances(1)).await;
        let addr = fleet.instances[0].caller_addr;
        let path = format!("/floatdesk/statement{LARGE}");
        let answer = read_late(addr, &path, LONGER_THAN_A_STOP);
        sleep(Duration::from_millis(500)).await;
        fleet.instances[0].daemon.ask_to_stop();
        let head = joined(answer).await.expect("a whole answer");
        assert!(head.contains("stoatstep-outcome: answered"), "{head}");
        let status = fleet.instances[0].daemon.terminate(READY).await;
        assert!(status.is_some_and(|it| it.success()), "{status:?}");
    });
}

/// Guards against an executor that exits with its target's answer half written to the entry.
#[test]
fn answer_to_a_slow_entry_is_written_before_the_executor_stops() {
    run(async {
        let builder = Fleet::builder().instances(2);
        let mut fleet = serving(builder.service_time(Duration::from_secs(1))).await;
        let path = format!("/refundhall/statement{LARGE}");
        let call = Request::get(fleet.instances[0].caller_addr, &path);
        let call = call.header("stoatstep-deadline-ms", "9000");
        let call = ntex::rt::spawn(call.send());
        sleep(Duration::from_millis(700)).await;
        fleet.instances[0].daemon.freeze();
        fleet.instances[1].daemon.ask_to_stop();
        sleep(LONGER_THAN_A_STOP).await;
        fleet.instances[0].daemon.thaw();
        let answer = call.await.expect("a task").expect("a whole answer");
        answer.assert_answered();
        let status = fleet.instances[1].daemon.terminate(READY).await;
        assert!(status.is_some_and(|it| it.success()), "{status:?}");
    });
}

/// Guards against a second signal that ends a drain before the calls in flight are answered.
#[test]
fn second_signal_does_not_cut_off_the_calls_in_flight() {
    run(async {
        let slow = Duration::from_secs(4);
        let mut fleet = serving(Fleet::builder().instances(1).service_time(slow)).await;
        let call = Request::get(fleet.instances[0].caller_addr, "/floatdesk/balance");
        let call = call.header("stoatstep-deadline-ms", "8000");
        let call = ntex::rt::spawn(call.send());
        sleep(slow / 8).await;
        fleet.instances[0].daemon.ask_to_stop();
        sleep(slow / 4).await;
        let status = fleet.instances[0].daemon.terminate(READY).await;
        let answer = call.await.expect("a task").expect("a whole answer");
        answer.assert_answered();
        assert!(status.is_some_and(|it| it.success()), "{status:?}");
    });
}

/// Guards against a call that is lost between an entry and an executor that stop at once.
#[test]
fn call_is_answered_while_its_entry_and_its_executor_stop() {
    run(async {
        let mut fleet = serving(Fleet::builder().instances(2)).await;
        let (entry, target) = (0, fleet.instances[1].target_addr);
        behave(target, r#"{"holds_runs": true}"#).await;
        let addr = fleet.instances[entry].caller_addr;
        let calls = (0..6).map(|number| {
            let call = Request::post(addr, "/refundhall/claims", "glue");
            let call = call.header("stoatstep-deadline-ms", "9000");
            let call = match number % 2 {
                0 => call.header("idempotency-key", format!("claim-{number}")),
                _ => call,
            };
            ntex::rt::spawn(call.send())
        });
        let calls: Vec<_> = calls.collect();
        assert_eq!(running(&fleet).await, 1);
        sleep(Duration::from_millis(500)).await;
        for instance in &fleet.instances {
            instance.daemon.ask_to_stop();
        }
        sleep(Duration::from_secs(4)).await;
        behave(target, r#"{"holds_runs": false}"#).await;
        for call in calls {
            call.await
                .expect("a task")
                .expect("a whole answer")
                .assert_answered();
        }
        for instance in &mut fleet.instances {
            let status = instance.daemon.terminate(READY).await;
            assert!(status.is_some_and(|it| it.success()), "{status:?}");
        }
    });
}
