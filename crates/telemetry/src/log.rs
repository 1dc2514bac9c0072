//! Logs as JSON lines on standard error.

use std::fmt;
use std::io;
use std::str::FromStr;
use std::sync::Mutex;

use slog::{Drain, LevelFilter, Logger, OwnedKVList, Record, o};
use slog_async::{Async, AsyncGuard};

/// Messages that wait for the writing thread; more are dropped and counted in
/// the log. A slow terminal must not hold up calls.
const QUEUE: usize = 1024;

/// Least severity that is logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Level {
    /// Something needs an operator.
    Error,
    /// Something failed and was survived.
    Warning,
    /// What an operator would want to know of afterwards.
    Info,
    /// Single decisions.
    Debug,
    /// Single messages; not in release builds.
    Trace,
}

/// Why a text is no [`Level`].
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

/// Hands lines to the writing thread, and waits for it when dropped.
///
/// The daemon keeps its logger in a thread-local. Without a guard, the library
/// would send its last message through a thread-local of its own, which is
/// gone by then: the process would abort at the end of every graceful stop. The
/// guard sends it through a plain channel, whatever thread drops it.
struct Queued {
    // Dropped in this order: the guard waits until all lines are written.
    lines: Async,
    _guard: Mutex<AsyncGuard>,
}

impl Queued {
    fn new(drain: impl Drain<Err = slog::Never, Ok = ()> + Send + 'static) -> Self {
        let builder = Async::new(drain)
            .chan_size(QUEUE)
            .thread_name("log".to_owned());
        let (lines, guard) = builder.build_with_guard();
        Self {
            lines,
            _guard: Mutex::new(guard),
        }
    }
}

impl Drain for Queued {
    type Ok = ();
    type Err = slog_async::AsyncError;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), Self::Err> {
        self.lines.log(record, values)
    }
}

/// A logger whose lines carry `ts`, `level`, `msg` and `program`, written by a
/// thread of its own. Its last clone, when dropped, writes out what waits.
pub fn logger(program: &'static str, level: Level) -> Logger {
    let json = slog_json::Json::new(io::stderr())
        .add_default_keys()
        .build()
        .fuse();
    let queued = Queued::new(json).fuse();
    let filtered = LevelFilter::new(queued, level.into()).fuse();
    Logger::root(filtered, o!("program" => program))
}
