//! Settings of every stoatstep program: flags, environment variables and
//! defaults, checked together before anything starts.
//!
//! A program lists its settings in one constant table, [`Program`]. Reading it
//! gives [`Values`], from which typed settings are taken one by one. Each one
//! that is wrong or missing becomes a [`Finding`], and [`Values::finish`]
//! reports them all in one go, so that an operator mends a unit file once and
//! not once for each mistake. See `docs/operators/settings.md`.

mod command_line;
mod finding;
mod program;
mod secret;
mod span;
mod values;

pub use finding::{Finding, Place, Stop};
pub use program::{Program, Setting};
pub use secret::{Secret, SecretError};
pub use span::{Span, SpanError};
pub use values::Values;
