//! Findings about settings, and the reasons for which a program ends before it starts its work.

use std::fmt;
use std::io::{self, Write};
use std::process::ExitCode;

/// Exit code of a program whose settings are invalid.
const INVALID_SETTINGS: u8 = 2;

/// The setting or argument that a finding is about.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Place {
    /// A setting, by both its flag and its variable.
    Setting {
        /// The flag, without leading dashes.
        flag: &'static str,
        /// The environment variable.
        variable: String,
    },
    /// An argument that does not belong to a setting.
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

/// One problem with the settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// What the finding is about.
    pub place: Place,
    /// What is wrong.
    pub message: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.place, self.message)
    }
}

/// Why a program ends before it starts its work.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EarlyExit {
    /// The help text was requested.
    Help(String),
    /// The version text was requested.
    Version(String),
    /// Settings are invalid; these are all findings.
    Findings(Vec<Finding>),
}

impl EarlyExit {
    /// Prints the text to standard output or the findings to standard error, and returns the exit
    /// code for `main`.
    #[must_use]
    pub fn report(&self) -> ExitCode {
        // These writes fail if the reader of a pipe has closed it, as in `--help | head -1`. The
        // error cannot be reported and does not change the exit code, so it is ignored.
        match self {
            Self::Help(_) | Self::Version(_) => {
                let _ = writeln!(io::stdout().lock(), "{self}");
                ExitCode::SUCCESS
            }
            Self::Findings(_) => {
                let _ = writeln!(io::stderr().lock(), "{self}");
                ExitCode::from(INVALID_SETTINGS)
            }
        }
    }
}

impl fmt::Display for EarlyExit {
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

impl std::error::Error for EarlyExit {}
