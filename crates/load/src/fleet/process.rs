//! A started process and its guard.

use std::ffi::OsStr;
use std::fs::{self, File};
use std::io;
use std::os::unix::process::ExitStatusExt;
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use futures_timer::Delay;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

/// Clock ticks a second in `/proc/<pid>/stat`, fixed for all user space.
const TICKS_PER_SECOND: f64 = 100.0;

/// How often the end of a process is looked for.
const EXIT_POLL: Duration = Duration::from_millis(10);

/// What a process has used so far.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// Processor time, user and system.
    pub cpu: Duration,
    /// Resident memory, in bytes.
    pub memory: u64,
}

/// A child process, killed when this is dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    ended: bool,
}

impl Process {
    /// Starts `program` with `args`; what it prints goes to `log`.
    ///
    /// # Errors
    ///
    /// The program cannot be started or the log cannot be written.
    pub fn start<A: AsRef<OsStr>>(program: &Path, args: &[A], log: &Path) -> io::Result<Self> {
        let out = File::options().create(true).append(true).open(log)?;
        let child = Command::new(program)
            .args(args)
            .env_clear()
            .stdin(Stdio::null())
            .stdout(out.try_clone()?)
            .stderr(out)
            .spawn()?;
        Ok(Self {
            child,
            ended: false,
        })
    }

    /// Its process id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Ends the process at once, as a power cut would.
    pub fn kill(&mut self) {
        self.send(Signal::SIGKILL);
        let _ = self.child.wait();
        self.ended = true;
    }

    /// Asks for a graceful stop.
    pub fn terminate(&self) {
        self.send(Signal::SIGTERM);
    }

    /// Freezes the process.
    pub fn freeze(&self) {
        self.send(Signal::SIGSTOP);
    }

    /// Lets a frozen process go on.
    pub fn thaw(&self) {
        self.send(Signal::SIGCONT);
    }

    /// Waits up to `limit` for the process to end by itself.
    pub async fn exit(&mut self, limit: Duration) -> Option<ExitStatus> {
        let begin = Instant::now();
        while begin.elapsed() < limit {
            if let Ok(Some(status)) = self.child.try_wait() {
                self.ended = true;
                return Some(status);
            }
            Delay::new(EXIT_POLL).await;
        }
        None
    }

    /// Whether the process still runs; a crash is told apart from a kill by the
    /// caller, who knows what it did.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// The signal that ended the process, where one did.
    pub fn ended_by(&mut self) -> Option<i32> {
        self.child.try_wait().ok().flatten()?.signal()
    }

    /// What the process has used so far; nothing where it has ended.
    #[must_use]
    pub fn usage(&self) -> Usage {
        usage(self.child.id()).unwrap_or_default()
    }

    fn send(&self, signal: Signal) {
        if self.ended {
            return;
        }
        let id = i32::try_from(self.child.id()).expect("process ids are small");
        // Fails where the process has ended just now, which is what the
        // harness sees next anyway.
        let _ = kill(Pid::from_raw(id), signal);
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if !self.ended {
            self.kill();
        }
    }
}

fn usage(id: u32) -> Option<Usage> {
    let stat = fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
    // The second field holds the program's name and may hold spaces.
    let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
    let ticks = fields.get(11)?.parse::<f64>().ok()? + fields.get(12)?.parse::<f64>().ok()?;
    let status = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
    let memory = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kibibytes: u64 = memory.split_whitespace().next()?.parse().ok()?;
    Some(Usage {
        cpu: Duration::from_secs_f64(ticks / TICKS_PER_SECOND),
        memory: kibibytes << 10,
    })
}
