//! The daemon of a fleet whose host keeps the configuration: it takes calls
//! from callers on its own instance, has them run beside a target, and learns
//! everything else from its host, its target and its peers.
//!
//! * The *host* is whatever runs the fleet. It keeps one configuration document
//!   and a list of instances to begin with, and is reached through [`Host`].
//! * The *target* beside the daemon announces itself in heartbeats, see
//!   [`Heartbeat`].
//! * *Peers* are the other daemons. They exchange membership and configuration,
//!   and carry each other's calls over links.
//!
//! A call enters at one daemon (`entry`), goes to the daemon beside the chosen
//! target (`executor`), and only that one talks to the target. What must hold
//! for a target (at most one run, no call after its drain, no more calls than
//! slots) is therefore decided at one place. The decisions themselves are those
//! of `stoatstep-calls`, `stoatstep-membership` and `stoatstep-distribution`.
//! See `docs/design/platform.md`.

mod clock;
mod config;
mod dialect;
mod drain;
mod entry;
mod executor;
mod fleet;
mod host;
mod identity;
mod in_force;
mod journal;
mod link;
mod mechanism;
mod node;
mod quarantine;
mod quota;
mod rollout;
mod wire;

pub use config::{Addresses, MeshConfig};
pub use dialect::Dialect;
pub use host::{
    Cursor, Era, HeldRollout, Host, HostError, Listed, RolloutNews, RolloutState, RolloutStatus,
    RowVersion, Update,
};
pub use mechanism::{Mechanism, UnknownMechanism};
pub use node::Mesh;
pub use stoatstep_calls::{Fingerprint, KeptRequest};
pub use stoatstep_membership::{Heartbeat, HeartbeatOutcome, StartMillis, generation_id};
pub use stoatstep_rollout::{Order, OrderId, Software, UnixTime};
