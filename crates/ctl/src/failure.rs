//! Why a command did not do what was asked.

use std::fmt;
use std::io;

use stoatstep_resource::Finding;

use crate::exit::Exit;
use crate::miss::Unreachable;

/// Why a command ended without having done its work.
#[derive(Debug)]
pub(crate) enum Failure {
    /// Arguments contradict each other or the files.
    Usage(String),
    /// No daemon gave an answer.
    Unreachable(Unreachable),
    /// A daemon refused, or files are wrong: all findings together.
    Refused {
        /// What kind of refusal it is.
        exit: Exit,
        /// Everything that stood against it.
        findings: Vec<Finding>,
    },
    /// A daemon's answer made no sense.
    Answer(String),
    /// The output could not be written.
    Output(io::Error),
}

impl Failure {
    pub(crate) fn exit(&self) -> Exit {
        match self {
            Self::Usage(_) => Exit::Usage,
            Self::Refused { exit, .. } => *exit,
            Self::Unreachable(_) | Self::Answer(_) | Self::Output(_) => Exit::Failure,
        }
    }

    /// Findings to be shown one by one.
    pub(crate) fn findings(&self) -> &[Finding] {
        match self {
            Self::Refused { findings, .. } => findings,
            _ => &[],
        }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Usage(message) => f.write_str(message),
            Self::Unreachable(error) => error.fmt(f),
            Self::Refused { exit, findings } => {
                let what = match exit {
                    Exit::Conflict => "another change came first",
                    Exit::Invalid => "refused as not valid",
                    Exit::NotFound => "not found",
                    _ => "refused",
                };
                write!(f, "{what} ({})", count(findings.len()))
            }
            Self::Answer(message) => write!(f, "answer not understood: {message}"),
            Self::Output(error) => write!(f, "cannot write the output: {error}"),
        }
    }
}

fn count(findings: usize) -> String {
    match findings {
        1 => "1 finding".to_owned(),
        n => format!("{n} findings"),
    }
}

impl std::error::Error for Failure {}

impl From<io::Error> for Failure {
    fn from(error: io::Error) -> Self {
        Self::Output(error)
    }
}

impl From<Unreachable> for Failure {
    fn from(error: Unreachable) -> Self {
        Self::Unreachable(error)
    }
}
