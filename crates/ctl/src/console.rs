//! What people and programs read.

use std::fmt;
use std::io::{self, Write};
use std::str::FromStr;

use serde::Serialize;
use stoatstep_resource::Finding;

use crate::failure::Failure;

/// Form of the output.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Output {
    /// Tables for people.
    #[default]
    Table,
    /// JSON for programs.
    Json,
}

/// The text names no form of output.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UnknownOutput;

impl fmt::Display for UnknownOutput {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("write table or json")
    }
}

impl FromStr for Output {
    type Err = UnknownOutput;

    fn from_str(text: &str) -> Result<Self, UnknownOutput> {
        match text {
            "table" => Ok(Self::Table),
            "json" => Ok(Self::Json),
            _ => Err(UnknownOutput),
        }
    }
}

/// Standard output and standard error in the form that was asked for.
pub(crate) struct Console {
    pub(crate) out: Box<dyn Write>,
    pub(crate) err: Box<dyn Write>,
    pub(crate) output: Output,
}

#[derive(Serialize)]
struct FailureLine<'a> {
    error: String,
    exit_code: u8,
    findings: &'a [Finding],
}

impl Console {
    /// Prints `text` for people or `value`, on one line, for programs.
    pub(crate) fn print<T: Serialize>(
        &mut self,
        text: &dyn fmt::Display,
        value: &T,
    ) -> io::Result<()> {
        match self.output {
            Output::Table => writeln!(self.out, "{text}")?,
            Output::Json => {
                serde_json::to_writer(&mut self.out, value)?;
                writeln!(self.out)?;
            }
        }
        self.out.flush()
    }

    /// Tells people, and nobody else, how things go.
    pub(crate) fn note(&mut self, text: &str) -> io::Result<()> {
        match self.output {
            Output::Table => writeln!(self.err, "{text}"),
            Output::Json => Ok(()),
        }
    }

    /// Prints a failure with every one of its findings. Where even that fails
    /// nobody is left to tell, and the exit code still says what happened.
    pub(crate) fn report(&mut self, failure: &Failure) {
        let _ = match self.output {
            Output::Table => self.report_text(failure),
            Output::Json => self.report_json(failure),
        };
    }

    fn report_text(&mut self, failure: &Failure) -> io::Result<()> {
        for finding in failure.findings() {
            writeln!(self.err, "{finding}")?;
        }
        writeln!(self.err, "stoatctl: {failure}")
    }

    fn report_json(&mut self, failure: &Failure) -> io::Result<()> {
        let line = FailureLine {
            error: failure.to_string(),
            exit_code: failure.exit().code(),
            findings: failure.findings(),
        };
        serde_json::to_writer(&mut self.err, &line)?;
        writeln!(self.err)
    }
}
