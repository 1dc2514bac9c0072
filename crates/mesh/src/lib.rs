//! The daemon of a fleet whose configuration is kept in a store of the platform. It takes calls
//! from callers on its own instance, has them run beside a target, and learns everything else from
//! the store, its target and its peers.
//!
//! * The *store* is provided by the platform that runs the fleet. It keeps one configuration
//!   document and a list of instances for the daemons to start from, and is reached through
//!   [`FleetStore`]. In log lines and metrics it is called `host`.
//! * The *target* beside the daemon announces itself in heartbeats, see [`Heartbeat`].
//! * *Peers* are the other daemons. They exchange membership and configuration, and forward each
//!   other's calls over links.
//!
//! A call enters at one daemon (`entry`) and goes to the daemon beside the chosen target
//! (`executor`), which alone talks to that target. Every guarantee for a target (at most one run,
//! no call after its drain, no more calls than slots) is therefore enforced in one place. The
//! decision logic itself is in `stoatstep-calls`, `stoatstep-membership` and
//! `stoatstep-distribution`. See `docs/design/platform.md`.

mod clock;
mod config;
mod drain;
mod entry;
mod executor;
mod fleet;
mod fleet_store;
mod header_names;
mod identity;
mod in_force;
mod journal;
mod link;
mod mechanism;
mod memory;
mod node;
mod quarantine;
mod quota;
mod rollout;
mod wire;
mod zones;

pub use config::{Addresses, MeshConfig};
pub use fleet_store::{
    ConfigurationUpdate, Cursor, Era, FleetStore, FleetStoreError, OrderChange, RolloutState,
    RolloutStatus, RosterContents, RowVersion, Stored, StoredRollout,
};
pub use header_names::HeaderNames;
pub use mechanism::{Mechanism, UnknownMechanism};
pub use node::Mesh;
pub use stoatstep_calls::{Fingerprint, QuarantinedRequest};
pub use stoatstep_membership::{Heartbeat, HeartbeatOutcome, StartMillis, generation_id};
pub use stoatstep_rollout::{Order, OrderId, Software, UnixTime};
