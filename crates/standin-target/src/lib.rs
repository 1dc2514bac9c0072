//! A stand-in for a target: it runs calls in a limited number of slots for a configured time, sheds
//! calls beyond the slots, and records what ran in a ledger.
//!
//! A test compares the ledger with the outcomes that callers received: a call refused as "not run"
//! must be absent, and a key that is not idempotent must be present at most once. The behaviour can
//! be changed while the program runs, to cause the failures of `docs/contributing/testing.md` at
//! any moment: slow runs, silent connections, truncated answers, connections lost after the run,
//! and wrong health reports.

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
