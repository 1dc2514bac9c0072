//! The guard around a process that a measurement starts.

use std::fs;
use std::path::{Path, PathBuf};
use std::time::Duration;

use ntex::rt::{DefaultRuntime, System};
use stoatstep_load::Process;

fn sleeper(name: &str) -> (Process, PathBuf) {
    let log = std::env::temp_dir().join(format!("stoat-{name}-{}", std::process::id()));
    let process = Process::start(Path::new("/bin/sleep"), &["30"], &log).unwrap();
    (process, log)
}

/// A measurement fails half way. Whatever it started must end with it, or the
/// next one measures beside leftovers that hold its addresses.
#[test]
fn a_dropped_process_is_killed_and_gone() {
    let (mut process, log) = sleeper("drop");
    assert!(process.is_running());
    assert!(process.usage().memory > 0);
    let place = format!("/proc/{}", process.id());
    process.freeze();
    drop(process);
    fs::remove_file(log).unwrap();
    assert!(!Path::new(&place).exists());
}

#[test]
fn a_terminated_process_is_seen_to_end() {
    let (mut process, log) = sleeper("terminate");
    process.terminate();
    let status = System::new("exit", DefaultRuntime).block_on(async move {
        let status = process.exit(Duration::from_secs(5)).await;
        assert!(!process.is_running());
        status
    });
    fs::remove_file(log).unwrap();
    assert!(status.is_some_and(|status| !status.success()));
}
