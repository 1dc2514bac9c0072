//! Starts real processes on loopback addresses for a measurement and ends them.
//!
//! The system's own programs never start processes; this is the test harness
//! around them. Everything that it starts ends when its guard is dropped.

mod addresses;
mod error;
mod http;
mod line;
mod node;
mod operator;
mod process;
mod running;
mod shape;
mod start;
mod wait;

pub use addresses::Net;
pub use error::FleetError;
pub use http::Http;
pub use line::{Line, Unit};
pub use node::Node;
pub use operator::{Fault, OPERATOR_TOKEN, Operator, PEER_TOKEN};
pub use process::{Process, Usage};
pub use shape::{ServiceShape, Shape, TargetShape};
pub use start::Fleet;
