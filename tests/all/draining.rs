//! Daemons that stop while answers are on their way to callers and other daemons.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

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

fn send_get(stream: &mut TcpStream, path: &str, connection: &str) -> std::io::Result<()> {
    let text = format!("GET {path} HTTP/1.1\r\nhost: test\r\nconnection: {connection}\r\n\r\n");
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

/// Requests a large answer and starts to read it after `delay`. Returns its head, or the error that
/// came in place of the whole answer.
fn read_late(
    addr: SocketAddr,
    connection: &'static str,
    delay: Duration,
) -> JoinHandle<Result<String, String>> {
    let path = format!("/floatdesk/statement{LARGE}");
    thread::spawn(move || {
        let mut stream = connect(addr).map_err(|err| err.to_string())?;
        send_get(&mut stream, &path, connection).map_err(|err| err.to_string())?;
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
        let answer = read_late(addr, "keep-alive", LONGER_THAN_A_STOP);
        sleep(Duration::from_millis(500)).await;
        fleet.instances[0].daemon.ask_to_stop();
        let head = joined(answer).await.expect("a whole answer");
        assert!(head.contains("stoatstep-outcome: answered"), "{head}");
        let status = fleet.instances[0].daemon.terminate(READY).await;
        assert!(status.is_some_and(|it| it.success()), "{status:?}");
    });
}

/// Guards against a slow reader's answer that is cut off because it is the last on its connection.
#[test]
fn last_answer_of_a_connection_reaches_a_slow_reader() {
    run(async {
        let fleet = serving(Fleet::builder().instances(1)).await;
        let addr = fleet.instances[0].caller_addr;
        let answer = read_late(addr, "close", Duration::from_secs(3));
        let head = joined(answer).await.expect("a whole answer");
        assert!(head.contains("stoatstep-outcome: answered"), "{head}");
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

/// Sends one request after the other on open connections until the daemon is gone. Returns the
/// number of answers, and the errors of connections that closed in place of an answer.
fn call_until_gone(addr: SocketAddr) -> JoinHandle<(usize, Vec<String>)> {
    thread::spawn(move || {
        let (mut answers, mut errors) = (0, Vec::new());
        let mut open = None;
        let end = Instant::now() + READY;
        while Instant::now() < end {
            let mut stream = match open.take().map_or_else(|| connect(addr), Ok) {
                Ok(stream) => stream,
                Err(err) if err.kind() == ErrorKind::ConnectionRefused => break,
                Err(err) => panic!("{err}"),
            };
            let exchanged =
                send_get(&mut stream, "/floatdesk/balance", "keep-alive").and_then(|()| {
                    let (head, length) = read_head(&mut stream)?;
                    stream.read_exact(&mut vec![0; length])?;
                    Ok(head)
                });
            match exchanged {
                Ok(head) => {
                    answers += 1;
                    open = (!head.contains("connection: close")).then_some(stream);
                }
                Err(err) => errors.push(err.to_string()),
            }
            thread::sleep(Duration::from_millis(2));
        }
        (answers, errors)
    })
}

/// Guards against callers on open connections whose requests meet the closing of the connection.
#[test]
fn callers_on_open_connections_get_refusals_until_the_daemon_is_gone() {
    run(async {
        let mut fleet = serving(Fleet::builder().instances(1)).await;
        let addr = fleet.instances[0].caller_addr;
        let callers: Vec<_> = (0..16).map(|_| call_until_gone(addr)).collect();
        sleep(Duration::from_millis(200)).await;
        let status = fleet.instances[0].daemon.terminate(READY).await;
        assert!(status.is_some_and(|it| it.success()), "{status:?}");
        for caller in callers {
            let (answers, errors) = joined(caller).await;
            assert!(answers > 0);
            assert_eq!(errors, Vec::<String>::new(), "after {answers} answers");
        }
    });
}

/// Guards against a stop that waits for callers to close the connections of their last answers.
#[test]
fn caller_that_keeps_its_connection_open_does_not_hold_up_the_stop() {
    run(async {
        let mut fleet = serving(Fleet::builder().instances(1)).await;
        let daemon = &mut fleet.instances[0].daemon;
        daemon.ask_to_stop();
        sleep(Duration::from_millis(500)).await;
        let mut stream = connect(fleet.instances[0].caller_addr).expect("it listens");
        send_get(&mut stream, "/floatdesk/balance", "keep-alive").expect("it reads");
        let (head, _) = read_head(&mut stream).expect("a whole refusal");
        assert!(head.contains("stoatstep-reason: draining"), "{head}");
        let status = fleet.instances[0]
            .daemon
            .terminate(LONGER_THAN_A_STOP)
            .await;
        assert!(status.is_some_and(|it| it.success()), "{status:?}");
        drop(stream);
    });
}

/// Guards against a refusal that is cut off because its request is still being received.
#[test]
fn caller_that_sends_its_body_slowly_gets_its_refusal() {
    run(async {
        let fleet = serving(Fleet::builder().instances(1)).await;
        let addr = fleet.instances[0].caller_addr;
        fleet.instances[0].daemon.ask_to_stop();
        sleep(Duration::from_millis(1_500)).await;
        let head = thread::spawn(move || {
            let mut stream = connect(addr)?;
            let text =
                "POST /floatdesk/claims HTTP/1.1\r\nhost: test\r\ncontent-length: 8\r\n\r\nglue";
            stream.write_all(text.as_bytes())?;
            thread::sleep(Duration::from_millis(3_500));
            stream.write_all(b"glue")?;
            read_head(&mut stream)
        });
        let (head, _) = joined(head).await.expect("a whole refusal");
        assert!(head.contains("stoatstep-reason: draining"), "{head}");
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

/// Guards against calls whose connections close without an answer at the end of the drain's time.
#[test]
fn calls_that_outlast_a_drain_get_their_outcome() {
    run(async {
        let builder = Fleet::builder().instances(2).slots(1);
        let mut fleet = serving(builder.drain_timeout(Duration::from_secs(6))).await;
        for instance in &fleet.instances {
            behave(instance.target_addr, r#"{"holds_runs": true}"#).await;
        }
        // The first call of each path runs, and the second one waits for the slot.
        let addr = fleet.instances[0].caller_addr;
        let paths = ["/floatdesk/claims", "/refundhall/claims"];
        let mut calls = Vec::new();
        for path in paths.into_iter().cycle().take(4) {
            let call = Request::post(addr, path, "glue");
            let call = call.header("stoatstep-deadline-ms", "60000");
            calls.push(ntex::rt::spawn(call.send()));
            sleep(Duration::from_millis(200)).await;
        }
        let status = fleet.instances[0].daemon.terminate(READY).await;
        let mut outcomes = Vec::new();
        for call in calls {
            let answer = call.await.expect("a task").expect("a whole answer");
            outcomes.push(answer.header("stoatstep-outcome").to_owned());
        }
        assert_eq!(outcomes, ["unknown", "unknown", "not-run", "not-run"]);
        assert!(status.is_some_and(|it| it.success()), "{status:?}");
        let log = fleet.instances[0].daemon.log();
        assert!(log.contains("ending the calls in flight"), "{log}");
    });
}

/// Guards against an answer that is missing from the claim row because the process exited first.
#[test]
fn answer_of_a_claim_is_recorded_before_the_daemon_stops() {
    run(recorded_before_the_stop(1_500));
}

/// The same while recording it takes longer than everything else that the process still does.
#[test]
fn answer_of_a_claim_is_recorded_by_a_slow_platform_before_the_daemon_stops() {
    run(recorded_before_the_stop(2_000));
}

/// A claim is answered while its daemon stops, by a platform that takes `delay_ms` for each request.
async fn recorded_before_the_stop(delay_ms: u32) {
    let mut fleet = serving(Fleet::builder().instances(1)).await;
    let target = fleet.instances[0].target_addr;
    behave(target, r#"{"holds_runs": true}"#).await;
    let claim = Request::post(fleet.instances[0].caller_addr, "/floatdesk/claims", "glue")
        .header("stoatstep-deadline-ms", "9000")
        .header("idempotency-key", "claim-of-the-day");
    let first = ntex::rt::spawn(claim.clone().send());
    assert_eq!(running(&fleet).await, 0);
    fleet.instances[0].daemon.ask_to_stop();
    sleep(Duration::from_millis(2_500)).await;
    let fault = format!(
        r#"{{"service": "table", "kind": "slow", "delay_ms": {delay_ms}, "for_ms": 5000}}"#
    );
    let fault = Request::post(fleet.platform_addr, "/admin/fault", fault)
        .header("content-type", "application/json");
    assert_eq!(fault.send().await.expect("an answer").status, 204);
    behave(target, r#"{"holds_runs": false}"#).await;
    let first = first.await.expect("a task").expect("a whole answer");
    first.assert_answered();
    let status = fleet.instances[0].daemon.terminate(READY).await;
    assert!(status.is_some_and(|it| it.success()), "{status:?}");
    sleep(Duration::from_secs(4)).await;
    fleet.restart_daemon(0);
    fleet.ready(READY).await;
    let again = claim.send().await.expect("an answer");
    again.assert_answered();
    assert_eq!(again.body, first.body);
}
