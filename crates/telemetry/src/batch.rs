//! Log lines that never hold up the thread that writes them.
//!
//! Lines are gathered in memory and written by a thread of their own, some
//! hundred at a time: a write and a wake-up for each line would cost more
//! processor time than most calls that it speaks of. Where the reader of the
//! output is stuck, lines are left out and counted; a call never waits for them.

use std::io::{self, Write};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use slog::{Drain, LevelFilter, Logger, OwnedKVList, Record, o};
use slog_json::Json;

use crate::log::Level;

/// Time in which lines are gathered before they are written together. Whoever
/// follows a log does not notice it.
const GATHER: Duration = Duration::from_millis(100);

/// Pause before an output that was full is tried again.
const FULL_PAUSE: Duration = Duration::from_millis(5);

/// Bytes of one write. Where several processes share a pipe, the system keeps a
/// write of this size in one piece, and so every line.
const ONE_WRITE: usize = 4096;

/// Most bytes that wait; more are left out. Some thousand lines, a few seconds
/// of the busiest daemon.
const MAX_WAITING: usize = 1 << 20;

/// Longest wait at the end of the process for the lines that are left.
const LAST_WRITE: Duration = Duration::from_millis(500);

#[derive(Default)]
struct Waiting {
    bytes: Vec<u8>,
    left_out: u64,
    closed: bool,
    written: bool,
}

#[derive(Default)]
struct Shared {
    waiting: Mutex<Waiting>,
    changed: Condvar,
}

impl Shared {
    /// A panic elsewhere while the lines were locked leaves them at worst one
    /// line short, so a poisoned lock is used on.
    fn lock(&self) -> MutexGuard<'_, Waiting> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn add(&self, line: &[u8]) {
        let mut waiting = self.lock();
        if waiting.bytes.len() + line.len() > MAX_WAITING {
            waiting.left_out += 1;
            return;
        }
        let was_empty = waiting.bytes.is_empty();
        waiting.bytes.extend_from_slice(line);
        drop(waiting);
        if was_empty {
            self.changed.notify_all();
        }
    }
}

/// Gathers the pieces of one line, and hands it over whole.
struct LineWriter {
    shared: Arc<Shared>,
    line: Vec<u8>,
}

impl Write for LineWriter {
    fn write(&mut self, piece: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(piece);
        if self.line.ends_with(b"\n") {
            self.shared.add(&self.line);
            self.line.clear();
        }
        Ok(piece.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Formats records. Dropping the last clone of its logger writes what is left.
struct Batched {
    json: Mutex<Json<LineWriter>>,
    shared: Arc<Shared>,
}

impl Drain for Batched {
    type Ok = ();
    type Err = io::Error;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> io::Result<()> {
        let json = self.json.lock().unwrap_or_else(PoisonError::into_inner);
        json.log(record, values)
    }
}

impl Drop for Batched {
    fn drop(&mut self) {
        let mut waiting = self.shared.lock();
        waiting.closed = true;
        self.shared.changed.notify_all();
        // A reader that is stuck must not keep the process from ending.
        let wait = self
            .shared
            .changed
            .wait_timeout_while(waiting, LAST_WRITE, |it| !it.written);
        drop(wait);
    }
}

/// A logger whose lines carry `ts`, `level`, `msg` and `program`, written to
/// `out` a batch at a time.
///
/// # Panics
///
/// Where the system has no thread left for it, at the start of a program.
pub fn batched_logger(
    program: &'static str,
    level: Level,
    out: impl Write + Send + 'static,
) -> Logger {
    let shared = Arc::new(Shared::default());
    let writer = LineWriter {
        shared: Arc::clone(&shared),
        line: Vec::new(),
    };
    let json = Json::new(writer).add_default_keys().build();
    let batched = Batched {
        json: Mutex::new(json),
        shared: Arc::clone(&shared),
    };
    thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || write_batches(&shared, out))
        .expect("a thread for the log");
    let filtered = LevelFilter::new(batched.fuse(), level.into()).fuse();
    Logger::root(filtered, o!("program" => program))
}

fn write_batches(shared: &Shared, mut out: impl Write) {
    loop {
        let waiting = shared.lock();
        let nothing = |it: &mut Waiting| it.bytes.is_empty() && !it.closed;
        let waiting = shared.changed.wait_while(waiting, nothing);
        let closed = waiting.unwrap_or_else(PoisonError::into_inner).closed;
        if !closed {
            thread::sleep(GATHER);
        }
        let (bytes, left_out) = {
            let mut waiting = shared.lock();
            let bytes = std::mem::take(&mut waiting.bytes);
            (bytes, std::mem::take(&mut waiting.left_out))
        };
        write_batch(&mut out, &bytes, left_out);
        let mut waiting = shared.lock();
        if waiting.closed && waiting.bytes.is_empty() {
            waiting.written = true;
            shared.changed.notify_all();
            return;
        }
    }
}

fn write_batch(out: &mut impl Write, mut bytes: &[u8], left_out: u64) {
    while !bytes.is_empty() {
        let (piece, rest) = bytes.split_at(whole_lines(bytes));
        write_whole(out, piece);
        bytes = rest;
    }
    if left_out > 0 {
        let line =
            format!("{{\"msg\":\"log lines left out\",\"level\":\"WARN\",\"lines\":{left_out}}}\n");
        write_whole(out, line.as_bytes());
    }
}

/// Length of the whole lines at the front that one write takes; of the first line
/// where it is longer by itself.
fn whole_lines(bytes: &[u8]) -> usize {
    let ends = |bytes: &[u8]| bytes.iter().rposition(|byte| *byte == b'\n');
    let first_end = || bytes.iter().position(|byte| *byte == b'\n');
    let front = &bytes[..bytes.len().min(ONE_WRITE)];
    ends(front)
        .or_else(first_end)
        .map_or(bytes.len(), |at| at + 1)
}

/// Writes all bytes, also to an output that does not block: giving up where it is
/// full would cut a line in two. Nobody is left to tell where it can't be written.
fn write_whole(out: &mut impl Write, mut bytes: &[u8]) {
    while !bytes.is_empty() {
        match out.write(bytes) {
            Ok(0) => return,
            Ok(written) => bytes = &bytes[written..],
            Err(err) if err.kind() == io::ErrorKind::Interrupted => {}
            Err(err) if err.kind() == io::ErrorKind::WouldBlock => thread::sleep(FULL_PAUSE),
            Err(_) => return,
        }
    }
    let _ = out.flush();
}
