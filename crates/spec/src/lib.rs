//! Model checking of the core protocols: small specifications, and a search that visits every state
//! that they can reach.
//!
//! Each specification runs the production decision code in a simulated environment where messages
//! are lost, delayed or duplicated, processes restart and clocks differ, and checks an
//! [`Invariant`] in every state. [`search`] visits all states up to a bound. Each [`Safeguard`] can
//! be switched off; the search then finds a shortest counterexample, which the tests expect.
//!
//! * [`VersionLogSpec`]: operators who write concurrently, and transactions whose answers are lost
//!   or that arrive late;
//! * [`SpreadingSpec`]: versions that are reordered, duplicated or damaged on their way to daemons,
//!   and daemons that restart with no state;
//! * [`AttemptSpec`]: calls with lost messages, executor restarts and lost targets;
//! * [`IntentSpec`]: an idempotency key that is sent again while its home changes;
//! * [`KeySpec`]: a customer's key that is revoked while daemons are disconnected.
//!
//! The bounds, the results and what is not covered are described in
//! `docs/design/model-checking.md`.

mod attempt;
pub mod cases;
mod intent;
mod invariant;
mod keys;
mod resources;
mod safeguard;
mod search;
mod shared;
mod spreading;
mod version_log;

pub use attempt::{
    AttemptBounds, AttemptSpec, AttemptState, AttemptStep, CallMessage, CallTold, End,
};
pub use cases::Summary;
pub use intent::{Clocks, IntentBounds, IntentSpec, IntentState, IntentStep, Removal};
pub use invariant::Invariant;
pub use keys::{KeyAnswer, KeyBounds, KeyDaemon, KeySpec, KeyState, KeyStep};
pub use safeguard::{Safeguard, Safeguards};
pub use search::{Counterexample, Report, Spec, search};
pub use spreading::{
    DaemonIndex, Message, Payload, SpreadingBounds, SpreadingSpec, SpreadingState, SpreadingStep,
};
pub use version_log::{Edit, Log, Told, VersionLogSpec, VersionLogState, WriteStep};
