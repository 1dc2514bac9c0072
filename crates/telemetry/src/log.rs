//! Logs as JSON lines on standard error.

use std::fmt;
use std::io;
use std::str::FromStr;

use slog::{Drain, LevelFilter, Logger, o};

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

/// A logger whose lines carry `ts`, `level`, `msg` and `program`, written by a
/// thread of its own. Its last clone, when dropped, writes out what waits.
pub fn logger(program: &'static str, level: Level) -> Logger {
    let json = slog_json::Json::new(io::stderr())
        .add_default_keys()
        .build()
        .fuse();
    let queued = slog_async::Async::new(json)
        .chan_size(QUEUE)
        .thread_name("log".to_owned())
        .build()
        .fuse();
    let filtered = LevelFilter::new(queued, level.into()).fuse();
    Logger::root(filtered, o!("program" => program))
}
