//! Gossip-based membership: each daemon learns from its peers which daemons
//! make up the fleet.
//!
//! The protocol follows SWIM. Once a second a daemon probes one peer with a
//! message of a few dozen bytes. Updates about joins, suspicions and departures
//! are piggybacked on these probes, and table digests are compared so that
//! updates that were lost are repaired. The platform is not needed once a daemon
//! has reached one live peer. Disagreement between two tables is safe: it costs
//! a wasted probe or a retried call.
//!
//! [`Membership`] performs no I/O. Time is passed in as an argument, randomness
//! comes from a seed, and work for the caller is returned as [`Action`]s, so the
//! same code runs in the daemon, under scripted scenarios and under the model
//! checker. See `docs/design/membership.md`.

mod action;
mod config;
mod generation;
mod heartbeat;
mod isolation;
mod local_target;
mod machine;
mod member;
mod own_row;
mod probe;
mod probe_failure;
mod receive;
mod reported;
mod table;
mod tick;
mod update_queue;
mod wire;

pub use action::{Action, Disbelief, Input};
pub use config::Config;
pub use generation::{StartMillis, generation_id, target_id_of};
pub use heartbeat::{Contradiction, Heartbeat, HeartbeatOutcome};
pub use local_target::LocalTarget;
pub use machine::Membership;
pub use member::{
    AnnouncedTarget, Incarnation, Member, MemberKey, MemberState, Time, member_key,
    starting_incarnation,
};
pub use table::{Entry, Table};
pub use wire::{
    Announcement, ConfigId, Exchange, GossipReply, GossipRequest, Row, RowError, StateUpdate,
    WireState, ZoneDigest,
};
