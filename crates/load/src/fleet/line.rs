//! Figures, one JSON line each.

use std::io::{self, Write};

use serde::Serialize;
use smol_str::SmolStr;

/// Unit of a figure.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Unit {
    /// Seconds.
    #[serde(rename = "s")]
    Seconds,
    /// Milliseconds.
    #[serde(rename = "ms")]
    Millis,
    /// A share or a quotient.
    #[serde(rename = "ratio")]
    Ratio,
    /// Calls.
    #[serde(rename = "calls")]
    Calls,
    /// Calls a second.
    #[serde(rename = "calls/s")]
    CallsPerSecond,
    /// Reads a second.
    #[serde(rename = "reads/s")]
    ReadsPerSecond,
    /// Bytes.
    #[serde(rename = "B")]
    Bytes,
    /// Bytes a second.
    #[serde(rename = "B/s")]
    BytesPerSecond,
    /// Share of a core.
    #[serde(rename = "cores")]
    Cores,
}

/// One figure of a measurement.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Line {
    /// Name; a baseline's has a suffix.
    pub name: SmolStr,
    /// The figure; `null` where it could not be measured.
    pub value: Option<f64>,
    /// Its unit.
    pub unit: Unit,
    /// Samples that it comes from.
    pub count: u64,
}

impl Line {
    /// A figure from `count` samples.
    #[must_use]
    pub fn new(name: &str, value: f64, unit: Unit, count: u64) -> Self {
        Self {
            name: name.into(),
            value: value.is_finite().then_some(value),
            unit,
            count,
        }
    }

    /// The same figure of a baseline, where a suffix names one.
    #[must_use]
    pub fn suffixed(mut self, suffix: Option<&str>) -> Self {
        if let Some(suffix) = suffix {
            self.name = format!("{}_{suffix}", self.name).into();
        }
        self
    }

    /// Prints the line at once, so that a run that is cut off keeps what it
    /// has measured.
    ///
    /// # Errors
    ///
    /// Standard output is closed.
    pub fn print(&self) -> io::Result<()> {
        let mut out = io::stdout().lock();
        writeln!(out, "{}", serde_json::to_string(self)?)?;
        out.flush()
    }
}
