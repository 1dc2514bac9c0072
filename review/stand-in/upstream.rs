//! Stand-in of an upstream: runs requests in slots, and can misbehave as the pages say.

use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::Record;
use crate::fleet::{Machine, SLOTS};
use crate::http::{self, Message};

/// A request that an upstream began to work on.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Instant,
    pub id: String,
    pub caller: String,
    pub body: String,
}

struct State {
    id: String,
    machine: String,
    service: String,
    record: Record,
    is_leaving: AtomicBool,
    has_ended: AtomicBool,
    sequence: AtomicU64,
    running: Mutex<usize>,
    ended: Condvar,
    runs: Mutex<Vec<Run>>,
    /// Whether it rejects the requests of first tries, each once.
    rejects: AtomicBool,
    rejected: Mutex<Vec<String>>,
    /// Whether it sends a second copy of a rejection, where the next answer is expected.
    copies: AtomicBool,
    /// Whether its rejections leave out the request's id, as in the example of `fleetbench wire`.
    is_unnamed: AtomicBool,
}

#[derive(Clone)]
pub struct Upstream(Arc<State>);

/// First letter of the ids that requesters give to first tries.
pub const FIRST_TRY: char = 'f';

/// Time after which the slow upstream rejects a request.
const REJECTED_AFTER: Duration = Duration::from_millis(350);

impl Upstream {
    /// Starts the upstream of a machine as this boot.
    pub fn start(machine: &Machine, id: &str, record: &Record) -> std::io::Result<Self> {
        let listener = std::net::TcpListener::bind(machine.app)?;
        let upstream = Self(Arc::new(State {
            id: id.to_owned(),
            machine: machine.name.clone(),
            service: machine.service.to_owned(),
            record: record.clone(),
            is_leaving: AtomicBool::new(false),
            has_ended: AtomicBool::new(false),
            sequence: AtomicU64::new(0),
            running: Mutex::new(0),
            ended: Condvar::new(),
            runs: Mutex::default(),
            rejects: AtomicBool::new(false),
            rejected: Mutex::default(),
            copies: AtomicBool::new(false),
            is_unnamed: AtomicBool::new(false),
        }));
        let served = upstream.clone();
        http::serve(listener, move |stream| served.connection(stream));
        record.line(&format!("upstream {id} ({}) starts beside {}", machine.service, machine.name));
        Ok(upstream)
    }

    pub fn id(&self) -> &str {
        &self.0.id
    }

    /// Name of the machine that it runs on.
    pub fn machine(&self) -> &str {
        &self.0.machine
    }

    /// Sends the next heartbeat, and returns the status of the daemon's answer.
    pub fn beat(&self, machine: &Machine) -> u16 {
        let sequence = self.0.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let is_leaving = self.0.is_leaving.load(Ordering::SeqCst);
        let state = if is_leaving { "draining" } else { "ready" };
        machine.beat(&self.0.id, &self.0.service, state, sequence)
    }

    /// Begins to leave: its heartbeats and health answers say so from now on.
    pub fn leave(&self) {
        self.0.is_leaving.store(true, Ordering::SeqCst);
    }

    /// Ends its process: it answers nothing any more, and its connections close.
    pub fn end(&self) {
        self.0.has_ended.store(true, Ordering::SeqCst);
        self.0.record.line(&format!("{} exits with {} requests at work", self.id(), self.running()));
    }

    /// Rejects each request whose id begins with [`FIRST_TRY`] once from now on, as a slow upstream
    /// that sheds. If `copies`, it sends a second copy of each rejection, where the next answer on
    /// the connection is expected.
    pub fn reject(&self, copies: bool) {
        self.0.rejects.store(true, Ordering::SeqCst);
        self.0.copies.store(copies, Ordering::SeqCst);
    }

    /// Leaves the request's id out of its rejections, and rejects at once.
    pub fn reject_unnamed(&self) {
        self.0.is_unnamed.store(true, Ordering::SeqCst);
    }

    pub fn runs(&self) -> Vec<Run> {
        self.0.runs.lock().unwrap().clone()
    }

    /// Forgets the requests that it ran so far, which the case doesn't check.
    pub fn forget_runs(&self) {
        self.0.runs.lock().unwrap().clear();
    }

    /// Requests at work now.
    pub fn running(&self) -> usize {
        *self.0.running.lock().unwrap()
    }

    fn is_to_reject(&self, id: &str) -> bool {
        if !id.starts_with(FIRST_TRY) || !self.0.rejects.load(Ordering::SeqCst) {
            return false;
        }
        let mut rejected = self.0.rejected.lock().unwrap();
        let is_new = !rejected.iter().any(|it| it == id);
        if is_new {
            rejected.push(id.to_owned());
        }
        is_new
    }

    fn take_slot(&self) {
        let mut running = self.0.running.lock().unwrap();
        while *running >= SLOTS {
            running = self.0.ended.wait(running).unwrap();
        }
        *running += 1;
    }

    fn free_slot(&self) {
        *self.0.running.lock().unwrap() -= 1;
        self.0.ended.notify_one();
    }

    fn connection(&self, mut stream: TcpStream) {
        let Ok(reader) = stream.try_clone() else { return };
        let mut reader = BufReader::new(reader);
        let mut copy: Option<Vec<u8>> = None;
        while let Ok(Some(request)) = http::read(&mut reader) {
            if let Some(copy) = copy.take() {
                self.0.record.line(&format!("{} sends its last answer once more, where the next is expected", self.id()));
                if stream.write_all(&copy).is_err() {
                    return;
                }
            }
            if self.0.has_ended.load(Ordering::SeqCst) {
                return;
            }
            let answer = self.answer(&request);
            if self.0.has_ended.load(Ordering::SeqCst) {
                return;
            }
            if stream.write_all(&answer.bytes).is_err() {
                return;
            }
            if answer.is_rejection && self.0.copies.load(Ordering::SeqCst) {
                copy = Some(answer.bytes);
            }
        }
    }

    fn answer(&self, request: &Message) -> Answer {
        let state = &self.0;
        let path = request.path().to_owned();
        if path == "/healthz" {
            self.take_slot();
            let status = if state.is_leaving.load(Ordering::SeqCst) { 503 } else { 200 };
            self.free_slot();
            state.record.line(&format!("{} answers a liveness check with {status}", state.id));
            return Answer::plain(http::answer(status, &[("X-Instance-Id", &state.id)], b""));
        }
        let id = request.header("x-attempt-id").unwrap_or_default().to_owned();
        let expected = request.header("x-target-instance").unwrap_or(&state.id);
        if expected != state.id {
            let headers = [("X-Attempt-Id", id.as_str()), ("X-Instance-Id", &state.id)];
            return Answer::plain(http::answer(421, &headers, b""));
        }
        if self.is_to_reject(&id) {
            let is_unnamed = state.is_unnamed.load(Ordering::SeqCst);
            if !is_unnamed {
                std::thread::sleep(REJECTED_AFTER);
            }
            state.record.line(&format!("{} rejects {id} with 503, X-Not-Executed", state.id));
            let headers = [("X-Not-Executed", "1"), ("X-Attempt-Id", id.as_str())];
            let headers = if is_unnamed { &headers[..1] } else { &headers[..] };
            return Answer { bytes: http::answer(503, headers, b""), is_rejection: true };
        }
        self.take_slot();
        let caller = request.header("x-caller-service").unwrap_or_default().to_owned();
        let body = String::from_utf8_lossy(&request.body).into_owned();
        state.record.line(&format!(
            "{} runs {id} ({} {path}, caller {caller:?}, body {body:?})",
            state.id,
            request.method()
        ));
        let run = Run { at: Instant::now(), id: id.clone(), caller, body };
        state.runs.lock().unwrap().push(run);
        let work = if path.ends_with("/long") { 400 } else { 110 };
        std::thread::sleep(Duration::from_millis(work));
        self.free_slot();
        let headers = [("X-Attempt-Id", id.as_str()), ("X-Response-Seal", "3e1b.07.5a2.600.0.c9f2a4d1")];
        let size = match path.contains("/stem-download/") {
            true if path.ends_with("/large") => 540_000,
            true => 60_000,
            false => 4,
        };
        Answer::plain(http::answer(200, &headers, &vec![b'.'; size]))
    }
}

struct Answer {
    bytes: Vec<u8>,
    is_rejection: bool,
}

impl Answer {
    fn plain(bytes: Vec<u8>) -> Self {
        Self { bytes, is_rejection: false }
    }
}
