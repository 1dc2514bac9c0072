//! Child processes that end with the test that started them.

use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use nix::sys::signal::{self, Signal};
use nix::unistd::Pid;
use ntex::time::sleep;

const POLL: Duration = Duration::from_millis(10);

/// A running program. Dropping it ends it, whatever state it is in, so that a
/// test that panics leaves nothing behind; only this child is signalled.
#[derive(Debug)]
pub(crate) struct Process {
    name: String,
    child: Child,
    log: PathBuf,
}

impl Process {
    /// Starts `program` with `--flag value` for each of `flags`. What it logs
    /// goes to a file in `dir`.
    pub(crate) fn start(name: &str, program: &str, flags: &[(&str, String)], dir: &Path) -> Self {
        let log = dir.join(format!("{name}.log"));
        let file = File::options()
            .create(true)
            .append(true)
            .open(&log)
            .expect("a log file");
        let mut command = Command::new(program);
        for (flag, value) in flags {
            command.arg(format!("--{flag}")).arg(value);
        }
        let child = command
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(file)
            .spawn()
            .unwrap_or_else(|e| panic!("{program} did not start: {e}"));
        Self {
            name: name.to_owned(),
            child,
            log,
        }
    }

    /// Process id.
    pub(crate) fn id(&self) -> u32 {
        self.child.id()
    }

    /// What the process logged so far, for messages of failed tests.
    pub(crate) fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Freezes the process, as a stalled host does.
    pub(crate) fn freeze(&self) {
        self.signal(Signal::SIGSTOP);
    }

    /// Lets a frozen process go on.
    pub(crate) fn thaw(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Asks for a graceful stop.
    pub(crate) fn ask_to_stop(&self) {
        self.signal(Signal::SIGTERM);
    }

    /// Asks for a graceful stop and waits for it; `None` where the process
    /// still runs after `within`.
    pub(crate) async fn terminate(&mut self, within: Duration) -> Option<ExitStatus> {
        self.ask_to_stop();
        let end = Instant::now() + within;
        while Instant::now() < end {
            if let Some(status) = self.exited() {
                return Some(status);
            }
            sleep(POLL).await;
        }
        None
    }

    /// The exit status where the process has ended.
    pub(crate) fn exited(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().expect("a child of this process")
    }

    /// Ends the process at once, without a chance to finish anything.
    pub(crate) fn kill(&mut self) {
        // An error means that it has ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// The child has not been waited for, or `child` would know its status, so
    /// the id can't belong to another process by now.
    fn signal(&self, signal: Signal) {
        let id = i32::try_from(self.id()).expect("an id of a process");
        if let Err(e) = signal::kill(Pid::from_raw(id), signal) {
            panic!("{signal} to {} failed: {e}", self.name);
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
