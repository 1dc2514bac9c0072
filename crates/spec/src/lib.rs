//! Small specifications of the core protocols, and the search that visits every
//! state which they can reach.
//!
//! Each specification puts the shipped decision code into a world where messages
//! get lost, come late or twice, processes restart and clocks differ, and states
//! what must hold in every state ([`Invariant`]). [`search`] visits all states
//! up to a bound. Each [`Safeguard`] can be taken away; the search then finds a
//! short way to a violation, which the tests keep.
//!
//! * [`VersionLogSpec`]: operators who race, and transactions whose answers are
//!   lost or that arrive late;
//! * [`SpreadingSpec`]: versions that cross, come twice or damaged, and daemons
//!   that restart with nothing;
//! * [`AttemptSpec`]: calls whose messages, executors and targets get lost;
//! * [`IntentSpec`]: a key that is sent again while its home moves;
//! * [`KeySpec`]: a customer's key that is taken away while daemons are cut off.
//!
//! Bounds, figures and what is not covered are in
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
