//! The control side of the daemon: which configuration is in force, and which
//! other instances there are.

mod announce;
pub(crate) mod peer;
mod poll;
mod tables;

use std::rc::Rc;

use crate::node::Node;

pub(crate) use tables::{Control, Member};

/// Starts the tasks that keep the tables current.
pub(crate) fn start(node: &Rc<Node>) {
    ntex::rt::spawn(poll::run(Rc::clone(node)));
    ntex::rt::spawn(announce::run(Rc::clone(node)));
}
