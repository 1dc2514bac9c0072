//! What a running daemon must not do: start processes, use `io_uring`, share
//! memory.

use std::fs;
use std::path::{Path, PathBuf};
use std::time::Duration;

use crate::fleet::Fleet;
use crate::http::run;
use crate::process::Process;

const READY: Duration = Duration::from_secs(10);

/// Targets of the links in `/proc/ID/fd`.
fn descriptors(proc: &Path) -> Vec<String> {
    let links = fs::read_dir(proc.join("fd")).expect("a running process");
    links
        .filter_map(|link| fs::read_link(link.ok()?.path()).ok())
        .map(|target| target.to_string_lossy().into_owned())
        .collect()
}

/// Ids of the children of every thread of the process.
fn children(proc: &Path) -> String {
    let threads = fs::read_dir(proc.join("task")).expect("a running process");
    threads
        .map(|thread| thread.expect("a thread").path().join("children"))
        .map(|path| fs::read_to_string(path).expect("children of a thread"))
        .collect()
}

/// Lines of the memory map whose pages are shared with other processes: the
/// fourth of the permission flags tells.
fn shared_maps(proc: &Path) -> Vec<String> {
    let maps = fs::read_to_string(proc.join("maps")).expect("a memory map");
    let is_shared = |line: &&str| {
        let flags = line.split_whitespace().nth(1).expect("permission flags");
        flags.ends_with('s')
    };
    maps.lines().filter(is_shared).map(str::to_owned).collect()
}

/// Segments of System V and POSIX shared memory that are mapped.
fn shared_segments(proc: &Path) -> Vec<String> {
    let maps = fs::read_to_string(proc.join("maps")).expect("a memory map");
    let names = ["/dev/shm", "/SYSV", "memfd:"];
    let is_segment = |line: &&str| names.iter().any(|name| line.contains(name));
    maps.lines().filter(is_segment).map(str::to_owned).collect()
}

fn check(process: &Process) {
    let proc = PathBuf::from(format!("/proc/{}", process.id()));
    let open = descriptors(&proc);
    assert!(open.len() > 3, "a server has sockets open: {open:?}");
    let rings: Vec<_> = open.iter().filter(|it| it.contains("io_uring")).collect();
    assert!(rings.is_empty(), "io_uring: {rings:?}");
    assert_eq!(children(&proc).trim(), "", "child processes");
    assert_eq!(shared_maps(&proc), Vec::<String>::new());
    assert_eq!(shared_segments(&proc), Vec::<String>::new());
}

/// The instances forbid these three, and a daemon that breaks the rule is
/// ended by the site, with all calls in it. The library below could turn to
/// any of them with an update or a changed feature flag, which no other test
/// would show. The daemon is looked at while it serves.
#[test]
fn daemon_has_no_ring_no_child_and_no_shared_memory() {
    run(async {
        let mut fleet = Fleet::builder().instances(2).start();
        fleet.ready(READY).await;
        fleet.joined(READY).await;
        let version = fleet.apply(0, fleet.default_resources()).await;
        fleet.holds_everywhere(version, READY).await;
        let answer = fleet
            .call(0, "/refundhall/limits")
            .await
            .expect("an answer");
        answer.assert_answered();
        for instance in &fleet.instances {
            check(&instance.daemon);
        }
    });
}
