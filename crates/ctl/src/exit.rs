//! Exit codes.

use std::process::ExitCode;

/// How the program ended. The codes are part of its interface to scripts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// All that was asked for was done.
    Success,
    /// No daemon could be reached, or one failed.
    Failure,
    /// Arguments or settings are wrong.
    Usage,
    /// Another operator's change came first.
    Conflict,
    /// The change is not valid and was refused whole.
    Invalid,
    /// There is no such resource, or its changes are no longer held.
    NotFound,
    /// The version is not yet in force everywhere.
    NotInForce,
}

impl Exit {
    /// The number that the process ends with.
    #[must_use]
    pub fn code(self) -> u8 {
        match self {
            Self::Success => 0,
            Self::Failure => 1,
            Self::Usage => 2,
            Self::Conflict => 3,
            Self::Invalid => 4,
            Self::NotFound => 5,
            Self::NotInForce => 6,
        }
    }
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit.code())
    }
}

/// The codes as the help text shows them.
pub(crate) const EXIT_CODES: &str = "\
Exit codes:
  0  done
  1  no daemon could be reached, or one failed
  2  arguments or settings are wrong
  3  another operator's change came first
  4  refused as not valid; nothing was changed
  5  no such resource, or changes since that version are no longer held
  6  not yet in force everywhere";
