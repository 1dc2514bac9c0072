//! What is wrong with the settings, and how a program ends over it.

use std::fmt;
use std::io::{self, Write};
use std::process::ExitCode;

/// Exit code of a program whose settings are wrong.
const WRONG_SETTINGS: u8 = 2;

/// Where a finding belongs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Place {
    /// A setting, named by both of the ways in which it can be given.
    Setting {
        /// The flag, without leading dashes.
        flag: &'static str,
        /// The environment variable.
        variable: String,
    },
    /// An argument that belongs to no setting.
    Argument(String),
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Setting { flag, variable } => write!(f, "--{flag} ({variable})"),
            Self::Argument(text) => f.write_str(text),
        }
    }
}

/// One thing that is wrong, and where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// Where it is wrong.
    pub place: Place,
    /// What is wrong there.
    pub message: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.place, self.message)
    }
}

/// Why a program ends before it has begun.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Stop {
    /// Help was asked for; this is the text.
    Help(String),
    /// The version was asked for; this is the text.
    Version(String),
    /// Settings are wrong; here is every finding.
    Findings(Vec<Finding>),
}

impl Stop {
    /// Prints the text to standard output, or the findings to standard error,
    /// and gives the exit code that `main` returns.
    #[must_use]
    pub fn report(&self) -> ExitCode {
        // A reader that closed its end of a pipe early (`--help | head -1`)
        // makes these writes fail. There is nobody left to tell, and the exit
        // code still holds, so the error is dropped.
        match self {
            Self::Help(_) | Self::Version(_) => {
                let _ = writeln!(io::stdout().lock(), "{self}");
                ExitCode::SUCCESS
            }
            Self::Findings(_) => {
                let _ = writeln!(io::stderr().lock(), "{self}");
                ExitCode::from(WRONG_SETTINGS)
            }
        }
    }
}

impl fmt::Display for Stop {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Help(text) | Self::Version(text) => f.write_str(text),
            Self::Findings(findings) => {
                let lines: Vec<String> = findings.iter().map(Finding::to_string).collect();
                f.write_str(&lines.join("\n"))
            }
        }
    }
}

impl std::error::Error for Stop {}
