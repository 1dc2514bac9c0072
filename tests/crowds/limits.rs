//! A `stoatstep-sidecar` whose settings allow little, and what it uses of that.

use std::net::{IpAddr, SocketAddr};
use std::process::Child;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use nix::sys::signal::Signal;
use serde_json::{Value, json};

use crate::support::caller::{ask, report, until_served};
use crate::support::process::{
    addr, ended, file, peak_mb, settings, sockets, start, tell, unread_bytes,
};
use crate::support::serving::serve_target;
use crate::support::store::{document, serve_store};

/// One test at a time.
static ALONE: Mutex<()> = Mutex::new(());

pub(crate) fn alone() -> MutexGuard<'static, ()> {
    ALONE.lock().unwrap_or_else(PoisonError::into_inner)
}

/// How often the target reports itself.
const HEARTBEAT: Duration = Duration::from_millis(500);

/// Descriptors that are reserved for files.
const FILES: usize = 200;

/// What the settings allow a process.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Limits {
    pub(crate) memory_mb: u64,
    pub(crate) max_fds: usize,
    /// Largest body that callers may send, by the configuration.
    pub(crate) max_body: usize,
}

/// Settings for which a small crowd is too large.
pub(crate) const SMALL: Limits = Limits {
    memory_mb: 64,
    max_fds: 4100,
    max_body: 8 << 20,
};

/// The usual settings of an instance of a large site.
pub(crate) const USUAL: Limits = Limits {
    memory_mb: 160,
    max_fds: 4100,
    max_body: 64 << 20,
};

/// Deadline of an ordinary request.
const ORDINARY: Duration = Duration::from_secs(10);

/// Tries of an ordinary caller that is told to come back.
const TRIES: usize = 50;

/// The configuration that all tests use.
pub(crate) fn serve_configuration(addr: SocketAddr, limits: Limits) {
    let callers = json!({"max_header_bytes": 16384, "max_body_bytes": limits.max_body,
                         "header_timeout_s": 3, "idle_timeout_s": 15});
    let prefixes = ["/plain/", "/large/", "/slow/"];
    serve_store(addr, &document(&prefixes, 60, &callers));
}

/// A process and what it has used at most.
pub(crate) struct Limited {
    child: Option<Child>,
    test: u8,
    limits: Limits,
    usage: Usage,
}

impl Limited {
    /// Starts a daemon with its store and its target, and waits until it serves.
    pub(crate) fn start(test: u8, limits: Limits) -> Self {
        serve_configuration(addr(test, 5), limits);
        serve_target(addr(test, 4), |asked, _| {
            if asked.path().starts_with("/slow/") {
                thread::sleep(Duration::from_secs(5));
            }
            false
        });
        let limited = Self::start_daemon(test, limits, json!({}));
        let (control, callers) = (limited.control(), limited.callers());
        let target = addr(test, 4);
        until_served(control, callers, target, "/plain/1");
        let is_over = Arc::clone(&limited.usage.is_over);
        thread::spawn(move || {
            for sequence in 1000.. {
                thread::sleep(HEARTBEAT);
                if is_over.load(Ordering::Relaxed) {
                    return;
                }
                report(control, target, sequence);
            }
        });
        limited
    }

    /// Starts a daemon alone, with these fields in its settings.
    pub(crate) fn start_daemon(test: u8, limits: Limits, fields: Value) -> Self {
        let mut settings = settings(test);
        settings["limits"] = json!({"memory_mb": limits.memory_mb, "max_fds": limits.max_fds});
        if let Value::Object(fields) = fields {
            settings.as_object_mut().expect("a table").extend(fields);
        }
        let child = start(&file(test, &settings));
        thread::sleep(Duration::from_millis(500));
        let usage = Usage::watch(child.id(), addr(test, 0));
        Self {
            child: Some(child),
            test,
            limits,
            usage,
        }
    }

    pub(crate) fn peers(&self) -> SocketAddr {
        addr(self.test, 0)
    }

    pub(crate) fn callers(&self) -> SocketAddr {
        addr(self.test, 1)
    }

    pub(crate) fn control(&self) -> SocketAddr {
        addr(self.test, 3)
    }

    /// An ordinary request is answered; its caller comes back when it is told to.
    pub(crate) fn serves(&self, when: &str) {
        let mut last = None;
        for number in 0..TRIES {
            let id = format!("ordinary-{when}-{number}");
            let answer = ask(self.callers(), &id, "/plain/1", ORDINARY);
            if answer.status == 200 {
                return;
            }
            last = Some(answer);
            thread::sleep(Duration::from_millis(100));
        }
        panic!("not served {when}: {last:?}");
    }

    /// The process has stayed within its limits, and ends as told.
    pub(crate) fn ends_within_limits(mut self) {
        let mut child = self.child.take().expect("ended once");
        let id = child.id();
        assert!(child.try_wait().expect("a child").is_none(), "it ended");
        let (unread, open) = self.usage.most();
        let peak = peak_mb(id);
        println!("peak {peak} MB, unread {unread} bytes, {open} sockets");
        tell(&child, Signal::SIGTERM);
        let Limits {
            memory_mb, max_fds, ..
        } = self.limits;
        assert!(ended(child).status.success());
        assert!(
            peak + (unread >> 20) < memory_mb,
            "{peak} MB, and {unread} bytes that are not read"
        );
        assert!(open <= max_fds - FILES, "{open} sockets");
    }
}

/// Ends the process of a test that has failed.
impl Drop for Limited {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Watches what a process uses.
struct Usage {
    is_over: Arc<AtomicBool>,
    watching: Option<JoinHandle<(u64, usize)>>,
}

impl Usage {
    fn watch(id: u32, addr: SocketAddr) -> Self {
        let IpAddr::V4(ip) = addr.ip() else {
            unreachable!("tests use IPv4");
        };
        let is_over = Arc::new(AtomicBool::new(false));
        let seen = Arc::clone(&is_over);
        let watching = thread::spawn(move || {
            let mut most = (0, 0);
            while !seen.load(Ordering::Relaxed) {
                most.0 = most.0.max(unread_bytes(ip));
                most.1 = most.1.max(sockets(id));
                thread::sleep(Duration::from_millis(20));
            }
            most
        });
        Self {
            is_over,
            watching: Some(watching),
        }
    }

    /// The most bytes that were received and not read, and the most open sockets.
    fn most(&mut self) -> (u64, usize) {
        self.is_over.store(true, Ordering::Relaxed);
        let watching = self.watching.take().expect("asked once");
        watching.join().expect("the process runs")
    }
}

impl Drop for Usage {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::Relaxed);
    }
}
