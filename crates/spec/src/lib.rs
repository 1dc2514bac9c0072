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
//! * [`DistributionSpec`]: versions that are reordered, duplicated or damaged on their way to
//!   daemons, and daemons that restart with no state;
//! * [`AttemptSpec`]: calls with lost messages, executor restarts and lost targets;
//! * [`IdempotencySpec`]: an idempotency key that is sent again while its home changes;
//! * [`ApiKeySpec`]: a customer's key that is revoked while daemons are disconnected;
//! * [`LateCopySpec`]: requests on connections to a target that repeats answers late.
//!
//! The bounds, the results and what is not covered are described in
//! `docs/design/model-checking.md`.

mod api_keys;
mod attempt;
pub mod cases;
mod distribution;
mod idempotency;
mod invariant;
mod late_copies;
mod resources;
mod safeguard;
mod search;
mod shared;
mod version_log;

pub use api_keys::{ApiKeyAnswer, ApiKeyBounds, ApiKeyDaemon, ApiKeySpec, ApiKeyState, ApiKeyStep};
pub use attempt::{
    AttemptBounds, AttemptOutcome, AttemptSpec, AttemptState, AttemptStep, CallMessage, CallOutcome,
};
pub use cases::Summary;
pub use distribution::{
    DaemonIndex, DistributionBounds, DistributionSpec, DistributionState, DistributionStep,
    Message, Payload,
};
pub use idempotency::{
    Clocks, IdempotencyBounds, IdempotencySpec, IdempotencyState, IdempotencyStep, Removal,
};
pub use invariant::Invariant;
pub use late_copies::{LateCopyBounds, LateCopySpec, LateCopyState, LateCopyStep, TargetRun};
pub use safeguard::{Safeguard, Safeguards};
pub use search::{Counterexample, SearchReport, Spec, search};
pub use version_log::{Edit, Log, VersionLogSpec, VersionLogState, WriteOutcome, WriteStep};
