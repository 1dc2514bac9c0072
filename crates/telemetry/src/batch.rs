//! A logger that never blocks the thread that logs.
//!
//! Lines are buffered in memory, and a separate thread writes them in batches: a write and a
//! wake-up for each line would cost more processor time than most of the calls that the lines
//! describe. While the reader of the output is stuck and the buffer is full, new lines are dropped
//! and counted; a call never waits for the log.

use std::io::{self, Write};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use slog::{Drain, LevelFilter, Logger, OwnedKVList, Record, o};
use slog_json::Json;

use crate::log::Level;

/// Time for which lines are buffered before they are written as one batch. It is short enough that
/// a person who follows the log does not notice the delay.
const BATCH_DELAY: Duration = Duration::from_millis(100);

/// Delay before the next write to a non-blocking output that was full.
const FULL_RETRY_DELAY: Duration = Duration::from_millis(5);

/// Largest size of one write. Linux does not interleave writes of up to this size (`PIPE_BUF`) with
/// those of other processes to the same pipe, so that lines stay whole.
const MAX_WRITE_BYTES: usize = 4096;

/// Largest number of buffered bytes; further lines are dropped. The buffer holds several thousand
/// lines, which a daemon under full load logs in a few seconds.
const MAX_BUFFERED_BYTES: usize = 1 << 20;

/// Longest time to wait at the end of the process for the buffered lines to be written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(500);

#[derive(Default)]
struct Buffer {
    bytes: Vec<u8>,
    left_out: u64,
    closed: bool,
    written: bool,
}

#[derive(Default)]
struct Shared {
    buffer: Mutex<Buffer>,
    changed: Condvar,
}

impl Shared {
    /// Locks the buffer. A poisoned lock is ignored: after a panic in another thread the buffer
    /// lacks at most one line.
    fn lock(&self) -> MutexGuard<'_, Buffer> {
        self.buffer.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn add(&self, line: &[u8]) {
        let mut buffer = self.lock();
        if buffer.bytes.len() + line.len() > MAX_BUFFERED_BYTES {
            buffer.left_out += 1;
            return;
        }
        let was_empty = buffer.bytes.is_empty();
        buffer.bytes.extend_from_slice(line);
        drop(buffer);
        if was_empty {
            self.changed.notify_all();
        }
    }
}

/// Collects the parts of a line and adds the complete line to the buffer.
struct LineWriter {
    shared: Arc<Shared>,
    line: Vec<u8>,
}

impl Write for LineWriter {
    fn write(&mut self, chunk: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(chunk);
        if self.line.ends_with(b"\n") {
            self.shared.add(&self.line);
            self.line.clear();
        }
        Ok(chunk.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Drain that formats records into the buffer. Dropping it waits, for a limited time, until the
/// buffer is written.
struct BatchDrain {
    json: Mutex<Json<LineWriter>>,
    shared: Arc<Shared>,
}

impl Drain for BatchDrain {
    type Ok = ();
    type Err = io::Error;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> io::Result<()> {
        let json = self.json.lock().unwrap_or_else(PoisonError::into_inner);
        json.log(record, values)
    }
}

impl Drop for BatchDrain {
    fn drop(&mut self) {
        let mut buffer = self.shared.lock();
        buffer.closed = true;
        self.shared.changed.notify_all();
        // The wait is bounded, since a stuck reader must not keep the process from ending.
        let wait = self
            .shared
            .changed
            .wait_timeout_while(buffer, FLUSH_TIMEOUT, |it| !it.written);
        drop(wait);
    }
}

/// Creates a logger that writes JSON lines with `ts`, `level`, `msg` and `program` to `out` in
/// batches.
///
/// # Panics
///
/// If the thread that writes the batches can't be started.
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
    let drain = BatchDrain {
        json: Mutex::new(json),
        shared: Arc::clone(&shared),
    };
    thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || write_batches(&shared, out))
        .expect("a thread for the log");
    let filtered = LevelFilter::new(drain.fuse(), level.into()).fuse();
    Logger::root(filtered, o!("program" => program))
}

fn write_batches(shared: &Shared, mut out: impl Write) {
    loop {
        let buffer = shared.lock();
        let is_idle = |it: &mut Buffer| it.bytes.is_empty() && !it.closed;
        let buffer = shared.changed.wait_while(buffer, is_idle);
        let closed = buffer.unwrap_or_else(PoisonError::into_inner).closed;
        if !closed {
            thread::sleep(BATCH_DELAY);
        }
        let (bytes, left_out) = {
            let mut buffer = shared.lock();
            let bytes = std::mem::take(&mut buffer.bytes);
            (bytes, std::mem::take(&mut buffer.left_out))
        };
        write_batch(&mut out, &bytes, left_out);
        let mut buffer = shared.lock();
        if buffer.closed && buffer.bytes.is_empty() {
            buffer.written = true;
            shared.changed.notify_all();
            return;
        }
    }
}

fn write_batch(out: &mut impl Write, mut bytes: &[u8], left_out: u64) {
    while !bytes.is_empty() {
        let (chunk, rest) = bytes.split_at(whole_lines(bytes));
        write_whole(out, chunk);
        bytes = rest;
    }
    if left_out > 0 {
        let line =
            format!("{{\"msg\":\"log lines left out\",\"level\":\"WARN\",\"lines\":{left_out}}}\n");
        write_whole(out, line.as_bytes());
    }
}

/// Length of the complete lines at the front of `bytes` that fit into one write, or of the first
/// line if that alone is longer.
fn whole_lines(bytes: &[u8]) -> usize {
    let last_end = |bytes: &[u8]| bytes.iter().rposition(|byte| *byte == b'\n');
    let first_end = || bytes.iter().position(|byte| *byte == b'\n');
    let fitting = &bytes[..bytes.len().min(MAX_WRITE_BYTES)];
    last_end(fitting)
        .or_else(first_end)
        .map_or(bytes.len(), |at| at + 1)
}

/// Writes all bytes. It retries while a non-blocking output is full, since to stop there would cut
/// a line in two. Other errors are ignored, as there is no other place to report them.
fn write_whole(out: &mut impl Write, mut bytes: &[u8]) {
    while !bytes.is_empty() {
        match out.write(bytes) {
            Ok(0) => return,
            Ok(written) => bytes = &bytes[written..],
            Err(err) if err.kind() == io::ErrorKind::Interrupted => {}
            Err(err) if err.kind() == io::ErrorKind::WouldBlock => thread::sleep(FULL_RETRY_DELAY),
            Err(_) => return,
        }
    }
    let _ = out.flush();
}
