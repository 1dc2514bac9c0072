//! Tests of loggers at the end of a thread and with a stuck reader.

use std::cell::RefCell;
use std::io::{self, Write};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use slog::{Logger, info};
use stoatstep_telemetry::{Level, batched_logger, logger};

thread_local! {
    static LOG: RefCell<Option<Logger>> = const { RefCell::new(None) };
}

/// Guards against an abort at the end of a graceful stop. A daemon keeps its logger in a
/// thread-local of its only thread; if dropping the logger accesses another thread-local that is
/// already destroyed, the process aborts, and the service manager sees a crash. An abort would end
/// this test program too.
#[test]
fn logger_in_a_thread_local_ends_with_its_thread() {
    let thread = std::thread::spawn(|| {
        LOG.set(Some(logger("test", Level::Info)));
        LOG.with_borrow(|log| info!(log.as_ref().expect("a logger"), "stopping"));
    });
    assert!(thread.join().is_ok());
}

/// An output that keeps what was written to it.
#[derive(Clone, Default)]
struct Output(Arc<Mutex<Vec<u8>>>);

impl Output {
    fn text(&self) -> String {
        let bytes = self.0.lock().expect("no panic holds it").clone();
        String::from_utf8(bytes).expect("lines are text")
    }
}

impl Write for Output {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut written = self.0.lock().expect("no panic holds it");
        written.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn batched_lines_are_whole_in_order_and_written_before_the_end() {
    let output = Output::default();
    let log = batched_logger("test", Level::Info, output.clone());
    for line in 0..1_000 {
        info!(log, "call ended"; "line" => line);
    }
    slog::debug!(log, "left out by level");
    drop(log);
    let text = output.text();
    assert_eq!(text.lines().count(), 1_000);
    for (line, text) in text.lines().enumerate() {
        assert!(text.starts_with('{') && text.ends_with('}'), "{text}");
        assert!(text.ends_with(&format!("\"line\":{line}}}")), "{text}");
    }
}

/// An output whose reader has stopped reading, so that writes block.
struct Stuck;

impl Write for Stuck {
    fn write(&mut self, _: &[u8]) -> io::Result<usize> {
        std::thread::park();
        Ok(0)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against calls that wait for the log. While the program that collects the log hangs, lines
/// are dropped once the buffer is full, and the process can still end.
#[test]
fn a_stuck_reader_holds_up_neither_calls_nor_the_end() {
    let log = batched_logger("test", Level::Info, Stuck);
    let begun = Instant::now();
    for line in 0..50_000 {
        info!(log, "call ended"; "line" => line);
    }
    drop(log);
    let took = begun.elapsed();
    assert!(took < Duration::from_secs(5), "{took:?}");
}
