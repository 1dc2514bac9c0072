//! The control side of the daemon: which configuration is in force, and which
//! other instances there are.
//!
//! The decisions come from `stoatstep-membership` and `stoatstep-distribution`;
//! the code here decodes, feeds their machines and does what they ask for. See
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

/// Starts the tasks that keep the tables current.
pub(crate) fn start(node: &Rc<Node>) {
    ntex::rt::spawn(tick::run(Rc::clone(node)));
    ntex::rt::spawn(announce::run(Rc::clone(node)));
}
