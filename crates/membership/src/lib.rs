//! Who is in the fleet, as each daemon finds out from the others.
//!
//! Membership is soft state: daemons exchange a few dozen bytes with one peer
//! a second, carry news of joins, suspicions and departures along, and compare
//! digests of their tables so that whatever was lost is repaired. Nothing here
//! needs the platform once a daemon has met one live peer, and disagreement
//! between two tables is safe: it costs a wasted probe or a retried call.
//!
//! [`Membership`] is pure. Time comes in as an argument, randomness from a
//! seed, and what it wants done goes out as [`Action`]s, so the same code runs
//! in the daemon, under scripted scenarios and under the model checker. See
//! `docs/design/membership.md`.

mod action;
mod config;
mod guard;
mod hearing;
mod life;
mod local_target;
mod machine;
mod member;
mod probe;
mod silence;
mod table;
mod tick;
mod updates;
mod wire;

pub use action::{Action, Input};
pub use config::Config;
pub use life::{Birth, id_of_life, life_name};
pub use local_target::{Heard, Heartbeat, LocalTarget};
pub use machine::Membership;
pub use member::{
    Announced, Incarnation, Member, MemberKey, MemberState, Time, member_key, starting_incarnation,
};
pub use table::{Entry, Table};
pub use wire::{
    Announcement, Exchange, GossipReply, GossipRequest, Mark, Row, RowError, WireState, Word,
    ZoneDigest,
};
