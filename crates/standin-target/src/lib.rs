//! A stand-in for a target: it runs calls in slots, takes its time, sheds what
//! does not fit, and writes down what ran.
//!
//! The ledger is what a test holds against the outcomes that callers were
//! told: a call refused as "not run" must be absent, a key that is not
//! idempotent must be there at most once. The behaviour can be changed while
//! the program runs, so that the failures of `docs/contributing/testing.md`
//! can be caused at any moment: slow runs, connections that go silent, answers
//! cut short, connections lost after the run, and health that lies.

mod answer;
mod behaviour;
mod ledger;
mod program;
mod server;
mod target;

pub use answer::{Answer, AnswerError};
pub use behaviour::{Behaviour, BehaviourChange, Health};
pub use ledger::{Counts, Entry};
pub use program::main;
pub use server::{Options, serve};
