//! Starts and ends `stoatstep-sidecar`, and reads what it uses.

use std::fs;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

use nix::sys::signal::{self, Signal};
use nix::unistd::Pid;
use serde_json::{Value, json};

const PROGRAM: &str = env!("CARGO_BIN_EXE_stoatstep-sidecar");

/// Longest time that a test waits for the process.
const BOUND: Duration = Duration::from_secs(10);

/// Lines are gathered for a tenth of a second before they are written.
pub(crate) const GATHERED: Duration = Duration::from_millis(300);

/// Loopback addresses of one test.
pub(crate) fn addr(test: u8, port: u16) -> SocketAddr {
    let [.., high, low] = std::process::id().to_be_bytes();
    (Ipv4Addr::new(127, high | 0x80, low, test), 7000 + port).into()
}

/// Settings of a daemon whose store is at [`addr`] 5.
pub(crate) fn settings(test: u8) -> Value {
    json!({
        "node": "n0", "zone": "a", "region": "north", "service": "floatdesk",
        "listen": {"inbound": addr(test, 0), "outbound": addr(test, 1),
                   "ready": addr(test, 2), "control": addr(test, 3)},
        "app_address": addr(test, 4), "heartbeat_s": 1.5,
        "bounds": ["retry_budget_ratio=0.2", "retry_slack=60", "grace_s=6"],
        "platform": {"address": addr(test, 5)},
    })
}

pub(crate) fn file(test: u8, content: &Value) -> PathBuf {
    let name = format!("sidecar-{}-{test}.json", std::process::id());
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, content.to_string()).expect("a file for settings");
    path
}

pub(crate) fn start(path: &Path) -> Child {
    let mut command = Command::new(PROGRAM);
    command.env("STOATSTEP_NODE_FILE", path);
    let piped = command.stdout(Stdio::piped()).stderr(Stdio::piped());
    piped.spawn().expect("the program starts")
}

pub(crate) fn tell(child: &Child, what: Signal) {
    let id = i32::try_from(child.id()).expect("an id of a process");
    signal::kill(Pid::from_raw(id), what).expect("it runs");
    std::thread::sleep(GATHERED);
}

pub(crate) fn ended(mut child: Child) -> Output {
    let end = Instant::now() + BOUND;
    while child.try_wait().expect("a child of this process").is_none() {
        if Instant::now() > end {
            child.kill().expect("a child of this process");
            panic!("it still runs after {BOUND:?}");
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    child.wait_with_output().expect("it ended")
}

/// Largest memory of a process so far, in megabytes.
pub(crate) fn peak_mb(id: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{id}/status")).expect("it runs");
    let line = status.lines().find_map(|it| it.strip_prefix("VmHWM:"));
    let kb = line.and_then(|it| it.trim().strip_suffix(" kB"));
    kb.and_then(|it| it.trim().parse::<u64>().ok()).expect("kB") / 1024
}

/// Number of open sockets of a process.
pub(crate) fn sockets(id: u32) -> usize {
    let open = fs::read_dir(format!("/proc/{id}/fd")).expect("it runs");
    let targets = open
        .flatten()
        .filter_map(|it| fs::read_link(it.path()).ok());
    let is_socket = |it: &PathBuf| it.to_string_lossy().starts_with("socket:");
    targets.filter(is_socket).count()
}

/// Bytes that connections to this address have received and its process has not read.
pub(crate) fn unread_bytes(ip: Ipv4Addr) -> u64 {
    let table = fs::read_to_string("/proc/self/net/tcp").expect("a table of connections");
    let local = format!("{:08X}:", u32::from_ne_bytes(ip.octets()));
    let unread = table.lines().filter_map(|line| {
        let mut fields = line.split_whitespace();
        let is_listener = |state: &str| state == "0A";
        let (addr, state, queues) = (fields.nth(1)?, fields.nth(1)?, fields.next()?);
        let counts = addr.starts_with(&local) && !is_listener(state);
        counts.then(|| u64::from_str_radix(queues.split_once(':')?.1, 16).ok())?
    });
    unread.sum()
}
