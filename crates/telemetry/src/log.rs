//! A logger that writes JSON lines to standard error.

use std::fmt;
use std::io;
use std::str::FromStr;
use std::sync::Mutex;

use slog::{Drain, LevelFilter, Logger, OwnedKVList, Record, o};
use slog_async::{Async, AsyncGuard};

/// Largest number of messages queued for the thread that writes them. Messages beyond it are
/// dropped and counted in the log, so that a slow terminal does not delay calls.
const MAX_QUEUED_MESSAGES: usize = 1024;

/// Lowest severity that is logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Level {
    /// Faults that need an operator.
    Error,
    /// Failures that the program recovered from.
    Warning,
    /// Events that an operator needs to reconstruct what happened.
    Info,
    /// Individual decisions.
    Debug,
    /// Individual messages between processes; left out of release builds.
    Trace,
}

/// Error of parsing a [`Level`] from a text that names none.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LevelError;

impl fmt::Display for LevelError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the level must be error, warning, info, debug or trace")
    }
}

impl std::error::Error for LevelError {}

impl FromStr for Level {
    type Err = LevelError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "error" => Ok(Self::Error),
            "warning" | "warn" => Ok(Self::Warning),
            "info" => Ok(Self::Info),
            "debug" => Ok(Self::Debug),
            "trace" => Ok(Self::Trace),
            _ => Err(LevelError),
        }
    }
}

impl From<Level> for slog::Level {
    fn from(level: Level) -> Self {
        match level {
            Level::Error => Self::Error,
            Level::Warning => Self::Warning,
            Level::Info => Self::Info,
            Level::Debug => Self::Debug,
            Level::Trace => Self::Trace,
        }
    }
}

/// Drain that queues records for the thread that writes them, and waits for that thread when it is
/// dropped.
///
/// The daemon keeps its logger in a thread-local. Without the guard, `slog_async` would send its
/// last message through a thread-local of its own, which may already be destroyed by then, and the
/// process would abort at the end of every graceful stop. The guard sends the message through a
/// channel from whatever thread drops it.
struct AsyncDrain {
    // Fields are dropped in this order, and the guard then waits until all lines are written.
    lines: Async,
    _guard: Mutex<AsyncGuard>,
}

impl AsyncDrain {
    fn new(drain: impl Drain<Err = slog::Never, Ok = ()> + Send + 'static) -> Self {
        let builder = Async::new(drain)
            .chan_size(MAX_QUEUED_MESSAGES)
            .thread_name("log".to_owned());
        let (lines, guard) = builder.build_with_guard();
        Self {
            lines,
            _guard: Mutex::new(guard),
        }
    }
}

impl Drain for AsyncDrain {
    type Ok = ();
    type Err = slog_async::AsyncError;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), Self::Err> {
        self.lines.log(record, values)
    }
}

/// Creates a logger that writes JSON lines with `ts`, `level`, `msg` and `program` to standard
/// error on a separate thread. Dropping its last clone waits until all queued lines are written.
pub fn logger(program: &'static str, level: Level) -> Logger {
    let json = slog_json::Json::new(io::stderr())
        .add_default_keys()
        .build()
        .fuse();
    let queued = AsyncDrain::new(json).fuse();
    let filtered = LevelFilter::new(queued, level.into()).fuse();
    Logger::root(filtered, o!("program" => program))
}
