//! Calls beside a target that sends an answer a second time, in place of the next one on the
//! connection.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::Fleet;
use crate::http::{Request, run};

const READY: Duration = Duration::from_secs(10);
const CONVERGENCE: Duration = Duration::from_secs(6);

/// Time in which the address of an ended target becomes free.
const REBIND: Duration = Duration::from_secs(5);

/// A target that sends some answers a second time, where the next answer on the connection is
/// expected: each refusal of a call whose path has `/refused`, and the answer before that to a call
/// whose path has `/leave`, after which it states that it leaves.
#[derive(Clone, Default)]
struct RepeatingTarget {
    /// Bodies of the calls that it ran.
    runs: Arc<Mutex<Vec<String>>>,
    is_leaving: Arc<AtomicBool>,
    health_requests: Arc<AtomicUsize>,
}

impl RepeatingTarget {
    fn start(addr: SocketAddr) -> Self {
        let target = Self::default();
        let begun = Instant::now();
        let listener = loop {
            match TcpListener::bind(addr) {
                Ok(listener) => break listener,
                Err(err) => assert!(begun.elapsed() < REBIND, "{addr}: {err}"),
            }
            thread::sleep(Duration::from_millis(20));
        };
        let served = target.clone();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let target = served.clone();
                thread::spawn(move || target.serve(&stream));
            }
        });
        target
    }

    fn serve(&self, mut stream: &TcpStream) {
        let mut reader = BufReader::new(stream);
        let mut late_copy: Option<String> = None;
        let mut last_answer = String::new();
        while let Some((head, body)) = read(&mut reader) {
            let mut bytes: String = late_copy.take().unwrap_or_default();
            let attempt = header(&head, "stoatstep-attempt").unwrap_or_default();
            let named = format!("stoatstep-attempt: {attempt}\r\ncontent-length: 0\r\n\r\n");
            if head[0].contains("/leave") {
                self.is_leaving.store(true, Ordering::SeqCst);
                late_copy = Some(last_answer.clone());
            }
            if head[0].contains("/refused") {
                let answer = format!("HTTP/1.1 503 Full\r\nstoatstep-shed: 1\r\n{named}");
                bytes.push_str(&answer);
                late_copy = Some(answer);
            } else {
                if attempt.is_empty() {
                    self.health_requests.fetch_add(1, Ordering::SeqCst);
                } else {
                    self.runs.lock().expect("no panic holds it").push(body);
                }
                let is_leaving = self.is_leaving.load(Ordering::SeqCst);
                let statement = if is_leaving {
                    "stoatstep-leaving: 1\r\n"
                } else {
                    ""
                };
                last_answer = format!("HTTP/1.1 200 OK\r\n{statement}{named}");
                bytes.push_str(&last_answer);
            }
            if stream.write_all(bytes.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn runs(&self, body: &str) -> usize {
        let runs = self.runs.lock().expect("no panic holds it");
        runs.iter().filter(|it| *it == body).count()
    }
}

/// Reads a request: the lines of its head, and its body.
fn read(reader: &mut impl BufRead) -> Option<(Vec<String>, String)> {
    let lines = reader.lines().map_while(Result::ok);
    let head: Vec<String> = lines.take_while(|it| !it.is_empty()).collect();
    head.first()?;
    let length = header(&head, "content-length").and_then(|it| it.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body).ok()?;
    String::from_utf8(body).ok().map(|body| (head, body))
}

fn header<'a>(head: &'a [String], name: &str) -> Option<&'a str> {
    let mut fields = head.iter().filter_map(|it| it.split_once(": "));
    let field = fields.find(|(field, _)| field.eq_ignore_ascii_case(name));
    field.map(|(_, value)| value)
}

/// Starts one daemon, with a target that repeats answers.
async fn fleet_with_repeating_target() -> (Fleet, RepeatingTarget) {
    let mut fleet = Fleet::builder().instances(1).zones(1).start();
    fleet.joined(READY).await;
    let version = fleet.apply(0, fleet.default_resources()).await;
    fleet.holds_everywhere(version, CONVERGENCE).await;
    fleet.instances[0].target.kill();
    let target = RepeatingTarget::start(fleet.instances[0].target_addr);
    (fleet, target)
}

/// Guards against a copy of a refusal that answers the next call, which ran.
#[test]
fn a_copy_of_a_refusal_is_not_the_answer_to_another_call() {
    run(async {
        let (fleet, target) = fleet_with_repeating_target().await;
        let caller_addr = fleet.instances[0].caller_addr;
        let mut answered = 0;
        for call in 0..10 {
            let refused = Request::post(caller_addr, "/floatdesk/refused", "refused");
            refused.send().await.expect("an answer");
            let body = format!("claim {call}");
            let claim = Request::post(caller_addr, "/floatdesk/claims", body.clone());
            let answer = claim.send().await.expect("an answer");
            let runs = target.runs(&body);
            assert!(runs <= 1, "{body} ran {runs} times");
            if answer.header("stoatstep-outcome") == "not-run" {
                assert_eq!(runs, 0, "{body} ran and is called not run");
            }
            answered += u32::from(answer.status == 200);
        }
        let metrics = Request::get(fleet.instances[0].operator_addr, "/metrics");
        let metrics = metrics.send().await.expect("metrics").text();
        assert!(
            answered == 10 || metrics.contains("answers_not_believed"),
            "{metrics}"
        );
    });
}

/// Health requests after which a target that leaves has repeated an earlier answer to one of them.
const HEALTH_REQUESTS: usize = 3;

/// Guards against a copy of an answer from before a target's departure that passes for the answer
/// to a health request, after which the target would get calls again.
#[test]
fn a_copy_of_a_call_s_answer_is_not_the_answer_to_a_health_request() {
    run(async {
        let (fleet, target) = fleet_with_repeating_target().await;
        let caller_addr = fleet.instances[0].caller_addr;
        for path in ["/floatdesk/claims", "/floatdesk/leave"] {
            let answer = Request::post(caller_addr, path, "before").send().await;
            assert_eq!(answer.expect("an answer").status, 200);
        }
        let begun = Instant::now();
        while target.health_requests.load(Ordering::SeqCst) < HEALTH_REQUESTS {
            assert!(
                begun.elapsed() < READY,
                "the target is asked for its health"
            );
            let late = Request::post(caller_addr, "/floatdesk/claims", "late");
            let answer = late.send().await.expect("an answer");
            assert_eq!(answer.header("stoatstep-outcome"), "not-run");
        }
        assert_eq!(target.runs("late"), 0);
    });
}
