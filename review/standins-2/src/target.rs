//! An upstream beside a daemon: serves requests and health questions, and sends heartbeats.

use std::io::BufReader;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http;
use crate::record::Record;

/// What one run of an upstream does now.
#[derive(Clone)]
pub struct Knobs {
    pub is_healthy: bool,
    pub work: Duration,
    pub beats: bool,
    pub state: &'static str,
    pub is_ended: bool,
    /// Of 100 requests, so many are answered with 500.
    pub fails: u64,
}

pub struct Target {
    pub id: String,
    pub service: String,
    pub addr: SocketAddr,
    pub knobs: Mutex<Knobs>,
    connections: Mutex<Vec<TcpStream>>,
    control: SocketAddr,
    zone: String,
    version: String,
    record: Arc<Record>,
    sequence: Mutex<u64>,
    answered: AtomicU64,
}

/// What identifies an upstream.
pub struct Identity<'a> {
    pub id: &'a str,
    pub service: &'a str,
    pub zone: &'a str,
    /// Version of its software.
    pub version: &'a str,
}

impl Target {
    pub fn start(
        addr: SocketAddr,
        control: SocketAddr,
        identity: &Identity<'_>,
        is_healthy: bool,
        record: &Arc<Record>,
    ) -> Arc<Self> {
        let target = Arc::new(Self {
            id: identity.id.into(),
            service: identity.service.into(),
            addr,
            knobs: Mutex::new(Knobs {
                is_healthy,
                work: Duration::from_millis(5),
                beats: true,
                state: "ready",
                is_ended: false,
                fails: 0,
            }),
            connections: Mutex::default(),
            control,
            zone: identity.zone.into(),
            version: identity.version.into(),
            record: Arc::clone(record),
            sequence: Mutex::new(0),
            answered: AtomicU64::new(0),
        });
        let listener = TcpListener::bind(addr).expect("free address");
        let server = Arc::clone(&target);
        thread::spawn(move || server.accept(&listener));
        let beating = Arc::clone(&target);
        thread::spawn(move || beating.beat_until_end());
        target
    }

    pub fn knobs(&self) -> Knobs {
        self.knobs.lock().unwrap().clone()
    }

    pub fn set(&self, change: impl FnOnce(&mut Knobs)) {
        change(&mut self.knobs.lock().unwrap());
    }

    /// Ends the upstream like a crash: its connections are closed and its port is free again.
    pub fn crash(&self) {
        self.set(|it| it.is_ended = true);
        // Wakes the thread that accepts, which then closes the listener.
        let _ = TcpStream::connect(self.addr);
        for connection in self.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        thread::sleep(Duration::from_millis(50));
    }

    fn accept(self: Arc<Self>, listener: &TcpListener) {
        for stream in listener.incoming().flatten() {
            if self.knobs().is_ended {
                return;
            }
            self.connections.lock().unwrap().extend(stream.try_clone());
            let target = Arc::clone(&self);
            thread::spawn(move || target.serve(stream));
        }
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut out = stream.try_clone().expect("stream");
        let mut reader = BufReader::new(stream);
        while let Ok(Some(req)) = http::read(&mut reader) {
            let knobs = self.knobs();
            if knobs.is_ended {
                return;
            }
            let id = self.id.as_str();
            let answered = if req.word(1) == "/healthz" {
                let is_well = knobs.is_healthy && knobs.state == "ready";
                let status = if is_well {
                    "200 OK"
                } else {
                    "503 Service Unavailable"
                };
                http::respond(&mut out, status, &[("X-Instance-Id", id)], b"")
            } else {
                self.run(&req, &knobs, &mut out)
            };
            if answered.is_err() {
                return;
            }
        }
    }

    fn run(&self, req: &http::Message, knobs: &Knobs, out: &mut TcpStream) -> std::io::Result<()> {
        let attempt = req.header("x-attempt-id").unwrap_or_default().to_owned();
        let expected = req.header("x-target-instance").unwrap_or(&self.id);
        if expected != self.id {
            let headers = [
                ("X-Attempt-Id", attempt.as_str()),
                ("X-Instance-Id", self.id.as_str()),
            ];
            return http::respond(out, "421 Misdirected Request", &headers, b"");
        }
        let header = |name: &str| req.header(name).unwrap_or("-").to_owned();
        self.record.line(&format!(
            "run {attempt} at {} ({} {}): {} caller-service={} tenant={} authorization={}",
            self.id,
            self.service,
            self.version,
            req.start,
            header("x-caller-service"),
            header("x-tenant-id"),
            header("authorization")
        ));
        self.record
            .ran(&attempt, &self.version, req.headers.clone());
        thread::sleep(knobs.work);
        if self.knobs().is_ended {
            return Err(std::io::ErrorKind::ConnectionReset.into());
        }
        let body = format!("answer of {} to {attempt}", self.id);
        let headers = [
            ("X-Attempt-Id", attempt.as_str()),
            ("X-Response-Seal", "3e1b.07.5a2.600.0.c9f2a4d1"),
        ];
        // Spread evenly over the requests.
        let count = self.answered.fetch_add(1, Ordering::Relaxed);
        let is_failure = (count + 1) * knobs.fails / 100 > count * knobs.fails / 100;
        let status = if is_failure {
            "500 Internal Server Error"
        } else {
            "200 OK"
        };
        http::respond(out, status, &headers, body.as_bytes())
    }

    fn beat_until_end(&self) {
        loop {
            let knobs = self.knobs();
            if knobs.is_ended {
                return;
            }
            if knobs.beats {
                self.beat(knobs.state);
            }
            thread::sleep(Duration::from_millis(if self.sequence() < 3 {
                500
            } else {
                1500
            }));
        }
    }

    fn sequence(&self) -> u64 {
        *self.sequence.lock().unwrap()
    }

    /// Sends a heartbeat, and returns the status of its answer.
    pub fn beat(&self, state: &str) -> u16 {
        let mut sequence = self.sequence.lock().unwrap();
        *sequence += 1;
        let body = format!(
            r#"{{"address":"{}","info":{{"service":"{}","version":"{}","zone":"{}","slots":9}},"status":{{"state":"{state}","sequence":{},"cold_remaining_s":0}}}}"#,
            self.addr, self.service, self.version, self.zone, *sequence
        );
        drop(sequence);
        let head = format!(
            "PUT /v1/instances/{} HTTP/1.1\r\nHost: {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            self.id,
            self.control,
            body.len()
        );
        let answer = http::call(self.control, &head, body.as_bytes(), Duration::from_secs(1));
        answer.map_or(0, |it| it.status())
    }
}
