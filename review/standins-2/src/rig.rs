//! A small deployment: machines with their daemons and upstreams, and one store.

use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::daemon::{Daemon, Machine, until};
use crate::http::{self, Message};
use crate::record::Record;
use crate::store::Store;
use crate::target::{Identity, Target};

pub struct Rig {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub dir: PathBuf,
    octets: String,
    attempts: AtomicU64,
}

/// A request of a requester.
#[derive(Clone, Default)]
pub struct Request<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub timeout_ms: u64,
    pub headers: &'a [(&'a str, &'a str)],
    pub body: &'a [u8],
}

impl Rig {
    /// Writes the record into `case`, and everything else into the folder `REVIEW_DIR`.
    pub fn new(case: &Path) -> Result<Self, String> {
        let now = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_err(|it| it.to_string())?;
        let seed = now.subsec_nanos() as usize ^ std::process::id() as usize;
        // Every machine has a loopback address of its own.
        let octets = (0..200)
            .map(|it| format!("127.{}.{}", 20 + (seed + it) % 200, (seed / 200 + it) % 250));
        let mut octets = octets.filter(|it| TcpListener::bind(format!("{it}.1:9464")).is_ok());
        let octets = octets.next().ok_or("no free addresses")?;
        let dir = std::env::var_os("REVIEW_DIR").ok_or("REVIEW_DIR is not set")?;
        let dir = PathBuf::from(dir);
        Ok(Self {
            record: Record::create(&case.join("record.txt")),
            store: Store::new(),
            dir,
            octets,
            attempts: AtomicU64::new(1),
        })
    }

    pub fn machine(
        &self,
        number: usize,
        zone: &str,
        zones: &[&str],
        service: &str,
        bounds: &[&str],
    ) -> Machine {
        let machine = Machine {
            name: format!("sidecar-{zone}-{number}"),
            ip: format!("{}.{number}", self.octets),
            zone: zone.into(),
            zones: zones.iter().map(|it| (*it).to_owned()).collect(),
            service: service.into(),
            bounds: bounds.iter().map(|it| (*it).to_owned()).collect(),
        };
        self.store.listen(machine.store());
        machine
    }

    pub fn daemon(&self, machine: &Machine) -> Daemon {
        self.record
            .line(&format!("start daemon {} at {}", machine.name, machine.ip));
        Daemon::start(machine, &self.dir)
    }

    /// Starts an upstream with the version v1.
    pub fn target(
        &self,
        machine: &Machine,
        id: &str,
        service: &str,
        is_healthy: bool,
    ) -> Arc<Target> {
        self.target_of_version(machine, id, service, is_healthy, "v1")
    }

    pub fn target_of_version(
        &self,
        machine: &Machine,
        id: &str,
        service: &str,
        is_healthy: bool,
        version: &str,
    ) -> Arc<Target> {
        self.record.line(&format!(
            "start upstream {id} of {service} {version} at {}",
            machine.app()
        ));
        let identity = Identity {
            id,
            service,
            zone: &machine.zone,
            version,
        };
        Target::start(
            machine.app(),
            machine.control(),
            &identity,
            is_healthy,
            &self.record,
        )
    }

    /// Writes a configuration as the operator does.
    pub fn configure(&self, document: &str) {
        self.record.line(&format!("operator writes {document}"));
        self.store.put("op", "config", document);
    }

    pub fn next_attempt(&self) -> String {
        format!(
            "{:016x}",
            0x9c41_0000_0000_0000_u64 + self.attempts.fetch_add(1, Ordering::Relaxed)
        )
    }

    /// Sends a request from a requester on this machine. Returns its id and the answer.
    pub fn send(&self, from: &Machine, req: &Request<'_>) -> (String, Result<Message, String>) {
        let attempt = self.next_attempt();
        let mut head = format!(
            "{} {} HTTP/1.1\r\nHost: ficu95.example\r\nX-Attempt-Id: {attempt}\r\nX-Timeout-Ms: {}\r\n",
            req.method, req.path, req.timeout_ms
        );
        for (name, value) in req.headers {
            head += &format!("{name}: {value}\r\n");
        }
        if !req.body.is_empty() {
            head += &format!("Content-Length: {}\r\n", req.body.len());
        }
        head += "\r\n";
        self.record.line(&format!(
            "send {attempt} to {}: {} {} {:?}",
            from.name, req.method, req.path, req.headers
        ));
        let wait = Duration::from_millis(req.timeout_ms);
        let answer =
            http::call(from.outbound(), &head, req.body, wait).map_err(|it| it.to_string());
        match &answer {
            Ok(it) => self.record.line(&format!(
                "answer {attempt}: {} {:?}",
                it.start,
                String::from_utf8_lossy(&it.body)
            )),
            Err(why) => self.record.line(&format!("answer {attempt}: none ({why})")),
        }
        (attempt, answer)
    }

    /// Waits until this request is served from this machine.
    pub fn until_served(&self, from: &Machine, req: &Request<'_>) -> Result<(), String> {
        let is_served = || self.send(from, req).1.is_ok_and(|it| it.status() == 200);
        if until(Duration::from_secs(20), is_served) {
            Ok(())
        } else {
            Err(format!("{} is not served from {}", req.path, from.name))
        }
    }
}

/// A configuration with one route for each service, `/SERVICE/`, and further top-level fields.
pub fn document(version: u64, services: &[&str], kind: &str, more: &str) -> String {
    let routes = services.iter().map(|it| {
        format!(
            r#""r-{it}":{{"name":"r-{it}","host":"ficu95.example","prefix":"/{it}/","service":"{it}","kind":"{kind}","timeout_s":2.0,"target_latency_s":0.5,"max_attempts":2,"priority":1}}"#
        )
    });
    let routes: Vec<_> = routes.collect();
    let listed = services.iter().map(|it| {
        format!(r#""{it}":{{"name":"{it}","health_path":"/healthz","max_connections":110}}"#)
    });
    let listed: Vec<_> = listed.collect();
    format!(
        r#"{{"version":{version},"routes":{{{}}},"services":{{{}}},"limits":{{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_s":5,"idle_timeout_s":30}}{more}}}"#,
        routes.join(","),
        listed.join(",")
    )
}
