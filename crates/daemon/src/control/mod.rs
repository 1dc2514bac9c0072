//! The control plane of the daemon: tracks which configuration is in force and
//! which other instances exist.
//!
//! The state machines of `stoatstep-membership` and `stoatstep-distribution`
//! make the decisions; this module decodes messages, passes them to the state
//! machines as inputs and performs the actions that they return. See
//! `docs/design/membership.md` and `docs/design/spreading.md`.

mod announce;
mod client;
mod cold_start;
mod collect;
mod directory;
mod gauges;
mod gossip;
pub(crate) mod peer;
mod platform;
mod poll;
mod pull;
mod push;
mod status;
mod tables;
mod tick;
mod traffic;
pub(crate) mod warning;
mod write;

use std::rc::Rc;

use crate::node::Node;

pub(crate) use tables::Control;
pub(crate) use write::submit;

/// Starts the tasks that keep membership and configuration up to date.
pub(crate) fn start(node: &Rc<Node>) {
    ntex::rt::spawn(tick::run(Rc::clone(node)));
    ntex::rt::spawn(announce::run(Rc::clone(node)));
}
