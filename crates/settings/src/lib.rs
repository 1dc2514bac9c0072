//! Settings of all stoatstep programs: flags, environment variables and defaults, all checked
//! before a program starts its work.
//!
//! A program declares its settings in a constant [`Program`]. [`Program::read`] returns [`Values`],
//! from which the program takes typed values one by one. Each invalid or missing one becomes a
//! [`Finding`], and [`Values::finish`] returns all of them, so that an operator can fix a unit file
//! in one pass. See `docs/operators/settings.md`.

mod command_line;
mod finding;
mod human_duration;
mod program;
mod secret;
mod values;

pub use finding::{EarlyExit, Finding, Place};
pub use human_duration::{HumanDuration, HumanDurationError};
pub use program::{Program, Setting};
pub use secret::{Secret, SecretError};
pub use values::Values;
